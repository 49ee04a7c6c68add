"""Measures the control group: throughput with fsync, failover, idle cost, restart and state transfer.

Run as ``bin/proof raft_speed``. Load comes from one other process over loopback; the figures depend on what else the
machine runs, so the load average is printed with them.
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any

import typer
from arbutusrill_base import new_request_id
from arbutusrill_cli import OperatorError
from arbutusrill_state import ControlClient, command
from arbutusrill_wire import RpcClient, RpcError, messages

from ._site import LocalSite, Member, SiteError
from .proof_raft import RaftProof

__all__ = ["RaftSpeed", "main"]

_CALL_S = 5.0
_HEADER_BYTES = 52  # IPv4 and TCP with timestamps, for each packet
_TARGETS = "targets: failover 3 s, 200 once-only calls/s of 2 proposals each, state transfer 5 s"


class RaftSpeed:
    """Measurements on a site of three control VMs without other load."""

    def __init__(self, site: LocalSite):
        self._site = site
        self._controls = site.of_kind("control")
        self._proof = RaftProof(site, 1)

    # ---- throughput

    def proposals_per_s(self, proposers: int, seconds: float) -> float:
        """Returns changes accepted per second from `proposers` operators that each wait for their answer."""

        def change(client: RpcClient, number: int) -> None:
            made = command(messages.PutWorkspace(f"w{number}", 1.0, 1.0), "speed", 0, new_request_id("speed"))
            client.call(messages.Control, "propose", made, timeout=_CALL_S)

        return self._per_s(change, proposers, seconds)

    def calls_per_s(self, callers: int, seconds: float) -> float:
        """Returns once-only calls per second, each an intent and a result in the journal."""

        def call(client: RpcClient, number: int) -> None:
            key = new_request_id("call")
            begin = command(messages.JournalBegin("dispatch", key, b"digest", "vm", 1), "speed", 0)
            answer = client.call(messages.Control, "begin_call", begin, timeout=_CALL_S)
            if answer.status != "started":
                raise SiteError(f"a new key got {answer.status}")
            finish = messages.JournalFinish("dispatch", key, answer.attempt, "done", 200, "[]", bytes(500))
            client.call(messages.Control, "finish_call", command(finish, "speed", 0), timeout=_CALL_S)

        return self._per_s(call, callers, seconds)

    def _per_s(self, work: Callable[[RpcClient, int], None], threads: int, seconds: float) -> float:
        leader = self._proof.leader()
        begin = threading.Barrier(threads)

        def run(number: int) -> tuple[int, float]:
            count = 0
            with RpcClient(leader.rpc) as client:
                begin.wait()
                started = time.monotonic()
                while time.monotonic() < started + seconds:
                    work(client, number)
                    count += 1
                return count, time.monotonic() - started

        with ThreadPoolExecutor(threads) as pool:
            results = list(pool.map(run, range(threads)))
        return sum(count for count, _ in results) / max(elapsed for _, elapsed in results)

    # ---- failover and transfer

    def failover_s(self) -> float:
        """Kills the leader and returns the time until a change begun after the kill is accepted."""
        leader = self._proof.leader()
        with ControlClient([member.rpc for member in self._controls]) as client:
            self._site.kill(leader.name)
            started = time.monotonic()
            made = command(messages.PutWorkspace("failover", 1.0, 1.0), "speed", 0)
            client.call("propose", made, timeout=60.0, try_timeout=60.0)
            taken = time.monotonic() - started
        self._site.start(leader.name)
        self._wait_equal()
        return taken

    def restart_s(self, changes: int) -> float:
        """Restarts a follower that missed `changes` changes; returns the time from its start to an equal state."""
        member = next(m for m in self._controls if m is not self._proof.leader())
        self._site.kill(member.name)
        self._change(changes)
        started = time.monotonic()
        self._site.start(member.name)
        self._wait_equal()
        return time.monotonic() - started

    def transfer_s(self, changes: int) -> float:
        """Replaces the disk of a follower after `changes` changes; returns the time from its start to its vote."""
        self._change(changes)
        return self._proof.replace_disk(next(m for m in self._controls if m is not self._proof.leader()))

    def cold_start_s(self) -> float:
        """Kills all control VMs and returns the time from their start until an operator gets an answer."""
        for member in self._controls:
            self._site.kill(member.name)
        started = time.monotonic()
        for member in self._controls:
            self._site.start(member.name)
        self._proof.leader()
        return time.monotonic() - started

    def _change(self, count: int) -> None:
        with RpcClient(self._proof.leader().rpc) as client:
            for number in range(count):
                made = command(messages.PutWorkspace(f"x{number}", 1.0, 1.0), "speed", 0, new_request_id("speed"))
                client.call(messages.Control, "propose", made, timeout=_CALL_S)

    def _wait_equal(self) -> None:
        clients = [RpcClient(member.rpc) for member in self._controls]

        def equal() -> bool:
            try:
                rows = [client.call(messages.Control, "replica_status", timeout=1.0) for client in clients]
            except RpcError:
                return False
            return len({row.applied_index for row in rows}) == 1

        self._site.wait_until(equal, "all replicas have applied the same entries", 60.0)
        for client in clients:
            client.close()

    # ---- idle cost

    def idle(self, seconds: float) -> list[dict[str, Any]]:
        """Returns for each replica its part of a core, memory and bytes/s sent and received without any changes."""
        leader = self._proof.leader()
        before = [(_cpu_s(member), _traffic(member)) for member in self._controls]
        time.sleep(seconds)
        rows = []
        for member, (cpu, traffic) in zip(self._controls, before, strict=True):
            now = _traffic(member)
            rows.append(
                {
                    "replica": member.name,
                    "leads": member is leader,
                    "core": round((_cpu_s(member) - cpu) / seconds, 4),
                    "rss_mb": round(_rss_mb(member), 1),
                    "payload_bytes_per_s": round((now[0] - traffic[0]) / seconds),
                    "wire_bytes_per_s": round((now[0] - traffic[0] + _HEADER_BYTES * (now[1] - traffic[1])) / seconds),
                }
            )
        return rows


def _cpu_s(member: Member) -> float:
    with open(f"/proc/{member.process.pid}/stat") as file:  # noqa: PTH123
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_mb(member: Member) -> float:
    with open(f"/proc/{member.process.pid}/statm") as file:  # noqa: PTH123
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def _traffic(member: Member) -> tuple[int, int]:
    """Returns bytes and packets of the open connections of a process, both directions; zeros without ``ss``."""
    if shutil.which("ss") is None:
        return 0, 0
    lines = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout.splitlines()
    mine = [line for line in lines if f"pid={member.process.pid}," in line]
    sums = [
        sum(int(value) for line in mine for value in re.findall(rf"\b{field}:(\d+)", line))
        for field in ("bytes_sent", "bytes_received", "segs_out", "segs_in")
    ]
    return sums[0] + sums[1], sums[2] + sums[3]


def main(
    seconds: Annotated[float, typer.Option(help="length of each throughput measurement")] = 5.0,
    kills: Annotated[int, typer.Option(help="leaders killed to measure failover")] = 5,
    changes: Annotated[int, typer.Option(help="changes before a restart and a state transfer")] = 1000,
) -> None:
    """Prints the figures; exits with 1 when the site fails."""
    try:
        with LocalSite(controls=3, entries=0) as site:
            speed = RaftSpeed(site)
            print(f"load average at the start: {os.getloadavg()[0]:.1f}; {_TARGETS}")
            print("idle:")
            for row in speed.idle(10.0):
                print(f"  {row}")
            for proposers in (1, 16, 64):
                print(f"{proposers} proposers: {speed.proposals_per_s(proposers, seconds):.0f} proposals/s")
            for callers in (16, 64):
                print(f"{callers} callers: {speed.calls_per_s(callers, seconds):.0f} once-only calls/s")
            print(f"follower restarted after {changes} changes, s: {speed.restart_s(changes):.2f}")
            print(f"disk replaced after {changes} changes, s: {speed.transfer_s(changes):.2f}")
            print(f"all three restarted, s: {speed.cold_start_s():.2f}")
            failovers = [round(speed.failover_s(), 2) for _ in range(kills)]
            print(f"failover after a leader kill, s: {failovers}")
            print(f"load average at the end: {os.getloadavg()[0]:.1f}")
    except (SiteError, OperatorError, RpcError) as error:
        print(f"measurement failed: {error}")
        raise SystemExit(1) from None


if __name__ == "__main__":
    typer.run(main)
