"""Connections to backend servers that an entry VM keeps, within its share of what each server accepts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from arbutusrill_http import ConnectionPool, Server, ServerConnections
from arbutusrill_site import Service, SiteView

__all__ = ["BackendConnections", "connection_limits"]

# Fraction of the connections that a server accepts which the entry VMs may keep; the rest is for new ones.
_KEPT_FRACTION = 0.5
_MAX_REPORTED = 12  # engines named to the leader in one call


def connection_limits(
    records: list[Any], services_by_name: Mapping[str, Service], entry_count: int
) -> dict[Server, int]:
    """Returns how many connections an entry VM may hold to each server and still keep one of them.

    It is the VM's share of a part of `Service.max_connections`, which counts those of all callers. Servers that drain
    and those of services without such a number are left out.
    """
    limit_by_server = {}
    for record in records:
        service = services_by_name.get(record.service_name)
        if service is not None and service.max_connections and not record.draining:
            limit = int(service.max_connections * _KEPT_FRACTION / max(1, entry_count))
            limit_by_server[_server_of(record)] = limit
    return limit_by_server


class BackendConnections:
    """The kept connections of an entry VM; `refresh` follows the servers and the number of entry VMs of the view."""

    def __init__(self, view: SiteView, entry_count: Callable[[], int], pool: ConnectionPool | None = None):
        self._view = view
        self._entry_count = entry_count
        self.pool = pool or ConnectionPool()

    def refresh(self) -> None:
        """Closes connections to servers that have left or drain, beyond this VM's share, and idle for too long."""
        document = self._view.document
        if document is not None:
            records = list(self._view.backends_by_id.values())
            self.pool.retain(connection_limits(records, document.services_by_name, self._entry_count()))
        self.pool.close_expired()

    def to(
        self, record: Any, request_id: str, is_once: bool, may_repeat: Callable[[], bool] | None = None
    ) -> ServerConnections:
        """Returns the connections to one server for a request; `may_repeat` takes a retry from the budget."""
        return ServerConnections(self.pool, _server_of(record), is_once, request_id, may_repeat)

    def is_ready(self, record: Any, is_once: bool) -> bool:
        """Whether a request to a server may use a kept connection now."""
        return self.pool.is_ready(_server_of(record), is_once)

    def ready_ids(self, is_once: bool) -> list[str]:
        """Returns the ids of the servers to which a request may use a kept connection now, the latest used first.

        A prefill may always run again, also that of a request whose decode may not.
        """
        ready = self.pool.ready_servers(False)
        if is_once:
            ready_once = set(self.pool.ready_servers(True))
            ready = [server for server in ready if server in ready_once or self._is_prefill(server)]
        return [server.id for server in ready[:_MAX_REPORTED]]

    def _is_prefill(self, server: Server) -> bool:
        record = self._view.backends_by_id.get(server.id)
        return record is not None and record.stage == "prefill" and not record.ordered_stage


def _server_of(record: Any) -> Server:
    return Server(record.id, record.address, record.started_ms)
