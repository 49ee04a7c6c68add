"""Executes one benchmark run: starts a site, sends the load of a scenario and computes the measures."""

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
from ._workload import PlannedRequest, Span, plan

__all__ = ["Run", "RunOptions", "run_scenario"]

MODEL = "route-writer"
SERVICE = "seats"
_PREFILL_TOKENS_PER_S = 10_000.0
_TOKEN_GAP_S = 0.014
_KV_LIFETIME_S = 0.9
_LINK_BYTES_PER_S = 4e9
_LOAD_START_DELAY_S = 2.0  # time for the load processes to start
_COMPLETION_TIMEOUT_S = 60.0
_MAX_SEND_DELAY_MS = 20.0  # a larger 99% quantile distorts latencies: a token gap is 14 to 31 ms
_ROUTES = [
    {"method": "POST", "prefix": "/bookings", "repeatable": False},
    {"method": "GET", "prefix": "/", "repeatable": True},
]


@dataclass(slots=True, frozen=True)
class RunOptions:
    """Settings shared by all runs of a benchmark. `time_scale` multiplies all times of the load and the engines."""

    seed: int = 1
    span: Span = Span(2.0, 9.0, 8.0)
    time_scale: float = 1.0
    load_processes: int = 3


@dataclass(slots=True)
class Run:
    """Results of one run. `busy_share` is the fraction of all processors in use during the run, by any process.

    `disturbed` is set when the load average exceeded the number of processors or requests were sent late. The
    latencies of such a run depend partly on the machine, so its figures do not allow conclusions about a policy.
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


class _CpuUsage:
    """Measures the fraction of the machine's processor time in use since the object was created."""

    def __init__(self) -> None:
        self._start = self._read_ticks()

    @staticmethod
    def _read_ticks() -> tuple[int, int]:
        numbers = [int(word) for word in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
        return sum(numbers), numbers[3] + numbers[4]

    def busy_share(self) -> float:
        total, idle = (now - then for now, then in zip(self._read_ticks(), self._start, strict=True))
        return 1 - idle / max(1, total)


def run_scenario(scenario: Scenario, policy: str, options: RunOptions) -> Run:
    """Runs one scenario under one policy; a site that fails to start or breaks down is reported in `failed`."""
    run = Run(scenario.name, policy, options.seed, options.span.measured, options.time_scale)
    cpu = _CpuUsage()
    try:
        with LocalSite(controls=scenario.controls, entries=scenario.entries) as site:
            try:
                _ScenarioDriver(site, scenario, policy, options, run).drive()
            finally:
                site.kill_all()
    except (SiteError, subprocess.TimeoutExpired) as error:
        run.failed = str(error)
    run.load_average = os.getloadavg()[0]
    run.busy_share = cpu.busy_share()
    late_ms = run.measures.sent_late_p99_ms
    run.disturbed = run.load_average > (os.cpu_count() or 1) or late_ms > _MAX_SEND_DELAY_MS * options.time_scale
    return run


class _ScenarioDriver:
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
        """Configures the site, sends the load and computes the measures."""
        self._configure_site()
        options = self._options
        requests = plan(self._load, options.span, options.seed)
        jobs, processes = self._start_load(requests)
        try:
            self._inject_events(jobs, processes)
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
        self._aggregate_counters()

    def _configure_site(self) -> None:
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
        self._site.wait_until(self._all_announced, "all backend servers have announced themselves")
        self._site.wait_until(self._all_entries_serve, "every entry VM completes a request")

    def _start_servers(self) -> None:
        scale = self._options.time_scale
        count_by_role = {"prefill": 0, "decode": 0}
        for number, runner in enumerate(self._scenario.runners):
            count_by_role[runner.role] += 1
            name = f"engine-{runner.role[0]}{count_by_role[runner.role]}"
            self._site.add_engine(
                name,
                *("--role", runner.role, "--models", MODEL, "--speed", str(runner.speed)),
                *("--data-centre", f"dc{number % 3 + 1}", "--kv-life", str(_KV_LIFETIME_S * scale)),
                *("--prefill-rate", str(_PREFILL_TOKENS_PER_S / scale), "--token-gap", str(_TOKEN_GAP_S * scale)),
                *("--link-rate", str(_LINK_BYTES_PER_S / scale), "--cache-tokens", "60000"),
            )
        for number in range(self._scenario.plain):
            options = ("--service", SERVICE, "--data-centre", f"dc{number % 3 + 1}", "--work", str(0.02 * scale))
            self._site.add_service(f"seats{number + 1}", *options)

    def _all_announced(self) -> bool:
        """Says whether the announcement of each engine and service has had time to arrive."""
        members = [*self._site.of_kind("engine"), *self._site.of_kind("seats")]
        return all(self._fetch_counters(member.address) is not None for member in members)

    def _all_entries_serve(self) -> bool:
        key = next(iter(self._key_by_workspace.values()))
        headers = ["Content-Type: application/json", f"Authorization: Bearer {key}"]
        body = json.dumps({"model": MODEL, "prompt": "warm up", "max_tokens": 2}).encode()
        for entry in self._site.of_kind("entry"):
            url = f"http://{entry.address}/v1/completions"
            result = fetch(Transfer("POST", url, headers, body, timeout_s=5.0))
            if not result.is_complete or result.status != 200:
                return False
        return True

    def _start_load(self, requests: list[PlannedRequest]) -> tuple[list[LoadJob], list[subprocess.Popen]]:
        count = self._options.load_processes
        start_at = time.monotonic() + _LOAD_START_DELAY_S
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

    def _inject_events(self, jobs: list[LoadJob], processes: list[subprocess.Popen]) -> None:
        """Injects the scenario's events and polls the engine counters until all measured requests have ended."""
        span, start_at = self._options.span, jobs[0].start_at
        events = sorted(self._scenario.events, key=lambda event: event.at)
        deadline = start_at + span.end + span.cool_down + _COMPLETION_TIMEOUT_S * self._options.time_scale
        while not all(Path(job.answer_path).exists() for job in jobs):
            now = time.monotonic()
            if now > deadline:
                raise SiteError("timed out waiting for the outcomes of the measured requests")
            if any(process.poll() for process in processes):
                raise SiteError("a load process exited with an error")
            while events and span.fraction(now - start_at) >= events[0].at:
                self._inject_event(events.pop(0))
            self._update_engine_counters()
            time.sleep(0.2)
        self._update_engine_counters()

    def _inject_event(self, event: Event) -> None:
        name = self._leader_name() if event.member == "control-leader" else event.member
        if event.action == "kill":
            self._site.kill(name)
        elif event.action == "freeze":
            self._site.suspend(name)
        else:
            body: dict[str, Any] = {"kind": event.action, **dict(event.options)}
            if "part" in body:
                body["for_s"] = body.pop("part") * self._options.span.measured
            url = f"http://{self._site.members_by_name[name].address}/stand-in/fault"
            result = fetch(Transfer("POST", url, [], json.dumps(body).encode(), timeout_s=3.0))
            if result.status != 200:
                raise SiteError(f"fault {event.action} was rejected by {name}")

    def _leader_name(self) -> str:
        leader = self._site.operators.call("GET", "/status")["replica"].get("leader", "")
        for member in self._site.of_kind("control"):
            if leader in (member.rpc, member.name, member.address):
                return member.name
        return self._site.of_kind("control")[0].name

    def _fetch_counters(self, address: str) -> dict[str, Any] | None:
        result = fetch(Transfer("GET", f"http://{address}/stand-in/counters", timeout_s=2.0))
        return json.loads(result.body) if result.is_complete and result.status == 200 else None

    def _update_engine_counters(self) -> None:
        """Stores the latest counters of each running engine, so that those of a killed engine remain available."""
        for member in self._site.of_kind("engine"):
            if member.process is not None and member.process.poll() is None:
                previous = self._run.engines.get(member.name, {})
                self._run.engines[member.name] = self._fetch_counters(member.address) or previous

    def _aggregate_counters(self) -> None:
        measures = self._run.measures
        counters_by_engine = self._run.engines.values()
        measures.prefill_tokens = sum(row.get("prefill_tokens", 0) for row in counters_by_engine)
        wasted = sum(row.get("prefill_tokens_wasted", 0) for row in counters_by_engine)
        measures.wasted_prefill_share = wasted / max(1.0, measures.prefill_tokens)
        for member in self._site.of_kind("seats"):
            measures.bookings_repeated += (self._fetch_counters(member.address) or {}).get("repeated", 0)
