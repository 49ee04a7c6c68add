"""Stand-ins for model engines and plain services, for the demo, the tests and the bench."""

from ._announcer import Announcer

__all__ = ["Announcer"]
