"""Measures how resource usage scales with the size of a site on this machine, for docs/CAPACITY.md.

Run as ``python -m arbutusrill_bench.capacity``; takes a few minutes and prints linear fits.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import typer
from arbutusrill_base import SystemClock, hash_key, new_key
from arbutusrill_cli import OperatorError
from arbutusrill_http import Transfer, fetch
from arbutusrill_limits import GrantOwner, Limits
from arbutusrill_state import SharedState, make_command
from arbutusrill_wire import decode, encode, messages

from ._report import commit_name
from ._site import LocalSite, interrupt_on_stop_signals
from ._tap import Tap
from ._usage import Fit, fit, usage_over

__all__ = ["main"]

_ROOT = Path(__file__).parents[2]
_SETTLING_TIME_S = 3.0
_ANNOUNCEMENT_PERIOD_S = 0.5
_MODEL_NAME = "route-writer"


@dataclass(slots=True)
class Table:
    """One series of measurements: a row for each size, which is the first column."""

    title: str
    columns: list[str]
    rows: list[list[float]] = field(default_factory=list)

    def fits(self) -> dict[str, Fit]:
        """Returns a linear fit of each other column over the first; empty with fewer than two rows."""
        if len(self.rows) < 2:
            return {}
        return {
            name: fit([(row[0], row[index]) for row in self.rows])
            for index, name in enumerate(self.columns)
            if index > 0
        }

    def lines(self) -> list[str]:
        """Returns the series as lines of text."""
        lines = [self.title, "  ".join(f"{name:>22}" for name in self.columns)]
        lines += ["  ".join(f"{value:>22.4g}" for value in row) for row in self.rows]
        unit = self.columns[0]
        lines += [
            f"  {name} = {line.base:.4g} + {line.slope:.4g} x {unit} (largest deviation {line.deviation:.2g})"
            for name, line in self.fits().items()
        ]
        return [*lines, ""]


@contextmanager
def _run_site(entries: int, controls: int = 1) -> Iterator[tuple[LocalSite, Tap]]:
    """Starts a site; with one control VM, entry VMs connect to it through a relay that counts bytes."""
    with ExitStack() as stack:
        site = LocalSite(controls=controls, entries=entries)
        tap = stack.enter_context(Tap(site.of_kind("control")[0].rpc))
        if controls == 1:
            for entry in site.of_kind("entry"):
                path = site.folder / f"{entry.name}.json"
                path.write_text(json.dumps({**json.loads(path.read_text()), "control_addresses": [tap.address]}))
        stack.enter_context(site)
        stack.callback(site.kill_all)
        yield site, tap


def entries_series(counts: list[int], window_s: float) -> Table:
    """Measures idle entry VMs and the control VM whose changes they follow."""
    table = Table(
        "entry VMs at rest, one control VM",
        ["entries", "core/entry", "MB/entry", "B/s to control", "B/s from control", "core control", "MB control"],
    )
    for count in counts:
        with _run_site(count) as (site, tap):
            time.sleep(_SETTLING_TIME_S)
            sent, received = tap.to_target, tap.from_target
            usage_by_member = usage_over([*site.of_kind("entry"), *site.of_kind("control")], window_s)
            entry_usages = [usage_by_member[member.name] for member in site.of_kind("entry")]
            control = usage_by_member["control1"]
            table.rows.append(
                [
                    count,
                    sum(row.core for row in entry_usages) / count,
                    sum(row.rss_mb for row in entry_usages) / count,
                    (tap.to_target - sent) / window_s / count,
                    (tap.from_target - received) / window_s / count,
                    control.core,
                    control.rss_mb,
                ]
            )
    return table


def replicas_series(counts: list[int], window_s: float) -> Table:
    """Measures the leader and a follower of three control VMs with idle entry VMs."""
    table = Table(
        "entry VMs at rest, three control VMs",
        ["entries", "core leader", "MB leader", "core follower", "MB follower"],
    )
    for count in counts:
        with _run_site(count, controls=3) as (site, _):
            time.sleep(_SETTLING_TIME_S)
            usage_by_member = usage_over(site.of_kind("control"), window_s)
            leader, *followers = sorted(usage_by_member.values(), key=lambda usage: -usage.core)
            follower = followers[0]
            table.rows.append([count, leader.core, leader.rss_mb, follower.core, follower.rss_mb])
    return table


def workspaces_series(counts: list[int], window_s: float) -> Table:
    """Measures entry and control VMs with many workspaces that have one key each."""
    table = Table(
        "workspaces known, one key each, four entry VMs",
        ["workspaces", "core/entry", "MB/entry", "core control", "MB control", "follow B/s/entry"],
    )
    with _run_site(4) as (site, tap):
        existing_count = 0
        for count in counts:
            with ThreadPoolExecutor(8) as executor:
                list(executor.map(lambda number: _add_workspace(site, number), range(existing_count, count)))
            existing_count = count
            time.sleep(_SETTLING_TIME_S)
            before = tap.from_target + tap.to_target
            usage_by_member = usage_over([*site.of_kind("entry"), *site.of_kind("control")], window_s)
            bytes_per_s = (tap.from_target + tap.to_target - before) / window_s / 4
            entry_usages = [usage_by_member[member.name] for member in site.of_kind("entry")]
            control = usage_by_member["control1"]
            core = sum(row.core for row in entry_usages) / 4
            memory = sum(row.rss_mb for row in entry_usages) / 4
            table.rows.append([count, core, memory, control.core, control.rss_mb, bytes_per_s])
    return table


def _add_workspace(site: LocalSite, number: int) -> None:
    name = f"workspace{number}"
    site.operators.call("PUT", f"/workspaces/{name}", {"rate": 1000.0, "burst": 20_000.0})
    site.operators.call("POST", "/keys", {"workspace": name})


def grants_series(counts: list[int]) -> Table:
    """Measures the processor time and message sizes of one grant request with many workspaces, in this process."""
    table = Table(
        "one grant request with n workspaces, in process", ["workspaces", "ms leader", "B request", "B reply"]
    )
    clock = SystemClock()
    for count in counts:
        owner = GrantOwner(lambda _: Limits(1000.0, 20_000.0), clock)
        owner.begin_epoch(1)
        request = messages.GrantRequest(
            "vm", 1, [messages.GrantItem(f"workspace{number}", 50.0, 0.0) for number in range(count)], 1
        )
        data = encode(request)
        replies = []

        def grant_once(data: bytes = data, owner: GrantOwner = owner, replies: list = replies) -> None:
            replies.append(encode(owner.grant(decode(messages.GrantRequest, data), 1)))

        table.rows.append([count, _mean_cpu_ms(grant_once), len(data), len(replies[-1])])
    return table


def _mean_cpu_ms(function: Callable[[], object], seconds: float = 0.5) -> float:
    """Returns the mean processor time per call in milliseconds, over at least 3 calls and `seconds`."""
    calls = 0
    started = time.process_time()
    while calls < 3 or time.process_time() - started < seconds:
        function()
        calls += 1
    return (time.process_time() - started) * 1000 / calls


def runners_series(counts: list[int], window_s: float) -> Table:
    """Measures the cost of runner announcements at the receiving entry VMs and at the owner of the pool.

    The runners announce themselves to four entry VMs. Up to 400 runners use the real period of
    `_ANNOUNCEMENT_PERIOD_S`; more use a longer period, and the processor time is scaled to the real one.
    """
    table = Table(
        "runners of one pool announced every 0.5 s to four entry VMs",
        ["runners", "core owner", "MB owner", "core/receiver", "announcements/s", "failed"],
    )
    with _run_site(4) as (site, _):
        for count in counts:
            period = _ANNOUNCEMENT_PERIOD_S * max(1.0, count / 400)
            with _AnnouncementSender(site, count, period) as sender:
                time.sleep(_SETTLING_TIME_S + period)
                sent, failed, started = sender.sent, sender.failed, time.monotonic()
                usage_by_member = usage_over(site.of_kind("entry"), window_s)
                elapsed_s = time.monotonic() - started
                rate = (sender.sent - sent) / elapsed_s
                owner = _pool_owner(site)
                others = [usage for name, usage in usage_by_member.items() if name != owner]
                factor = count / _ANNOUNCEMENT_PERIOD_S / max(1.0, rate)
                receiver = sum(usage.core for usage in others) / len(others)
                row = [count, usage_by_member[owner].core * factor, usage_by_member[owner].rss_mb, receiver * factor]
                table.rows.append([*row, rate, sender.failed - failed])
    return table


def _pool_owner(site: LocalSite) -> str:
    pools = site.operators.call("GET", "/status")["pools"]
    return next((pool["owner"] for pool in pools if pool["name"] == _MODEL_NAME), site.of_kind("entry")[0].name)


class _AnnouncementSender:
    """Announces simulated runners from background threads, each once every `period` seconds."""

    _THREADS = 12

    def __init__(self, site: LocalSite, count: int, period: float):
        self._headers = ["Content-Type: application/json", f"Authorization: Bearer {site.announce_token}"]
        self._entries = [member.address for member in site.of_kind("entry")]
        self._count = count
        self._period = period
        self._stopping = False
        self.sent = 0
        self.failed = 0

    def __enter__(self) -> _AnnouncementSender:
        self._executor = ThreadPoolExecutor(self._THREADS)
        for number in range(self._THREADS):
            self._executor.submit(self._run, number)
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping = True
        self._executor.shutdown()

    def _run(self, first: int) -> None:
        due = time.monotonic()
        runners = list(range(first, self._count, self._THREADS))
        while not self._stopping and runners:
            for runner in runners:
                due += self._period / len(runners)
                time.sleep(max(0.0, due - time.monotonic()))
                if self._stopping:
                    return
                url = f"http://{self._entries[runner % len(self._entries)]}/backends/announce"
                result = fetch(Transfer("POST", url, self._headers, _announcement_body(runner), timeout_s=5.0))
                self.sent += 1
                self.failed += result.status != 200


def _announcement_body(runner: int) -> bytes:
    value = {
        "id": f"runner{runner}",
        "incarnation": runner + 1,
        "address": f"http://127.0.0.1:{20_000 + runner}",
        "role": "prefill" if runner % 2 else "decode",
        "pools": [_MODEL_NAME],
        "data_centre": f"dc{runner % 21}",
        "slots": 20,
        "prefill_tokens_per_s": 10_000.0,
        "token_gap_s": 0.014,
        "link_bytes_per_s": 4e9,
        "kv_bytes_per_token": 100_000,
        "running": 10,
        "state": "ready",
    }
    return json.dumps(value).encode()


def revisions_series(counts: list[int]) -> Table:
    """Measures the snapshot size of the shared state after n changes, and the cost to encode and restore it."""
    table = Table(
        "changes applied, in process (a key issued and withdrawn, a default, a workspace, in turn)",
        ["revisions", "KB snapshot", "ms encode", "ms restore", "us apply"],
    )
    state, applied, apply_s = SharedState(), 0, 0.0
    for count in counts:
        commands = [encode(_change_command(number)) for number in range(applied, count)]
        started = time.process_time()
        for data in commands:
            state.apply(data)
        apply_s += time.process_time() - started
        applied = count
        data = state.snapshot()
        encode_ms = _mean_cpu_ms(state.snapshot)
        restored = SharedState()
        restore_ms = _mean_cpu_ms(lambda data=data, restored=restored: restored.restore(data))
        table.rows.append([count, len(data) / 1024, encode_ms, restore_ms, apply_s * 1e6 / max(1, applied)])
    return table


def _change_command(number: int) -> object:
    kind, serial = number % 4, number // 4
    workspace = f"workspace{serial % 1100}"
    change = (
        messages.PutWorkspace(workspace, 1000.0 + serial, 20_000.0, 1.0),
        messages.IssueKey(f"key{serial}", hash_key(new_key()), workspace),
        messages.WithdrawKey(f"key{serial}"),
        messages.SetDefault("limits.rate", str(1000.0 + serial)),
    )[kind]
    return make_command(change, "ops", 1_700_000_000_000 + number)


def transfer_series(counts: list[int]) -> Table:
    """Measures the rate of changes sent by 8 concurrent clients, and how soon a restarted entry VM is ready."""
    table = Table(
        "changes over HTTP at a real site, then an entry VM started anew",
        ["revisions", "changes/s", "s until ready"],
    )
    with _run_site(2) as (site, _):
        change_count = 0
        for count in counts:
            started = time.monotonic()
            with ThreadPoolExecutor(8) as executor:
                list(executor.map(lambda number: _put_workspace(site, number), range(change_count, count)))
            rate = (count - change_count) / (time.monotonic() - started)
            change_count = count
            site.restart("entry2")
            started = time.monotonic()
            site.wait_entries_ready()
            table.rows.append([count, rate, time.monotonic() - started])
    return table


def _put_workspace(site: LocalSite, number: int) -> None:
    site.operators.call("PUT", f"/workspaces/w{number % 1100}", {"rate": 1000.0 + number, "burst": 9000.0})


def main(
    quick: Annotated[bool, typer.Option("--quick", help="use small sizes only, to check the program")] = False,
    out: Annotated[Path, typer.Option(help="directory for the results")] = _ROOT / "out",
) -> None:
    """Runs all series, prints them with their fits and writes ``capacity.json``."""
    window_s = 2.0 if quick else 8.0
    measurements: list[Callable[[], Table]] = [
        lambda: entries_series([2, 4] if quick else [4, 16, 48], window_s),
        lambda: replicas_series([2, 4] if quick else [4, 16, 48], window_s),
        lambda: workspaces_series([10, 50] if quick else [10, 100, 400, 1100], window_s),
        lambda: grants_series([1, 10] if quick else [1, 10, 100, 1100]),
        lambda: runners_series([13, 50] if quick else [13, 100, 400, 1400], window_s),
        lambda: revisions_series([100, 500] if quick else [100, 1000, 4000, 10_000]),
        lambda: transfer_series([50, 200] if quick else [100, 1000, 3000]),
    ]
    head = f"commit {commit_name(_ROOT)}, {time.strftime('%Y-%m-%d %H:%M')}, {os.cpu_count()} processors"
    typer.echo(f"{head}, load average at start {os.getloadavg()[0]:.1f}\n")
    tables = []
    for measure in measurements:
        try:
            tables.append(measure())
        except (OperatorError, ValueError) as error:
            typer.echo(f"series failed: {error}\n")
            continue
        typer.echo("\n".join(tables[-1].lines()))
    typer.echo(f"load average at the end {os.getloadavg()[0]:.1f}")
    out.mkdir(parents=True, exist_ok=True)
    rows = [{**asdict(table), "fits": {name: asdict(line) for name, line in table.fits().items()}} for table in tables]
    (out / "capacity.json").write_text(json.dumps({"head": head, "series": rows}, indent=1))


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
