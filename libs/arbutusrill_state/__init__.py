"""Replicated state of a site: the configuration, the journal of once-only calls and the commands that change them."""

from ._checks import EVACUATION_LEVEL, FEATURE_LEVEL, UnsupportedLevelError
from ._client import ControlClient, ControlUnavailableError
from ._commands import change_of, make_command
from ._config import ConfigState
from ._defaults import DEFAULT_SPEC_BY_NAME, SCOPE_KINDS, DefaultSpec, parse_value
from ._departures import Departures
from ._document import Document, DocumentPatch
from ._document_parts import (
    UNDIVIDED,
    PatchError,
    apply_patch,
    changed_blocks,
    join_parts,
    make_patch,
    pack_layout,
    unpack_parts,
)
from ._evacuations import EvacuationOrders
from ._follower import Follower, VmIdentity
from ._journal import Journal
from ._journal_client import Attempt, JournalClient
from ._machine import SharedState
from ._prompt_table import PromptTable
from ._roster import BackendRoster

__all__ = [
    "DEFAULT_SPEC_BY_NAME",
    "EVACUATION_LEVEL",
    "FEATURE_LEVEL",
    "SCOPE_KINDS",
    "UNDIVIDED",
    "Attempt",
    "BackendRoster",
    "ConfigState",
    "ControlClient",
    "ControlUnavailableError",
    "DefaultSpec",
    "Departures",
    "Document",
    "DocumentPatch",
    "EvacuationOrders",
    "Follower",
    "Journal",
    "JournalClient",
    "PatchError",
    "PromptTable",
    "SharedState",
    "UnsupportedLevelError",
    "VmIdentity",
    "apply_patch",
    "change_of",
    "changed_blocks",
    "join_parts",
    "make_command",
    "make_patch",
    "pack_layout",
    "parse_value",
    "unpack_parts",
]
