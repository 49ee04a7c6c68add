"""Ranks that the requests of each service can have."""

from __future__ import annotations

from bisect import bisect_left

from arbutusrill_site import SiteConfiguration

__all__ = ["ServiceRanks"]

_REFRESH_INTERVAL_S = 2.0  # at most one pass over the routes in this time, however often the configuration changes


class ServiceRanks:
    """Index of the ranks by service, read again from a changed configuration at intervals."""

    def __init__(self) -> None:
        self._configuration: SiteConfiguration | None = None
        self._read_at = float("-inf")
        self._ranks_by_service: dict[str, list[int]] = {}

    def urgency(self, configuration: SiteConfiguration, service: str, rank: int, now: float) -> int | None:
        """Returns the urgency of a request for an engine: its rank, relative to the middle one of its service.

        Returns None for a service without engines, and where all requests have the same rank.
        """
        if configuration is not self._configuration and now - self._read_at >= _REFRESH_INTERVAL_S:
            self._ranks_by_service = _ranks_by_service(configuration)
            self._configuration, self._read_at = configuration, now
        ranks = self._ranks_by_service.get(service, [])
        return bisect_left(ranks, rank) - (len(ranks) - 1) // 2 if len(ranks) > 1 else None


def _ranks_by_service(configuration: SiteConfiguration) -> dict[str, list[int]]:
    """Returns the sorted ranks of each service with engines."""
    workspaces = {workspace.priority: workspace for workspace in configuration.workspace_by_key.values()}
    found: dict[str, set[int]] = {}
    for host_routes in configuration.routes_by_host.values():
        for route in host_routes.by_prefix.values():
            for target in route.targets:
                if configuration.services_by_name[target.service].engine is not None:
                    ranks = found.setdefault(target.service, set())
                    ranks.update(
                        configuration.rank_of(route, workspace) for workspace in (workspaces or {0: None}).values()
                    )
    return {service: sorted(ranks) for service, ranks in found.items()}
