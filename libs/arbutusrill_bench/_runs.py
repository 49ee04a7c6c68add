"""One run: starts a site, sends a scenario's load through it, and measures."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from arbutusrill_http import Transfer, fetch

from ._load import LoadJob, Outcome
from ._measures import Measures, Targets, measure
from ._scenarios import Event, Scenario
from ._site import LocalSite, SiteError
from ._workload import Planned, Span, plan

__all__ = ["Run", "RunOptions", "run_scenario"]

MODEL = "route-writer"
SERVICE = "seats"
_PREFILL_RATE = 10_000.0
_TOKEN_GAP_S = 0.014
_KV_LIFE_S = 0.9
_LINK_RATE = 4e9
_LEAD_S = 2.0  # for the load processes to start
_DRAIN_S = 60.0
_LATE_MS = 20.0  # a request sent later than this, at 99%, does not follow its plan: a token gap is 14 to 31 ms
_ROUTES = [
    {"method": "POST", "prefix": "/bookings", "repeatable": False},
    {"method": "GET", "prefix": "/", "repeatable": True},
]


@dataclass(slots=True, frozen=True)
class RunOptions:
    """Settings that all runs of one bench share. `time_scale` multiplies all times of the load and the engines."""

    seed: int = 1
    span: Span = Span(2.0, 9.0, 8.0)
    time_scale: float = 1.0
    load_processes: int = 3


@dataclass(slots=True)
class Run:
    """The report of one run. `busy_share` is the part of all processors in use, by anybody, while it lasted.

    `disturbed` says that the machine had more to do than processors, or that requests were sent late: latencies
    of such a run are partly the machine's, and its figures prove nothing about a policy.
    """

    scenario: str
    policy: str
    seed: int
    seconds: float
    time_scale: float
    load_average: float = 0.0
    busy_share: float = 0.0
    disturbed: bool = False
    failed: str = ""
    measures: Measures = field(default_factory=Measures)
    engines: dict[str, dict[str, float]] = field(default_factory=dict)


class _Cpu:
    """Part of the machine's processors in use since the object was made."""

    def __init__(self) -> None:
        self._start = self._read()

    @staticmethod
    def _read() -> tuple[int, int]:
        numbers = [int(word) for word in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
        return sum(numbers), numbers[3] + numbers[4]

    def busy_share(self) -> float:
        total, idle = (now - then for now, then in zip(self._read(), self._start, strict=True))
        return 1 - idle / max(1, total)


def run_scenario(scenario: Scenario, policy: str, options: RunOptions) -> Run:
    """Runs one scenario under one policy; a site that does not come up is reported in `failed`."""
    run = Run(scenario.name, policy, options.seed, options.span.measured, options.time_scale)
    cpu = _Cpu()
    try:
        with LocalSite(controls=scenario.controls, entries=scenario.entries) as site:
            try:
                _Driver(site, scenario, policy, options, run).drive()
            finally:
                site.kill_all()
    except (SiteError, subprocess.TimeoutExpired) as error:
        run.failed = str(error)
    run.load_average = os.getloadavg()[0]
    run.busy_share = cpu.busy_share()
    late_ms = run.measures.sent_late_p99_ms
    run.disturbed = run.load_average > (os.cpu_count() or 1) or late_ms > _LATE_MS * options.time_scale
    return run


class _Driver:
    def __init__(self, site: LocalSite, scenario: Scenario, policy: str, options: RunOptions, run: Run):
        self._site = site
        self._scenario = scenario
        self._policy = policy
        self._options = options
        self._run = run
        self._load = scenario.load.scaled(options.time_scale)
        self._targets = Targets(2.0 * options.time_scale, 0.031 * options.time_scale)
        self._key_by_workspace: dict[str, str] = {}

    def drive(self) -> None:
        """Prepares the site, sends the load and works out the measures."""
        self._prepare()
        options = self._options
        requests = plan(self._load, options.span, options.seed)
        jobs, processes = self._start_load(requests)
        try:
            self._watch(jobs, processes)
        finally:
            for process in processes:
                if process.poll() is None:
                    process.kill()
                process.wait()
        outcome_by_number = {}
        for job in jobs:
            rows = json.loads(Path(job.answer_path).read_text())
            outcome_by_number.update({row["number"]: Outcome(**row) for row in rows})
        self._run.measures = measure(self._load, requests, outcome_by_number, self._targets, options.span)
        self._sum_counters()

    # ---- preparation

    def _prepare(self) -> None:
        operators = self._site.operators
        for name, value in (
            ("policy.name", self._policy),
            ("targets.first_token_s", self._targets.first_token_s),
            ("targets.token_gap_s", self._targets.token_gap_s),
            ("queue.max_wait_s.interactive", 5.0 * self._options.time_scale),
        ):
            operators.call("PUT", f"/defaults/{name}", {"value": value})
        for workspace in self._load.workspaces:
            rate, burst = self._load.limit(workspace)
            operators.call("PUT", f"/workspaces/{workspace.name}", {"rate": rate, "burst": burst})
            issued = operators.call("POST", "/keys", {"workspace": workspace.name})
            self._key_by_workspace[workspace.name] = issued["key"]
        revision = operators.call("PUT", f"/services/{SERVICE}", {"routes": _ROUTES})["revision"]
        self._start_servers()
        operators.call("GET", f"/in-force/{revision}")
        for pool in (MODEL, SERVICE):
            self._site.wait_for_pool(pool)
        self._site.wait_until(self._all_heard, "all backend servers have announced themselves")
        self._site.wait_until(self._answers, "every entry VM completes a request")

    def _start_servers(self) -> None:
        scale = self._options.time_scale
        count_by_role = {"prefill": 0, "decode": 0}
        for number, runner in enumerate(self._scenario.runners):
            count_by_role[runner.role] += 1
            name = f"engine-{runner.role[0]}{count_by_role[runner.role]}"
            self._site.add_engine(
                name,
                *("--role", runner.role, "--models", MODEL, "--speed", str(runner.speed)),
                *("--data-centre", f"dc{number % 3 + 1}", "--kv-life", str(_KV_LIFE_S * scale)),
                *("--prefill-rate", str(_PREFILL_RATE / scale), "--token-gap", str(_TOKEN_GAP_S * scale)),
                *("--link-rate", str(_LINK_RATE / scale), "--cache-tokens", "60000"),
            )
        for number in range(self._scenario.plain):
            options = ("--service", SERVICE, "--data-centre", f"dc{number % 3 + 1}", "--work", str(0.02 * scale))
            self._site.add_service(f"seats{number + 1}", *options)

    def _all_heard(self) -> bool:
        """Says whether the announcement of each engine and service has had time to arrive."""
        members = [*self._site.of_kind("engine"), *self._site.of_kind("seats")]
        return all(self._counters(member.address) is not None for member in members)

    def _answers(self) -> bool:
        key = next(iter(self._key_by_workspace.values()))
        headers = ["Content-Type: application/json", f"Authorization: Bearer {key}"]
        body = json.dumps({"model": MODEL, "prompt": "warm up", "max_tokens": 2}).encode()
        for entry in self._site.of_kind("entry"):
            url = f"http://{entry.address}/v1/completions"
            result = fetch(Transfer("POST", url, headers, body, timeout_s=5.0, fresh=True))
            if not result.whole or result.status != 200:
                return False
        return True

    # ---- load and faults

    def _start_load(self, requests: list[Planned]) -> tuple[list[LoadJob], list[subprocess.Popen]]:
        count = self._options.load_processes
        start_at = time.monotonic() + _LEAD_S
        jobs, processes = [], []
        for number in range(count):
            answer = self._site.folder / f"outcomes{number}.json"
            job = LoadJob(
                self._options.seed,
                start_at,
                self._options.span.end,
                MODEL,
                SERVICE,
                [member.address for member in self._site.of_kind("entry")],
                self._key_by_workspace,
                requests[number::count],
                str(answer),
            )
            path = self._site.folder / f"job{number}.json"
            job.write(path)
            jobs.append(job)
            command = [sys.executable, "-m", "arbutusrill_bench._load", str(path)]
            processes.append(subprocess.Popen(command, stdin=subprocess.DEVNULL))
        return jobs, processes

    def _watch(self, jobs: list[LoadJob], processes: list[subprocess.Popen]) -> None:
        """Carries out the events and keeps the engines' counters until all measured requests have ended."""
        span, start_at = self._options.span, jobs[0].start_at
        events = sorted(self._scenario.events, key=lambda event: event.at)
        deadline = start_at + span.end + span.after + _DRAIN_S * self._options.time_scale
        while not all(Path(job.answer_path).exists() for job in jobs):
            now = time.monotonic()
            if now > deadline:
                raise SiteError("the measured requests did not end in time")
            if any(process.poll() for process in processes):
                raise SiteError("a load process failed")
            while events and span.part(now - start_at) >= events[0].at:
                self._happen(events.pop(0))
            self._count()
            time.sleep(0.2)
        self._count()

    def _happen(self, event: Event) -> None:
        name = self._leader() if event.member == "control-leader" else event.member
        if event.action == "kill":
            self._site.kill(name)
        elif event.action == "freeze":
            self._site.freeze(name)
        else:
            body: dict[str, Any] = {"kind": event.action, **dict(event.options)}
            if "part" in body:
                body["for_s"] = body.pop("part") * self._options.span.measured
            url = f"http://{self._site.members_by_name[name].address}/stand-in/fault"
            result = fetch(Transfer("POST", url, [], json.dumps(body).encode(), timeout_s=3.0))
            if result.status != 200:
                raise SiteError(f"fault {event.action} not accepted by {name}")

    def _leader(self) -> str:
        leader = self._site.operators.call("GET", "/status")["replica"].get("leader", "")
        for member in self._site.of_kind("control"):
            if leader in (member.rpc, member.name, member.address):
                return member.name
        return self._site.of_kind("control")[0].name

    # ---- counters

    def _counters(self, address: str) -> dict[str, Any] | None:
        result = fetch(Transfer("GET", f"http://{address}/stand-in/counters", timeout_s=2.0))
        return json.loads(result.body) if result.whole and result.status == 200 else None

    def _count(self) -> None:
        """Keeps the last known counters of each engine, also of one that is killed later."""
        for member in self._site.of_kind("engine"):
            if member.process is not None and member.process.poll() is None:
                known = self._run.engines.get(member.name, {})
                self._run.engines[member.name] = self._counters(member.address) or known

    def _sum_counters(self) -> None:
        measures = self._run.measures
        totals = self._run.engines.values()
        measures.prefill_tokens = sum(row.get("prefill_tokens", 0) for row in totals)
        wasted = sum(row.get("prefill_tokens_wasted", 0) for row in totals)
        measures.wasted_prefill_share = wasted / max(1.0, measures.prefill_tokens)
        for member in self._site.of_kind("seats"):
            measures.bookings_repeated += (self._counters(member.address) or {}).get("repeated", 0)
