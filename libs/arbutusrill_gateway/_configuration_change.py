"""What a change of the configuration alters on an entry VM beside the view."""

from __future__ import annotations

import dataclasses

from arbutusrill_http import HttpServer
from arbutusrill_site import SiteView

from ._backends import BackendPool
from ._connections import BackendConnections

__all__ = ["apply_configuration"]

# Tolerance beyond the limits of the configuration, for callers that count or measure otherwise.
_HEADER_BYTES_FACTOR = 2
_IDLE_MARGIN_S = 1.0


def apply_configuration(
    view: SiteView, pool: BackendPool, server: HttpServer, connections: BackendConnections | None = None
) -> None:
    """Applies the limits for callers to `server`, and drops what `pool` knows of backend servers that have left.

    Connections to such servers are closed.
    """
    pool.prune()
    if connections is not None:
        connections.refresh()
    if view.document is None:
        return
    limits = view.document.client_limits
    server.set_limits(
        dataclasses.replace(
            server.limits,
            header_bytes=limits.header_bytes * _HEADER_BYTES_FACTOR,
            body_bytes=limits.body_bytes,
            header_s=limits.header_s,
            idle_s=limits.idle_s + _IDLE_MARGIN_S,
        )
    )
