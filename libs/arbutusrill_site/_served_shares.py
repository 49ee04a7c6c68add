"""How often the requests of each rank and workspace got a place lately."""

from __future__ import annotations

from collections.abc import Hashable

__all__ = ["ServedShares"]

_MAX_COUNT = 400.0  # requests after which all counts are halved, so that older ones lose weight
_MIN_COUNT = 32.0  # requests and places from which shares are compared
_FAR_ABOVE_FACTOR = 4.0  # times an equal share of the places, from which a group has had far more than its share
_MIN_SERVED_FRACTION = 0.5  # of the places per request of all, below which such a group has no more than its share


class ServedShares:
    """Requests and places by group, weighted towards the latest.

    >>> shares = ServedShares()
    >>> for number in range(60):
    ...     shares.record_request("small" if number % 2 else "large")
    ...     shares.record_place("large")
    >>> shares.share("small"), shares.share("large"), shares.share()
    (0.0, 2.0, 1.0)
    """

    __slots__ = ("_place_total", "_places_by_group", "_request_total", "_requests_by_group")

    def __init__(self):
        self._requests_by_group: dict[Hashable, float] = {}
        self._places_by_group: dict[Hashable, float] = {}
        self._request_total = self._place_total = 0.0

    def record_request(self, group: Hashable) -> None:
        """Records a request that asks for a place."""
        self._requests_by_group[group] = self._requests_by_group.get(group, 0.0) + 1
        self._request_total += 1
        if self._request_total >= _MAX_COUNT:
            self._halve()

    def record_place(self, group: Hashable) -> None:
        """Records a place that a request of a group got."""
        self._places_by_group[group] = self._places_by_group.get(group, 0.0) + 1
        self._place_total += 1

    def _halve(self) -> None:
        self._requests_by_group = {group: n / 2 for group, n in self._requests_by_group.items() if n >= 1}
        self._places_by_group = {
            group: n / 2 for group, n in self._places_by_group.items() if group in self._requests_by_group
        }
        self._request_total = sum(self._requests_by_group.values())
        self._place_total = sum(self._places_by_group.values())

    def share(self, group: Hashable | None = None) -> float:
        """Returns the places per request of a group, or of all; 1.0 without requests."""
        if group is None:
            return self._place_total / self._request_total if self._request_total else 1.0
        requests = self._requests_by_group.get(group, 0.0)
        return self._places_by_group.get(group, 0.0) / requests if requests else 1.0

    def is_far_above(self, group: Hashable) -> bool:
        """Whether a group has got several times an equal share of the places, and is not starved itself."""
        if self._place_total < _MIN_COUNT or len(self._requests_by_group) <= _FAR_ABOVE_FACTOR:
            return False
        equal = self._place_total / len(self._requests_by_group)
        is_above = self._places_by_group.get(group, 0.0) > _FAR_ABOVE_FACTOR * equal
        return is_above and self.share(group) >= _MIN_SERVED_FRACTION * self.share()

    def is_starved(self, group: Hashable, fraction: float) -> bool:
        """Whether a group gets places less than `fraction` times as often as all."""
        return self._request_total >= _MIN_COUNT and self.share(group) < fraction * self.share()
