"""Admission of callers' requests: route, key, rate, and the hand-over to the relays."""

from __future__ import annotations

import math
import threading
import time
from collections.abc import Callable
from typing import Any

from arbutusrill_base import EventLog, FailureError, RetryBudget, Verdict
from arbutusrill_http import AbortStreamError
from arbutusrill_limits import FleetMeter
from arbutusrill_site import Route, RouteKind, SiteConfiguration, SiteView, Workspace

from ._backends import BackendPool
from ._exchange import Exchange
from ._metrics import GatewayMetrics
from ._places import Places
from ._plain import relay_plain
from ._protocol import LEAST_RETRY_S, BackendProtocol, CallerRequest
from ._reply import Refusal, Responder
from ._stream import relay_stream

__all__ = ["Gateway"]

_RETRY_S = 0.3
_START_S = 1.0  # longest wait for the first configuration after a start
_START_PART = 0.4  # the same as a part of the time that the caller waits
_events = EventLog("entry")


class Gateway:
    """Serves requests by the configuration in force.

    `retry_fraction` and `retry_reserve` bound the sends beyond the first of each request, by service, on this VM;
    the reserve is a function, since the VMs that share the deployment's reserve come and go.
    `stale_s`, where set, is the age of the view from which requests with a key are refused.
    """

    def __init__(
        self,
        view: SiteView,
        pool: BackendPool,
        places: Places,
        meter: FleetMeter,
        protocol: BackendProtocol,
        metrics: GatewayMetrics,
        retry_fraction: float,
        retry_reserve: Callable[[], float],
        stale_s: float | None = None,
    ):
        self._view = view
        self._pool = pool
        self._places = places
        self._meter = meter
        self._protocol = protocol
        self._metrics = metrics
        self._retry_fraction = retry_fraction
        self._retry_reserve = retry_reserve
        self._stale_s = stale_s
        self._lock = threading.Lock()
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._accepts_until = self._ends_at = math.inf  # set while this VM leaves

    def leave(self, accepts_s: float, ends_s: float) -> None:
        """Refuses, from `accepts_s` seconds on, the requests that may last longer than `ends_s` seconds from now."""
        now = time.monotonic()
        self._ends_at, self._accepts_until = now + ends_s, now + accepts_s

    def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answers one request; raises `AbortStreamError` where the caller's connection has to be cut."""
        started = time.monotonic()
        configuration = self._first_document(request)
        if configuration is None:
            self._refuse(
                request, responder, Refusal(503, "no_configuration", "no configuration yet", _RETRY_S), started
            )
            return
        route = configuration.route_of(request.host, request.path)
        if route is None:
            self._refuse(request, responder, Refusal(404, "no_route", "no route matches"), started)
            return
        workspace, refusal = self._authorize(configuration, route, request)
        if refusal is None and started >= self._accepts_until and started + _limit_s(route, request) > self._ends_at:
            refusal = Refusal(503, "leaving", "this VM ends before the answer might", LEAST_RETRY_S)
        if refusal is None:
            refusal = self._charge(workspace, request)
        if refusal is not None:
            self._refuse(request, responder, refusal, started, route, workspace)
            return
        self._relay(configuration, route, workspace, request, responder, started)

    def _first_document(self, request: CallerRequest) -> SiteConfiguration | None:
        """Returns the configuration; just after a start, waits for it as long as the caller can still be served."""
        view = self._view
        if view.document is None:
            patience_s = _START_S if request.deadline_s is None else _START_PART * request.deadline_s
            view.wait_for(lambda: view.document is not None, min(_START_S, patience_s))
        return view.document

    def _authorize(
        self, configuration: SiteConfiguration, route: Route, request: CallerRequest
    ) -> tuple[Workspace | None, Refusal | None]:
        if not configuration.workspaces_by_name or route.public:
            return None, None
        if self._stale_s is not None and self._view.age_s() > self._stale_s:
            return None, Refusal(503, "stale", "keys cannot be checked at the moment", _RETRY_S)
        workspace = configuration.workspace_by_key.get(request.key)
        if workspace is None:
            return None, Refusal(401, "unknown_key", "the key is missing or unknown")
        return workspace, None

    def _charge(self, workspace: Workspace | None, request: CallerRequest) -> Refusal | None:
        if workspace is None or workspace.limits is None:
            return None
        tokens = _cost(workspace, request)
        decision = self._meter.admit(workspace.name, tokens, workspace.limits)
        if decision.wait_s <= 0:
            return None
        _events.emit(
            "rate_refused",
            request=request.id,
            workspace=workspace.name,
            tokens=tokens,
            rate=workspace.limits.rate,
            wait_ms=round(decision.wait_s * 1000),
            decided_by=decision.decided_by,
            level_age_ms=round(decision.age_s * 1000) if math.isfinite(decision.age_s) else None,
        )
        message = f"workspace {workspace.name} has spent its rate"
        return Refusal(429, "rate_limited", message, max(LEAST_RETRY_S, decision.wait_s))

    def _relay(
        self,
        configuration: SiteConfiguration,
        route: Route,
        workspace: Workspace | None,
        request: CallerRequest,
        responder: Responder,
        started: float,
    ) -> None:
        service = configuration.services_by_name[route.pick_service()]
        limit_s = _limit_s(route, request)
        budget = self._budget(service.name)
        budget.request()
        exchange = Exchange(
            request,
            responder,
            route,
            service,
            workspace,
            self._protocol,
            self._pool,
            self._places,
            budget,
            started + limit_s,
            started,
        )
        ending = ""
        try:
            (relay_stream if route.kind is RouteKind.STREAM else relay_plain)(exchange)
        except FailureError as error:
            ending = error.failure.code
            raise AbortStreamError(str(error)) from None
        except (AbortStreamError, OSError) as error:
            ending = f"cut: {error}"
            raise
        finally:
            if exchange.verdict is Verdict.NOT_RUN and workspace is not None and workspace.limits is not None:
                self._meter.refund(workspace.name, _cost(workspace, request))
            self._log(request, responder, ending, started, route, workspace, exchange)

    def _budget(self, service: str) -> RetryBudget:
        reserve = self._retry_reserve()
        with self._lock:
            budget = self._budget_by_service.get(service)
            if budget is None:
                budget = self._budget_by_service[service] = RetryBudget(self._retry_fraction, reserve)
        budget.set_reserve(reserve)
        return budget

    def _refuse(
        self,
        request: CallerRequest,
        responder: Responder,
        refusal: Refusal,
        started: float,
        route: Route | None = None,
        workspace: Workspace | None = None,
    ) -> None:
        responder.refuse(refusal)
        self._log(request, responder, refusal.code, started, route, workspace, None)

    def _log(
        self,
        request: CallerRequest,
        responder: Responder,
        ending: str,
        started: float,
        route: Route | None,
        workspace: Workspace | None,
        exchange: Exchange | None,
    ) -> None:
        took_s = time.monotonic() - started
        name = route.name if route else ""
        self._metrics.finished(name, responder.status, took_s, exchange.first_event_s if exchange else None)
        fields: dict[str, Any] = {
            "request": request.id,
            "route": name,
            "workspace": workspace.name if workspace else "",
            "status": responder.status,
            "ending": ending or (responder.refused or "answered"),
            "took_ms": round(took_s * 1000, 1),
            "config": self._view.version,
            "view_age_ms": round(self._view.age_s() * 1000) if self._view.version else None,
        }
        if exchange is not None:
            fields["service"] = exchange.service.name
            if request.prompt_tokens is not None:
                fields["tokens"] = [request.prompt_tokens, request.output_tokens, request.expected_output_tokens]
            fields["trail"] = exchange.trail
            fields["verdict"] = exchange.verdict.value
            if exchange.first_event_s is not None:
                fields["first_event_ms"] = round(exchange.first_event_s * 1000, 1)
        _events.emit("request", **fields)


def _limit_s(route: Route, request: CallerRequest) -> float:
    return route.timeout_s if request.deadline_s is None else min(route.timeout_s, request.deadline_s)


def _cost(workspace: Workspace, request: CallerRequest) -> float:
    if request.prompt_tokens is None:
        return workspace.plain_tokens
    return float(request.prompt_tokens + (request.output_tokens or 0))
