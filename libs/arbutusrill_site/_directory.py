"""Directory of the entry VMs that callers may use."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

from ._follower import SiteFollower, SiteView

__all__ = ["EntryDirectory"]

_MAX_ADDRESSES = 64  # addresses in one answer


class EntryDirectory:
    """Lists the entry VMs that accept requests; callers may cache an answer for `ttl_s` seconds.

    `regions` returns the region of each data centre.
    """

    def __init__(
        self,
        view: SiteView,
        follower: SiteFollower,
        address: str,
        ttl_s: float,
        regions: Callable[[], Mapping[str, str]] = dict,
    ):
        self._regions = regions
        self._homes_by_host: tuple[int, dict[str, frozenset[str] | None]] = (0, {})
        self._view = view
        self._follower = follower
        self._address = address
        self.ttl_s = ttl_s

    def addresses(self, host: str = "", region: str = "") -> list[str]:
        """Returns the IP:port of the ready VMs for a caller in `region`, at most `_MAX_ADDRESSES` at random.

        This VM is listed by its current state, since the record at the leader may be older. If routes of `host` have
        homes, only VMs in a region that is a home of all of these or the caller's are listed, unless none is ready.
        """
        entries = self._view.entries_by_id.values()
        ready = {record.address: record for record in entries if record.state == "ready"}
        addresses = set(ready)
        if self._follower.state == "ready":
            addresses.add(self._address)
        else:
            addresses.discard(self._address)
        homes = self._homes_of(host)
        if homes is not None:
            addresses = self._near(addresses, ready, homes | {region}) or addresses
        listed = sorted(addresses)
        return random.sample(listed, _MAX_ADDRESSES) if len(listed) > _MAX_ADDRESSES else listed

    def _near(self, addresses: set[str], ready: dict[str, Any], regions: frozenset[str]) -> set[str]:
        region_by_data_centre = self._regions()
        return {
            address
            for address in addresses
            if address in ready and region_by_data_centre.get(ready[address].data_centre) in regions
        }

    def _homes_of(self, host: str) -> frozenset[str] | None:
        version, homes_by_host = self._homes_by_host
        if self._view.version != version:
            version, homes_by_host = self._homes_by_host = (self._view.version, {})
        if host not in homes_by_host:
            document = self._view.document
            if document is None or host not in document.routes_by_host:
                return None
            homes_by_host[host] = document.homes_of_host(host)
        return homes_by_host[host]
