"""Roles of a daemon, as context managers that start serving on entry and shut down on exit."""

from __future__ import annotations

import contextlib
import hashlib
import threading
from typing import Any

from arbutusrill_base import (
    Clock,
    PartLog,
    ProcessSignals,
    RetryBudget,
    SystemClock,
    TaskGroup,
    new_incarnation,
    split_address,
)
from arbutusrill_control import ControlService, OperatorApp, SharedStateMachine
from arbutusrill_entry import (
    BURN_REPORT_INTERVAL_S,
    RESERVED_PATHS,
    CleanupQueue,
    Drain,
    EntryApp,
    EntryContext,
    HeldTickets,
    Meters,
    PoolClients,
    report_burn,
)
from arbutusrill_http import BodyBudget, HttpLimits, HttpServer
from arbutusrill_limits import Limits, TokenLeases
from arbutusrill_pool import PoolDirectory
from arbutusrill_raft import Replica
from arbutusrill_state import ConfigState, ControlClient, Follower, JournalClient, VmIdentity, make_command
from arbutusrill_wire import RpcServer, messages

from ._settings import DaemonSettings

__all__ = ["run_roles"]

_log = PartLog("daemon")
_CONTROL_TICK_INTERVAL_S = 0.1
_MAX_CONTROL_CONNECTIONS = 1024  # each of 390 nodes uses one for its long poll and one or two for calls
_JOURNAL_FLUSH_TIMEOUT_S = 5.0  # lets outcomes be recorded at shutdown after a short outage of the control group
_TOKEN_RETURN_TIMEOUT_S = 1.0  # unspent tokens that are not returned at shutdown are lost to the workspace
_POOL_TICK_INTERVAL_S = 0.1
_PROPOSE_TIMEOUT_S = 3.0
_RESERVED_CONNECTIONS = 32  # for announcements and health checks when callers use all other connections


def run_roles(settings: DaemonSettings, signals: ProcessSignals) -> None:
    """Serves all roles in `settings` until a stop signal, then shuts them down, the entry role first.

    The entry role drains before it stops; a second stop signal ends the drain early.
    """
    with contextlib.ExitStack() as stack:
        body_budget = BodyBudget.of_process(settings.entry.memory_mb if settings.entry is not None else None)
        if settings.control is not None:
            stack.enter_context(_serve_control(settings, body_budget))
        if settings.entry is not None:
            stack.enter_context(_serve_entry(settings, signals.stop_forced, body_budget))
        signals.stop_requested.wait()


@contextlib.contextmanager
def _serve_control(settings: DaemonSettings, body_budget: BodyBudget):
    role = settings.control
    clock = SystemClock()
    machine = SharedStateMachine()
    with (
        Replica(role.rpc, settings.control_addresses, role.data_folder, machine) as replica,
        ControlClient(settings.control_addresses) as client,
    ):
        service = ControlService(replica, machine, clock)
        with (
            OperatorApp(service, client, clock, role.operator_token_sha256_by_name) as operator_app,
            TaskGroup("control", 4) as tasks,
            RpcServer(
                *split_address(role.rpc),
                {messages.Control: service, messages.Raft: replica.handler},
                limit=_MAX_CONTROL_CONNECTIONS,
            ),
            HttpServer(*split_address(role.http), operator_app, body_budget=body_budget, body_owner=_body_owner),
        ):
            tasks.run_periodically(_CONTROL_TICK_INTERVAL_S, service.tick)
            yield


def _body_owner(authorization: str) -> str:
    """Returns what tells callers apart when bodies share the memory: a hash, since a key must not reach the log."""
    return hashlib.sha256(authorization.encode("latin-1", "replace")).hexdigest()[:12]


def _workspace_limits(follower: Follower, workspace: str) -> Limits | None:
    limits = follower.config.limits_of(workspace)
    return None if limits is None else Limits(*limits)


@contextlib.contextmanager
def _serve_entry(settings: DaemonSettings, force_stop: threading.Event, body_budget: BodyBudget):
    role = settings.entry
    clock = SystemClock()
    incarnation = new_incarnation()
    identity = VmIdentity(settings.vm, incarnation, role.http, role.rpc, settings.data_centre)
    with contextlib.ExitStack() as stack:
        client = stack.enter_context(ControlClient(settings.control_addresses))
        tasks = stack.enter_context(TaskGroup("entry", 8))
        follower = Follower(identity, client, clock)
        directory = PoolDirectory(
            settings.vm,
            incarnation,
            clock,
            follower.holds_lease,
            follower.config.value,
            report_order=lambda record: _report_order(client, settings.vm, clock, record),
        )
        stack.callback(directory.close)
        follower.on_change(lambda: _reconcile_directory(directory, follower.config))
        context = _build_entry_context(stack, follower, client, directory, body_budget)
        application = EntryApp(context, role.announce_token_sha256)
        limits = HttpLimits(connections=role.connections, reserve=_RESERVED_CONNECTIONS, reserved_paths=RESERVED_PATHS)
        with (
            RpcServer(*split_address(role.rpc), {messages.Pool: directory}),
            HttpServer(*split_address(role.http), application, limits, body_budget, _body_owner) as server,
        ):
            _add_gauges(context, server)
            follower.start(tasks)
            context.limits.start(tasks)
            context.journal.start(tasks)
            tasks.run_periodically(_POOL_TICK_INTERVAL_S, directory.tick)
            tasks.run_periodically(BURN_REPORT_INTERVAL_S, lambda: report_burn(context))
            yield
            Drain(context, application, server, force_stop).run(role.drain_limit_s)
        context.limits.drain(clock.monotonic() + _TOKEN_RETURN_TIMEOUT_S)
        if not context.journal.flush(clock.monotonic() + _JOURNAL_FLUSH_TIMEOUT_S):
            _log.warning(
                "stopping with unrecorded outcomes of once-only calls; resends of these calls get an unknown outcome"
            )
        report_burn(context)


def _build_entry_context(
    stack: contextlib.ExitStack,
    follower: Follower,
    client: ControlClient,
    directory: PoolDirectory,
    body_budget: BodyBudget,
) -> EntryContext:
    clock = SystemClock()
    identity = follower.identity
    pools = stack.enter_context(contextlib.closing(PoolClients(follower, client, directory)))
    token_leases = TokenLeases(
        identity.vm,
        identity.incarnation,
        lambda request: client.call("grant", request, timeout=1.0),
        lambda workspace: _workspace_limits(follower, workspace),
        clock,
    )
    journal = JournalClient(identity.vm, identity.incarnation, client, clock)
    held_tickets = stack.enter_context(HeldTickets(pools, identity.vm, identity.incarnation))
    cleanup = stack.enter_context(CleanupQueue())
    return EntryContext(
        follower,
        client,
        pools,
        token_leases,
        journal,
        clock,
        cleanup,
        held_tickets,
        RetryBudget(),
        Meters(clock),
        body_budget,
    )


def _reconcile_directory(directory: PoolDirectory, config: ConfigState) -> None:
    with config.lock:
        pools = list(config.pools_by_name.values())
        vms = list(config.vms_by_id.values())
        orders = list(config.orders_by_id.values())
    directory.reconcile(pools, vms, orders)


def _report_order(client: ControlClient, vm: str, clock: Clock, record: Any) -> bool:
    return client.call("propose", make_command(record, vm, clock.wall_ms()), timeout=_PROPOSE_TIMEOUT_S).accepted


def _add_gauges(context: EntryContext, server: HttpServer) -> None:
    meters, config = context.meters, context.follower.config
    meters.add_gauge("arbutusrill_freshness_age_seconds", "Age of the confirmed configuration.", context.follower.age_s)
    meters.add_gauge("arbutusrill_config_revision", "Revision of the applied configuration.", lambda: config.revision)
    meters.add_gauge("arbutusrill_held_tickets", "Places held on backend servers.", lambda: len(context.held_tickets))
    meters.add_gauge(
        "arbutusrill_cleanup_jobs", "Cancellations and releases not yet confirmed.", context.cleanup.pending_jobs
    )
    meters.add_gauge("arbutusrill_busy_connections", "Connections with a request under way.", server.active_connections)
