"""Addresses of entry VMs for callers."""

from __future__ import annotations

import random

from ._follower import SiteFollower, SiteView

__all__ = ["EntryDirectory"]

_MOST = 64  # addresses in one answer


class EntryDirectory:
    """Lists the entry VMs that take requests. `ttl_s` is how long callers may keep an answer."""

    def __init__(self, view: SiteView, follower: SiteFollower, address: str, ttl_s: float):
        self._view = view
        self._follower = follower
        self._address = address
        self.ttl_s = ttl_s

    def addresses(self) -> list[str]:
        """Returns IP:port of the VMs that are ready; this VM knows its own state best."""
        listed = {record.address for record in self._view.entries_by_id.values() if record.state == "ready"}
        if self._follower.state == "ready":
            listed.add(self._address)
        else:
            listed.discard(self._address)
        chosen = sorted(listed)
        return random.sample(chosen, _MOST) if len(chosen) > _MOST else chosen
