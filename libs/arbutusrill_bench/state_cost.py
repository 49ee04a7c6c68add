"""Measures the cost of the shared state in one process. Run as ``python -m arbutusrill_bench.state_cost``.

The log is that of a single replica without a disk, and followers call the service without a network, so that the
figures include only the state machine, the grants and the encoding, except for one figure over loopback.
"""

from __future__ import annotations

import threading
import time
import tracemalloc
from collections.abc import Callable
from typing import Annotated

import typer
from arbutusrill_base import SystemClock
from arbutusrill_control import ControlService, SharedStateMachine
from arbutusrill_limits import GrantOwner, Limits
from arbutusrill_raft import LocalLog
from arbutusrill_state import SharedState, make_command
from arbutusrill_wire import RpcClient, RpcServer, encode, messages

__all__ = ["main"]

_WORKSPACE_COUNT = 1100
_REVISION_COUNT = 10_000
_KEY_COUNT = 2200
_MEASUREMENT_S = 1.0


def _measure_rate(call: Callable[[int], object], seconds: float = _MEASUREMENT_S) -> tuple[float, float]:
    """Runs `call` for `seconds`; returns calls per second and processor time per call in microseconds."""
    started, cpu, count = time.monotonic(), time.process_time(), 0
    while time.monotonic() - started < seconds:
        for _ in range(20):
            call(count)
            count += 1
    return count / (time.monotonic() - started), (time.process_time() - cpu) / count * 1e6


def _build_state(workspaces: int, revisions: int, keys: int = 0) -> SharedState:
    state = SharedState()
    for number in range(workspaces):
        state.apply(encode(make_command(messages.PutWorkspace(f"workspace-{number}", 200.0, 2000.0), "ops", 1)))
    for number in range(keys):
        change = messages.IssueKey(f"key-{number:012x}", f"{number:064x}", f"workspace-{number % workspaces}")
        state.apply(encode(make_command(change, "ops", 1)))
    while state.config.revision < revisions:
        state.apply(encode(make_command(messages.SetDefault("limits.rate", "5.0"), "ops", 1)))
    return state


def _print_grant_cost() -> None:
    for items in (1, 10, 100):
        owner = GrantOwner(lambda _: Limits(1e9, 1e9), SystemClock())
        owner.begin_epoch(1)

        def call(number: int, owner: GrantOwner = owner, items: int = items) -> object:
            wanted = [messages.GrantItem(f"workspace-{index}", 100.0, 0.0, 50.0) for index in range(items)]
            return owner.grant(messages.GrantRequest(f"vm{number % 8}", 1, wanted, 0, number + 1), 1)

        per_s, cpu = _measure_rate(call)
        print(f"grant, {items} workspaces in a request: {per_s:,.0f} calls/s, {cpu:.1f} us of processor time each")
    machine = SharedStateMachine()
    service = ControlService(LocalLog(machine), machine, SystemClock())
    service.propose(make_command(messages.PutWorkspace("w", 1e9, 1e9), "ops", 1))
    with RpcServer("127.0.0.1", 0, {messages.Control: service}) as server, RpcClient(server.address) as client:

        def call_rpc(number: int) -> object:
            item = messages.GrantItem("w", 100.0, 0.0, 50.0)
            return client.call(messages.Control, "grant", messages.GrantRequest("v", 1, [item], 0, number), timeout=5)

        per_s, cpu = _measure_rate(call_rpc)
    print(f"grant over loopback, client and server in one process: {per_s:,.0f} calls/s, {cpu:.0f} us each")


def _print_journal_cost() -> None:
    state = SharedState()
    state.apply(encode(make_command(messages.PutVm("vm1", "a", "b", "", 1, "live"), "ops", 1)))
    body = b"x" * 500

    def call(number: int) -> None:
        begin = messages.JournalBegin("workspace-1", f"booking-{number}", b"d" * 32, "vm1", 1)
        state.apply(encode(make_command(begin, "vm1", 1, f"beg-{number}")))
        finish = messages.JournalFinish("workspace-1", f"booking-{number}", 1, "done", 201, "[]", body, f"beg-{number}")
        state.apply(encode(make_command(finish, "vm1", 1)))

    per_s, cpu = _measure_rate(call)
    print(f"journal begin and finish in the state machine: {per_s:,.0f} pairs/s, {cpu:.0f} us each")


def _print_follow_cost(followers: int, seconds: float) -> None:
    machine = SharedStateMachine()
    service = ControlService(LocalLog(machine), machine, SystemClock())
    service.tick()
    stopping = threading.Event()
    sent_bytes = [0] * followers

    def follow(index: int) -> None:
        revision = 0
        while not stopping.is_set():
            request = messages.FollowRequest(f"vm{index}", 1, "a", "b", "dc", "live", revision, 400)
            reply = service.follow(request)
            sent_bytes[index] += len(encode(reply))
            revision = reply.commands[-1].revision if reply.commands else revision
            if reply.snapshot is not None:
                revision = reply.snapshot.revision

    threads = [threading.Thread(target=follow, args=(index,)) for index in range(followers)]
    for thread in threads:
        thread.start()
    time.sleep(2)
    for changes in (0, 5):
        cpu, started, sent = time.process_time(), time.monotonic(), sum(sent_bytes)
        while (elapsed := time.monotonic() - started) < seconds:
            if changes:
                service.propose(make_command(messages.SetDefault("limits.rate", "5.0"), "ops", 1))
            time.sleep(1 / changes if changes else min(0.5, seconds - elapsed))
        cpu_fraction = (time.process_time() - cpu) / (time.monotonic() - started)
        kb = (sum(sent_bytes) - sent) / (time.monotonic() - started) / 1000 / followers
        print(f"follow, {followers} followers, {changes} changes/s: {cpu_fraction:.1%} of a core, {kb:.2f} kB/s each")
    stopping.set()
    for thread in threads:
        thread.join()


def _allocated_bytes(build: Callable[[], object]) -> tuple[object, int]:
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return built, size


def _print_memory_cost() -> None:
    count = 2000
    _, empty = _allocated_bytes(lambda: _build_state(0, 0))
    _, workspaces = _allocated_bytes(lambda: _build_state(count, 0))
    _, keys = _allocated_bytes(lambda: _build_state(1, 0, count))
    print(f"memory per workspace, with its command and first answer: {(workspaces - empty) / count:,.0f} bytes")
    print(f"memory per key, with its command and first answer: {(keys - empty) / count:,.0f} bytes")
    for body in (0, 500, 65_536):

        def build(body: int = body) -> SharedState:
            state = SharedState()
            for number in range(count // 4):
                begin = messages.JournalBegin("workspace-1", f"booking-{number}", b"d" * 32, "vm1", 1)
                state.apply(encode(make_command(begin, "vm1", 1, f"beg-{number:026d}")))
                finish = messages.JournalFinish("workspace-1", f"booking-{number}", 1, "done", 201, "[]", b"x" * body)
                state.apply(encode(make_command(finish, "vm1", 1)))
            return state

        state, size = _allocated_bytes(build)
        snapshot = len(state.journal.snapshot()) / (count // 4)
        per_entry = (size - empty) / (count // 4)
        print(f"journal entry, body of {body} bytes: {per_entry:,.0f} bytes in memory, {snapshot:,.0f} in a snapshot")


def _print_snapshot_cost() -> None:
    state = _build_state(_WORKSPACE_COUNT, _REVISION_COUNT, _KEY_COUNT)
    started = time.perf_counter()
    data = state.snapshot()
    made_s = time.perf_counter() - started
    other = SharedState()
    started = time.perf_counter()
    other.restore(data)
    restored_s = time.perf_counter() - started
    print(
        f"{_WORKSPACE_COUNT} workspaces, {_KEY_COUNT} keys, {state.config.revision} revisions: snapshot "
        f"{len(data):,} bytes, made in {made_s * 1000:.0f} ms, restored in {restored_s * 1000:.0f} ms"
    )
    follower = encode(state.config.snapshot(with_first_answers=False))
    print(f"the same for a follower: {len(follower):,} bytes")


def main(
    followers: Annotated[str, typer.Option(help="comma-separated numbers of followers")] = "8,64,400",
    seconds: float = 5,
) -> None:
    """Runs all measurements and prints one line for each figure."""
    _print_grant_cost()
    _print_journal_cost()
    _print_memory_cost()
    _print_snapshot_cost()
    for count in followers.split(","):
        _print_follow_cost(int(count), seconds)


if __name__ == "__main__":
    typer.run(main)
