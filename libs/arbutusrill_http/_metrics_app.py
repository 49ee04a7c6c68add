"""WSGI application that serves metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

__all__ = ["MetricsApp"]


class MetricsApp:
    """Serves the metrics that `expose` returns in the Prometheus text format."""

    def __init__(self, expose: Callable[[], bytes]):
        self._expose = expose

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        """Serves any path."""
        body = self._expose()
        start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4"), ("Content-Length", str(len(body)))])
        return [body]
