"""The shared state of a site: configuration, journal and the commands that change them."""

from ._client import ControlClient, ControlUnavailableError
from ._commands import change_of, command
from ._config import ConfigState
from ._defaults import DEFAULT_SPEC_BY_NAME, SCOPE_KINDS, DefaultSpec, check_value
from ._follower import Follower, VmIdentity
from ._journal import Journal
from ._machine import SharedState

__all__ = [
    "DEFAULT_SPEC_BY_NAME",
    "SCOPE_KINDS",
    "ConfigState",
    "ControlClient",
    "ControlUnavailableError",
    "DefaultSpec",
    "Follower",
    "Journal",
    "SharedState",
    "VmIdentity",
    "change_of",
    "check_value",
    "command",
]
