"""Directory of the entry VMs that callers may use."""

from __future__ import annotations

import random

from ._follower import SiteFollower, SiteView

__all__ = ["EntryDirectory"]

_MAX_ADDRESSES = 64  # addresses in one answer


class EntryDirectory:
    """Lists the entry VMs that accept requests; callers may cache an answer for `ttl_s` seconds."""

    def __init__(self, view: SiteView, follower: SiteFollower, address: str, ttl_s: float):
        self._view = view
        self._follower = follower
        self._address = address
        self.ttl_s = ttl_s

    def addresses(self) -> list[str]:
        """Returns the IP:port of the ready VMs, at most `_MAX_ADDRESSES` at random.

        This VM is listed by its current state, since the record at the leader may be older.
        """
        ready_addresses = {record.address for record in self._view.entries_by_id.values() if record.state == "ready"}
        if self._follower.state == "ready":
            ready_addresses.add(self._address)
        else:
            ready_addresses.discard(self._address)
        addresses = sorted(ready_addresses)
        return random.sample(addresses, _MAX_ADDRESSES) if len(addresses) > _MAX_ADDRESSES else addresses
