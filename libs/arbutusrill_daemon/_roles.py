"""The roles that a daemon can take, as context managers that serve until they are left."""

from __future__ import annotations

import contextlib
import threading

from arbutusrill_base import RetryBudget, SystemClock, TaskGroup, new_incarnation
from arbutusrill_control import ControlService, OperatorApp, SharedMachine
from arbutusrill_entry import (
    REPORT_S,
    RESERVED_PATHS,
    Cleanup,
    Drain,
    EntryApp,
    EntryContext,
    HeldTickets,
    Meters,
    PoolClients,
    report_burn,
)
from arbutusrill_http import HttpLimits, HttpServer
from arbutusrill_pool import PoolDirectory
from arbutusrill_raft import LocalLog
from arbutusrill_state import ControlClient, Follower, VmIdentity
from arbutusrill_wire import RpcServer, messages

from ._settings import DaemonSettings

__all__ = ["run_roles"]

_TICK_S = 0.2
_RESERVE = 32  # connections for announcements and health checks beyond the callers' bound


def run_roles(settings: DaemonSettings, stopping: threading.Event, hurry: threading.Event) -> None:
    """Serves all roles of `settings` until `stopping` is set, then leaves them in order.

    An entry VM finishes its requests first, unless `hurry` is set.
    """
    with contextlib.ExitStack() as stack:
        if settings.control is not None:
            stack.enter_context(_control(settings))
        if settings.entry is not None:
            stack.enter_context(_entry(settings, hurry))
        stopping.wait()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@contextlib.contextmanager
def _control(settings: DaemonSettings):
    role = settings.control
    clock = SystemClock()
    machine = SharedMachine()
    with LocalLog(machine, role.rpc) as log, ControlClient(settings.control_addresses) as client:
        service = ControlService(log, machine, clock)
        operators = OperatorApp(service, client, clock, role.operator_token_sha256_by_name)
        with (
            TaskGroup("control", 4) as tasks,
            RpcServer(*_split(role.rpc), {messages.Control: service}),
            HttpServer(*_split(role.http), operators),
        ):
            tasks.every(_TICK_S, service.tick)
            yield


@contextlib.contextmanager
def _entry(settings: DaemonSettings, hurry: threading.Event):
    role = settings.entry
    clock = SystemClock()
    incarnation = new_incarnation()
    identity = VmIdentity(settings.vm, incarnation, role.http, role.rpc, settings.data_centre)
    with ControlClient(settings.control_addresses) as client, TaskGroup("entry", 8) as tasks:
        follower = Follower(identity, client, clock)
        directory = PoolDirectory(settings.vm, incarnation, clock)
        follower.on_change(lambda: directory.reconcile(list(follower.config.pools_by_name.values())))
        with (
            contextlib.closing(PoolClients(follower, client, directory)) as pools,
            HeldTickets(pools, settings.vm, incarnation) as held,
            Cleanup() as cleanup,
        ):
            context = EntryContext(follower, client, pools, clock, cleanup, held, RetryBudget(), Meters(clock))
            application = EntryApp(context, role.announce_token_sha256)
            limits = HttpLimits(connections=role.connections, reserve=_RESERVE, reserved_paths=RESERVED_PATHS)
            with (
                RpcServer(*_split(role.rpc), {messages.Pool: directory}),
                HttpServer(*_split(role.http), application, limits) as server,
            ):
                _add_gauges(context, server)
                follower.start(tasks)
                tasks.every(REPORT_S, lambda: report_burn(context))
                yield
                Drain(context, application, server, hurry).run(role.drain_limit_s)
            report_burn(context)


def _add_gauges(context: EntryContext, server: HttpServer) -> None:
    meters = context.meters
    meters.gauge("arbutusrill_freshness_age_seconds", "Age of the confirmed configuration.", context.follower.age_s)
    meters.gauge("arbutusrill_held_tickets", "Places held on backend servers.", lambda: len(context.held))
    meters.gauge("arbutusrill_cleanup_jobs", "Cancellations and releases not yet confirmed.", context.cleanup.pending)
    meters.gauge("arbutusrill_busy_connections", "Connections with a request under way.", server.busy)
