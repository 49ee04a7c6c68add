"""Randomised fault-injection test: once-only calls run at most once, and the verdicts in error responses are correct.

Run as ``bin/proof once --seed N --seconds S``. Callers send bookings through all entry VMs and retry failed ones, while
entry and control VMs are killed, suspended and restarted and the service cuts connections and delays responses.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import typer
from arbutusrill_http import Transfer, fetch

from ._counting_service import CountingService
from ._site import LocalSite, SiteError, free_address, interrupt_on_stop_signals

__all__ = ["OnceProof", "main"]

_CALLER_COUNT = 8
_MAX_ATTEMPTS = 6
_SETTLING_TIME_S = 6.0  # longer than VMs are suspended, so that their late sends are counted too
_CALL_TIMEOUT_S = 12.0
_SERVICE_NAME = "seats"


class OnceProof:
    """Sends bookings under faults and compares the verdicts with the executions counted by the service."""

    def __init__(self, site: LocalSite, service: CountingService, key: str, seed: int):
        self._site = site
        self._service = service
        self._key = key
        self._seed = seed
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._not_run_ids: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.problems: list[str] = []

    def run(self, seconds: float, faults: bool = True) -> None:
        """Runs callers and fault injection for `seconds`, then checks the invariants."""
        with ThreadPoolExecutor(_CALLER_COUNT + 1) as pool:
            futures = [pool.submit(self._run_caller, number) for number in range(_CALLER_COUNT)]
            if faults:
                futures.append(pool.submit(self._inject_faults))
            self._stopping.wait(seconds)
            self._stopping.set()
            for future in futures:
                future.result()
        time.sleep(_SETTLING_TIME_S if faults else 0.5)
        self.problems += [
            f"{call_id} ran {self._service.runs(call_id)} times" for call_id in self._service.repeated_ids()
        ]
        self.problems += [
            f"{call_id} ran after all, every answer said not_run" for call_id in self._falsely_denied_ids()
        ]

    def _falsely_denied_ids(self) -> list[str]:
        return [call_id for call_id in self._not_run_ids if self._service.runs(call_id)]

    def _run_caller(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._stopping.is_set():
            count += 1
            call_id = f"caller{number}-{count}"
            has_idempotency_key = rng.random() < 0.7
            self._book(call_id, has_idempotency_key, rng)

    def _book(self, call_id: str, has_idempotency_key: bool, rng: random.Random) -> None:
        verdicts = set()
        for _ in range(_MAX_ATTEMPTS if has_idempotency_key else 1):
            verdict = self._send(call_id, has_idempotency_key, rng)
            verdicts.add(verdict)
            if verdict == "answered":
                if self._service.runs(call_id) != 1:
                    self._add_problem(f"{call_id} was answered and ran {self._service.runs(call_id)} times")
                break
            time.sleep(rng.uniform(0, 0.3))
        with self._lock:
            self.outcomes["/".join(sorted(verdicts))] += 1
            if verdicts == {"not_run"}:
                self._not_run_ids.append(call_id)

    def _send(self, call_id: str, has_idempotency_key: bool, rng: random.Random) -> str:
        entry = rng.choice(self._site.of_kind("entry"))
        headers = [f"Authorization: Bearer {self._key}", "Content-Type: application/json"]
        if has_idempotency_key:
            headers.append(f"Idempotency-Key: {call_id}")
        body = json.dumps({"id": call_id}).encode()
        url = f"http://{entry.address}/services/{_SERVICE_NAME}/bookings"
        result = fetch(Transfer("POST", url, headers, body, timeout_s=_CALL_TIMEOUT_S))
        if not result.is_complete:
            return "not_run" if result.error == "connect" else "lost"
        if result.status == 201:
            answer = json.loads(result.body)
            if answer["id"] != call_id:
                self._add_problem(f"{call_id} got the answer to {answer['id']}")
            return "answered"
        return json.loads(result.body)["error"]["verdict"]

    def _add_problem(self, text: str) -> None:
        with self._lock:
            self.problems.append(text)

    def _inject_faults(self) -> None:
        rng = random.Random(f"{self._seed}/faults")
        while not self._stopping.wait(rng.uniform(0.5, 2.0)):
            kind = rng.choice(("entry", "entry", "control"))
            name = rng.choice(self._site.of_kind(kind)).name
            action = rng.choice(("kill", "freeze"))
            self.faults[f"{action} {kind}"] += 1
            if action == "kill":
                self._site.kill(name)
                time.sleep(rng.uniform(0.1, 2.0))
                self._site.start(name)
            else:
                self._site.suspend(name)
                time.sleep(rng.uniform(0.2, 5.0))
                self._site.resume(name)


def prove(seed: int, seconds: float, faults: bool = True, entries: int = 3) -> OnceProof:
    """Runs the test on a new site and returns it with its counts and problems."""
    with LocalSite(entries=entries) as site:
        operators = site.operators
        operators.call("PUT", "/workspaces/dispatch", {"rate": 100_000, "burst": 1_000_000})
        key = operators.call("POST", "/keys", {"workspace": "dispatch"})["key"]
        routes = [{"method": "POST", "prefix": "/bookings", "repeatable": False}]
        revision = operators.call("PUT", f"/services/{_SERVICE_NAME}", {"routes": routes})["revision"]
        weights = (0.85, 0.05, 0.05, 0.05) if faults else (1, 0, 0, 0)
        service = CountingService(seed, weights)
        addresses = [member.address for member in site.of_kind("entry")]
        with service.serve(free_address("127.0.0.1"), _SERVICE_NAME, addresses, site.announce_token):
            operators.call("GET", f"/in-force/{revision}")
            site.wait_for_pool(_SERVICE_NAME)
            proof = OnceProof(site, service, key, seed)
            proof.run(seconds, faults)
    if any(key in value for headers in service.headers_seen for value in headers.values()):
        proof.problems.append("the service saw the caller's key")
    return proof


def main(seed: int = 1, seconds: Annotated[float, typer.Option(help="length of the run in seconds")] = 60.0) -> None:
    """Runs the test; exits with status 1 if an invariant was violated or the site failed."""
    try:
        proof = prove(seed, seconds)
    except SiteError as error:
        print(f"proof not run: {error}")
        raise SystemExit(1) from None
    print(f"seed {seed}, {seconds:g} s, calls by outcome: {dict(proof.outcomes)}, faults: {dict(proof.faults)}")
    for problem in proof.problems:
        print(f"BROKEN: {problem}")
    print("once: no invariant broken" if not proof.problems else f"once: {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
