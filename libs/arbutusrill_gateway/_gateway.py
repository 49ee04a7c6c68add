"""Admission of callers' requests: routing, authentication, rate limiting and dispatch to the relays."""

from __future__ import annotations

import math
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

from arbutusrill_base import EventLog, FailureError, RetryBudget, Verdict
from arbutusrill_http import AbortStreamError, BodyBudget, BodyReservation
from arbutusrill_limits import FleetRateLimiter
from arbutusrill_site import Route, RouteKind, SiteConfiguration, SiteView, Workspace

from ._backends import BackendPool
from ._connections import BackendConnections
from ._exchange import Exchange
from ._home_pool import pool_within
from ._metrics import GatewayMetrics
from ._placement import PlacementClient
from ._plain import relay_plain
from ._prompt_guard import PromptGuard
from ._protocol import MIN_RETRY_AFTER_S, BackendProtocol, CallerRequest
from ._reply import Refusal, Responder
from ._second_sender import SecondSender
from ._service_ranks import ServiceRanks
from ._stream import relay_stream

__all__ = ["Gateway"]

_RETRY_AFTER_S = 0.3
# Limits of the wait for the first configuration after a start; the fraction is of the caller's deadline.
_MAX_CONFIGURATION_WAIT_S = 1.0
_CONFIGURATION_WAIT_FRACTION = 0.4
_events = EventLog("entry")


class Gateway:
    """Serves requests according to the current configuration.

    `retry_fraction` and `retry_reserve` are the parameters of this VM's retry budget for each service. The reserve is
    a function because the number of VMs that share the deployment's reserve changes. If `max_view_age_s` is set,
    requests that need a key are refused while the view is older, since revoked keys could still be accepted.
    `prompt_guard` refuses streams whose prompts crash engines. `body_budget` bounds the memory of responses that are
    kept, until they are written to their callers. With `connections`, those to backend servers are kept and used again.
    """

    def __init__(
        self,
        view: SiteView,
        pool: BackendPool,
        placements: PlacementClient,
        rate_limiter: FleetRateLimiter,
        protocol: BackendProtocol,
        metrics: GatewayMetrics,
        retry_fraction: float,
        retry_reserve: Callable[[], float],
        max_view_age_s: float | None = None,
        prompt_guard: PromptGuard | None = None,
        body_budget: BodyBudget | None = None,
        connections: BackendConnections | None = None,
        region_by_data_centre: Callable[[], Mapping[str, str]] = dict,
        second_sender: SecondSender | None = None,
    ):
        self._view = view
        self._pool = pool
        self._placements = placements
        self._rate_limiter = rate_limiter
        self._protocol = protocol
        self._metrics = metrics
        self._retry_fraction = retry_fraction
        self._retry_reserve = retry_reserve
        self._max_view_age_s = max_view_age_s
        self._prompt_guard = prompt_guard
        self._ranks = ServiceRanks()
        self._regions = region_by_data_centre
        self._body_budget = body_budget or BodyBudget(None)
        self._connections = connections
        self._second_sender = second_sender
        self._lock = threading.Lock()
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._is_stopping = False
        self._accepts_all_until = self._shutdown_at = math.inf  # finite once `drain` was called

    def drain(self, accept_all_s: float, shutdown_s: float) -> None:
        """Prepares for a shutdown in `shutdown_s` seconds.

        Requests that arrive after `accept_all_s` seconds are refused if their time limit ends after the shutdown.
        """
        now = time.monotonic()
        self._shutdown_at, self._accepts_all_until = now + shutdown_s, now + accept_all_s

    def stop_waiting(self) -> None:
        """Refuses the requests that wait for a backend server or the first configuration, since the VM stops first."""
        self._is_stopping = True
        self._placements.stop_waiting()
        self._pool.stop_waiting()

    def workspace_name(self, key: str) -> str:
        """Returns the name of the workspace that holds an API key, empty for an unknown one."""
        configuration = self._view.document
        workspace = configuration.workspace_by_key.get(key) if configuration is not None else None
        return workspace.name if workspace else ""

    def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Serves one request; raises `AbortStreamError` if the caller's connection must be closed mid-response."""
        started = time.monotonic()
        configuration = self._wait_for_configuration(request)
        if configuration is None:
            self._refuse(
                request, responder, Refusal(503, "no_configuration", "no configuration yet", _RETRY_AFTER_S), started
            )
            return
        route = configuration.route_of(request.host, request.path)
        if route is None:
            self._refuse(request, responder, Refusal(404, "no_route", "no route matches"), started)
            return
        workspace, refusal = self._authorize(configuration, route, request)
        if (
            refusal is None
            and started >= self._accepts_all_until
            and started + _time_limit_s(route, request) > self._shutdown_at
        ):
            refusal = Refusal(503, "leaving", "this VM ends before the answer might", MIN_RETRY_AFTER_S)
        if refusal is None:
            refusal = self._charge_rate_limit(workspace, request)
        if refusal is not None:
            self._refuse(request, responder, refusal, started, route, workspace)
            return
        with self._body_budget.open(workspace.name if workspace else "", is_response=True) as memory:
            self._relay(configuration, route, workspace, request, responder, started, memory)

    def _wait_for_configuration(self, request: CallerRequest) -> SiteConfiguration | None:
        """Returns the configuration, or None if none arrives in time; after a start, waits for the first one."""
        view = self._view
        if view.document is None:
            max_wait_s = (
                _MAX_CONFIGURATION_WAIT_S
                if request.deadline_s is None
                else _CONFIGURATION_WAIT_FRACTION * request.deadline_s
            )
            max_wait_s = min(_MAX_CONFIGURATION_WAIT_S, max_wait_s)
            view.wait_for(lambda: self._is_stopping or view.document is not None, max_wait_s)
        return view.document

    def _authorize(
        self, configuration: SiteConfiguration, route: Route, request: CallerRequest
    ) -> tuple[Workspace | None, Refusal | None]:
        if not configuration.workspaces_by_name or route.public:
            return None, None
        if self._max_view_age_s is not None and self._view.age_s() > self._max_view_age_s:
            return None, Refusal(503, "stale", "keys cannot be checked at the moment", _RETRY_AFTER_S)
        workspace = configuration.workspace_by_key.get(request.key)
        if workspace is None:
            return None, Refusal(401, "unknown_key", "the key is missing or unknown")
        return workspace, None

    def _charge_rate_limit(self, workspace: Workspace | None, request: CallerRequest) -> Refusal | None:
        if workspace is None or workspace.limits is None:
            return None
        tokens = _cost_tokens(workspace, request)
        decision = self._rate_limiter.admit(workspace.name, tokens, workspace.limits)
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
        return Refusal(429, "rate_limited", message, max(MIN_RETRY_AFTER_S, decision.wait_s))

    def _relay(
        self,
        configuration: SiteConfiguration,
        route: Route,
        workspace: Workspace | None,
        request: CallerRequest,
        responder: Responder,
        started: float,
        memory: BodyReservation,
    ) -> None:
        service = configuration.services_by_name[route.pick_service()]
        rank = configuration.rank_of(route, workspace)
        homes = configuration.homes_of(route, workspace)
        limit_s = _time_limit_s(route, request)
        budget = self._retry_budget(service.name)
        budget.record_request()
        exchange = Exchange(
            request,
            responder,
            route,
            service,
            workspace,
            self._protocol,
            pool_within(self._pool, homes, self._regions()),
            self._placements,
            budget,
            started + limit_s,
            started,
            prompt_guard=self._prompt_guard,
            memory=memory,
            rank=rank,
            urgency=self._ranks.urgency(configuration, service.name, rank, time.monotonic()),
            connections=self._connections,
            second_sender=self._second_sender,
        )
        if self._second_sender is not None:
            self._second_sender.record_request(exchange)
        ending = ""
        try:
            (relay_stream if route.kind is RouteKind.STREAM else relay_plain)(exchange)
        except FailureError as error:  # the caller has left, or the VM stops
            ending = "leaving" if time.monotonic() >= self._shutdown_at else error.failure.code
            if responder.status:
                raise AbortStreamError(str(error)) from None
            # The caller may have closed its sending side only.
            exchange.refuse_not_run(ending, "the request was ended before its response", _RETRY_AFTER_S)
        except (AbortStreamError, OSError) as error:
            ending = f"cut: {error}"
            raise
        finally:
            if exchange.verdict is Verdict.NOT_RUN and workspace is not None and workspace.limits is not None:
                self._rate_limiter.refund(workspace.name, _cost_tokens(workspace, request))
            self._log(request, responder, ending, started, route, workspace, exchange)

    def _retry_budget(self, service: str) -> RetryBudget:
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
        is_unread = ending == "caller_gone" and responder.refusal_code  # most likely
        status = 0 if is_unread else responder.status
        self._metrics.record_request(name, status, took_s, exchange.first_event_s if exchange else None)
        fields: dict[str, Any] = {
            "request": request.id,
            "route": name,
            "workspace": workspace.name if workspace else "",
            "status": status,
            "ending": ending or (responder.refusal_code or "answered"),
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
                fields["longest_pause_ms"] = round(exchange.longest_pause_s * 1000, 1)
        _events.emit("request", **fields)


def _time_limit_s(route: Route, request: CallerRequest) -> float:
    return route.timeout_s if request.deadline_s is None else min(route.timeout_s, request.deadline_s)


def _cost_tokens(workspace: Workspace, request: CallerRequest) -> float:
    if request.prompt_tokens is None:
        return workspace.plain_tokens
    return float(request.prompt_tokens + (request.output_tokens or 0))
