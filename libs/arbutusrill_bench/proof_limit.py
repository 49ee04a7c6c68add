"""Randomised proof that a workspace never gets more than its rate and burst over all entry VMs, in any window.

Run as ``bin/proof limit --seed N --seconds S``. Callers flood five entry VMs with calls of one workspace, while control
VMs, the leader among them, are killed and entry VMs are frozen.
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

from ._site import LocalSite, SiteError

__all__ = ["LimitProof", "main", "prove"]

RATE, BURST, COST = 400.0, 800.0, 20.0  # tokens/s, tokens, tokens for each call
_CALLERS = 15
_CALL_S = 10.0
_SERVICE = "seats"


class LimitProof:
    """Floods a site and keeps when each admitted call was sent and answered, on the monotonic clock."""

    def __init__(self, site: LocalSite, key: str, seed: int):
        self._site = site
        self._headers = [f"Authorization: Bearer {key}", "X-Deadline-Ms: 1000"]
        self._chance = random.Random(seed)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._admitted: list[tuple[float, float]] = []
        self.statuses: Counter[int] = Counter()
        self.faults: Counter[str] = Counter()
        self.problems: list[str] = []

    def run(self, seconds: float) -> None:
        """Floods the site for `seconds` under faults and checks every window."""
        with ThreadPoolExecutor(_CALLERS) as pool:
            callers = [pool.submit(self._flood, number) for number in range(_CALLERS)]
            deadline = time.monotonic() + seconds
            try:
                while time.monotonic() < deadline:
                    time.sleep(self._chance.uniform(1.0, 3.0))
                    self._fault()
            finally:
                self._stopping.set()
            for caller in callers:
                caller.result()
        self._check()

    def _flood(self, number: int) -> None:
        entries = self._site.of_kind("entry")
        while not self._stopping.is_set():
            entry = entries[number % len(entries)]
            sent = time.monotonic()
            url = f"http://{entry.address}/services/{_SERVICE}/stops/1"
            result = fetch(Transfer("GET", url, self._headers, timeout_s=_CALL_S))
            with self._lock:
                self.statuses[result.status if result.whole else 0] += 1
                if result.whole and result.status == 200:
                    self._admitted.append((sent, time.monotonic()))
            time.sleep(0.01)

    def _fault(self) -> None:
        kind = self._chance.choice(("control", "entry"))
        name = self._chance.choice(self._site.of_kind(kind)).name
        if kind == "control":
            self.faults["control VM killed"] += 1
            self._site.kill(name)
            time.sleep(self._chance.uniform(0.5, 2.0))
            self._site.start(name)
            time.sleep(2.0)  # three replicas bear one loss at a time
        else:
            self.faults["entry VM frozen"] += 1
            self._site.freeze(name)
            time.sleep(self._chance.uniform(0.5, 3.0))
            self._site.thaw(name)

    def _check(self) -> None:
        """Counts, for every moment of sending as the start of a window, what was sent and answered inside it."""
        by_answer = sorted(self._admitted, key=lambda call: call[1])
        for start, _ in self._admitted:
            inside = [answered for sent, answered in by_answer if sent >= start]
            for count, end in enumerate(inside, 1):
                if count * COST > RATE * (end - start) + BURST + 1e-6:
                    self.problems.append(f"{count * COST:g} tokens in {end - start:.3f} s")
                    return

    @property
    def admitted(self) -> int:
        """Number of admitted calls."""
        return len(self._admitted)


def prove(seed: int, seconds: float) -> LimitProof:
    """Runs the proof on a site of its own and returns it with its counts and problems."""
    with LocalSite(entries=5) as site:
        operators = site.operators
        operators.call("PUT", "/defaults/limits.plain_call_tokens", {"value": COST})
        operators.call("PUT", f"/services/{_SERVICE}", {"routes": [{"method": "*", "prefix": "/", "repeatable": True}]})
        operators.call("PUT", "/workspaces/flood", {"rate": RATE, "burst": BURST})
        issued = operators.call("POST", "/keys", {"workspace": "flood"})
        site.add_service("seats1", "--service", _SERVICE)
        operators.call("GET", f"/in-force/{issued['revision']}")
        site.wait_for_pool(_SERVICE)
        proof = LimitProof(site, issued["key"], seed)
        proof.run(seconds)
    return proof


def main(seed: int = 1, seconds: Annotated[float, typer.Option(help="length of the run")] = 40.0) -> None:
    """Runs the proof and exits with 1 when any window held more than the rate and burst."""
    try:
        proof = prove(seed, seconds)
    except SiteError as error:
        print(f"proof not run to its end: {error}")
        raise SystemExit(1) from None
    share = proof.admitted * COST / (RATE * seconds + BURST)
    print(
        f"{proof.admitted} calls admitted, {share:.0%} of what the rate and burst allow; faults: {dict(proof.faults)}"
    )
    print(f"answers by status: {dict(proof.statuses)}")
    for problem in proof.problems:
        print(f"BROKEN: {problem}")
    print(f"limit: seed {seed}, {seconds:g} s, {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    typer.run(main)
