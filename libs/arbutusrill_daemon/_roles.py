"""The roles that a daemon can take, as context managers that serve until they are left."""

from __future__ import annotations

import contextlib
import threading

from arbutusrill_base import SystemClock, TaskGroup, new_incarnation
from arbutusrill_control import ControlService, OperatorApp, SharedMachine
from arbutusrill_entry import EntryApp, PoolClients
from arbutusrill_http import HttpLimits, HttpServer
from arbutusrill_limits import Limits, TokenLeases
from arbutusrill_pool import PoolDirectory
from arbutusrill_raft import Replica
from arbutusrill_state import ControlClient, Follower, VmIdentity
from arbutusrill_wire import RpcServer, messages

from ._settings import DaemonSettings

__all__ = ["run_roles"]

_TICK_S = 0.2
_RETURN_S = 1.0  # for returning unspent tokens at the end; they are lost to the workspace otherwise


def run_roles(settings: DaemonSettings, stopping: threading.Event) -> None:
    """Serves all roles of `settings` until `stopping` is set, then leaves them in order."""
    with contextlib.ExitStack() as stack:
        if settings.control is not None:
            stack.enter_context(_control(settings))
        if settings.entry is not None:
            stack.enter_context(_entry(settings))
        stopping.wait()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@contextlib.contextmanager
def _control(settings: DaemonSettings):
    role = settings.control
    clock = SystemClock()
    machine = SharedMachine()
    with (
        Replica(role.rpc, settings.control_addresses, role.data_folder, machine) as log,
        ControlClient(settings.control_addresses) as client,
    ):
        service = ControlService(log, machine, clock)
        operators = OperatorApp(service, client, clock, role.operator_token_sha256_by_name)
        with (
            TaskGroup("control", 4) as tasks,
            RpcServer(*_split(role.rpc), {messages.Control: service, messages.Raft: log.handler}),
            HttpServer(*_split(role.http), operators),
        ):
            tasks.every(_TICK_S, service.tick)
            yield


def _limits(follower: Follower, workspace: str) -> Limits | None:
    found = follower.config.limits_of(workspace)
    return None if found is None else Limits(*found)


@contextlib.contextmanager
def _entry(settings: DaemonSettings):
    role = settings.entry
    clock = SystemClock()
    incarnation = new_incarnation()
    identity = VmIdentity(settings.vm, incarnation, role.http, role.rpc, settings.data_centre)
    with ControlClient(settings.control_addresses) as client, TaskGroup("entry", 8) as tasks:
        follower = Follower(identity, client, clock)
        directory = PoolDirectory(settings.vm, incarnation, clock)
        pools = PoolClients(follower, client, directory)
        follower.on_change(lambda: directory.reconcile(list(follower.config.pools_by_name.values())))
        tokens = TokenLeases(
            settings.vm,
            incarnation,
            lambda request: client.call("grant", request, timeout=1.0),
            lambda workspace: _limits(follower, workspace),
            clock,
        )
        application = EntryApp(follower, client, pools, tokens, clock, role.announce_token_sha256)
        limits = HttpLimits(connections=role.connections)
        with (
            RpcServer(*_split(role.rpc), {messages.Pool: directory}),
            HttpServer(*_split(role.http), application, limits),
        ):
            follower.start(tasks)
            tokens.start(tasks)
            yield
        tokens.drain(clock.monotonic() + _RETURN_S)
