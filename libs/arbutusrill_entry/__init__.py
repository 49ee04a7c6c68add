"""Entry role: the callers' interface, once-only calls and the intake of announcements."""

from ._app import EntryApp
from ._backends import PoolClients

__all__ = ["EntryApp", "PoolClients"]
