"""Randomised fault-injection test: in no time window does a workspace exceed its rate and burst over all entry VMs.

Run as ``bin/proof limit --seed N --seconds S``. Callers send calls of one workspace to five entry VMs at a high rate,
while control VMs, including the leader, are killed and entry VMs are suspended.
"""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import typer
from arbutusrill_http import Transfer, fetch

from ._site import LocalSite, SiteError, interrupt_on_stop_signals

__all__ = ["LimitProof", "main", "prove"]

RATE_TOKENS_PER_S, BURST_TOKENS, CALL_COST_TOKENS = 400.0, 800.0, 20.0
_CALLER_COUNT = 15
_CALL_TIMEOUT_S = 10.0
_SERVICE_NAME = "seats"


class LimitProof:
    """Floods a site with calls and records the monotonic times at which each admitted one was sent and answered."""

    def __init__(self, site: LocalSite, key: str, seed: int):
        self._site = site
        self._headers = [f"Authorization: Bearer {key}", "X-Deadline-Ms: 1000"]
        self._rng = random.Random(seed)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._admitted: list[tuple[float, float]] = []
        self.statuses: Counter[int] = Counter()
        self.faults: Counter[str] = Counter()
        self.problems: list[str] = []

    def run(self, seconds: float) -> None:
        """Floods the site for `seconds` under faults, then checks all windows."""
        with ThreadPoolExecutor(_CALLER_COUNT) as pool:
            callers = [pool.submit(self._run_caller, number) for number in range(_CALLER_COUNT)]
            deadline = time.monotonic() + seconds
            try:
                while time.monotonic() < deadline:
                    time.sleep(self._rng.uniform(1.0, 3.0))
                    self._inject_fault()
            finally:
                self._stopping.set()
            for caller in callers:
                caller.result()
        self._check_windows()

    def _run_caller(self, number: int) -> None:
        entries = self._site.of_kind("entry")
        while not self._stopping.is_set():
            entry = entries[number % len(entries)]
            sent = time.monotonic()
            url = f"http://{entry.address}/services/{_SERVICE_NAME}/stops/1"
            result = fetch(Transfer("GET", url, self._headers, timeout_s=_CALL_TIMEOUT_S))
            with self._lock:
                self.statuses[result.status if result.is_complete else 0] += 1
                if result.is_complete and result.status == 200:
                    self._admitted.append((sent, time.monotonic()))
            time.sleep(0.01)

    def _inject_fault(self) -> None:
        kind = self._rng.choice(("control", "entry"))
        name = self._rng.choice(self._site.of_kind(kind)).name
        if kind == "control":
            self.faults["control VM killed"] += 1
            self._site.kill(name)
            time.sleep(self._rng.uniform(0.5, 2.0))
            self._site.start(name)
            time.sleep(2.0)  # a group of three replicas tolerates the loss of one at a time
        else:
            self.faults["entry VM frozen"] += 1
            self._site.suspend(name)
            time.sleep(self._rng.uniform(0.5, 3.0))
            self._site.resume(name)

    def _check_windows(self) -> None:
        """Checks all windows that start with the sending of a call; a call counts if sent and answered inside."""
        by_answer = sorted(self._admitted, key=lambda call: call[1])
        for start, _ in self._admitted:
            inside = [answered for sent, answered in by_answer if sent >= start]
            for count, end in enumerate(inside, 1):
                if count * CALL_COST_TOKENS > RATE_TOKENS_PER_S * (end - start) + BURST_TOKENS + 1e-6:
                    self.problems.append(f"{count * CALL_COST_TOKENS:g} tokens in {end - start:.3f} s")
                    return

    @property
    def admitted(self) -> int:
        """Number of admitted calls."""
        return len(self._admitted)


def prove(seed: int, seconds: float) -> LimitProof:
    """Runs the test on a new site and returns it with its counts and problems."""
    with LocalSite(entries=5) as site:
        operators = site.operators
        operators.call("PUT", "/defaults/limits.plain_call_tokens", {"value": CALL_COST_TOKENS})
        operators.call(
            "PUT", f"/services/{_SERVICE_NAME}", {"routes": [{"method": "*", "prefix": "/", "repeatable": True}]}
        )
        operators.call("PUT", "/workspaces/flood", {"rate": RATE_TOKENS_PER_S, "burst": BURST_TOKENS})
        issued = operators.call("POST", "/keys", {"workspace": "flood"})
        site.add_service("seats1", "--service", _SERVICE_NAME)
        operators.call("GET", f"/in-force/{issued['revision']}")
        site.wait_for_pool(_SERVICE_NAME)
        proof = LimitProof(site, issued["key"], seed)
        proof.run(seconds)
    return proof


def main(seed: int = 1, seconds: Annotated[float, typer.Option(help="length of the run in seconds")] = 40.0) -> None:
    """Runs the test; exits with status 1 if a window exceeded the rate and burst, or the site failed."""
    try:
        proof = prove(seed, seconds)
    except SiteError as error:
        print(f"proof not run to its end: {error}")
        raise SystemExit(1) from None
    share = proof.admitted * CALL_COST_TOKENS / (RATE_TOKENS_PER_S * seconds + BURST_TOKENS)
    print(
        f"{proof.admitted} calls admitted, {share:.0%} of what the rate and burst allow; faults: {dict(proof.faults)}"
    )
    print(f"answers by status: {dict(proof.statuses)}")
    for problem in proof.problems:
        print(f"BROKEN: {problem}")
    print(f"limit: seed {seed}, {seconds:g} s, {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
