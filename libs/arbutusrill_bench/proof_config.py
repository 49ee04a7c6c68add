"""Randomised fault-injection test of configuration changes: propagation within 5 s, and optimistic concurrency control.

Run as ``bin/proof config --seed N --seconds S``. Pairs of operators change the same default, conditional on the same
revision, through different control VMs and retry when no response arrives; at most one of them may be accepted.
Meanwhile one control VM at a time is killed or suspended. The configuration revision of eight entry VMs is polled
throughout.
"""

from __future__ import annotations

import random
import re
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import typer
from arbutusrill_cli import EXIT_NO_CONTROL, OperatorClient, OperatorError
from arbutusrill_http import Transfer, fetch

from ._site import LocalSite, SiteError, interrupt_on_stop_signals

__all__ = ["ConfigProof", "main", "prove"]

MAX_DELAY_S = 5.0
DELAY_QUANTILE = 0.99
_DEFAULT_NAME = "limits.plain_call_tokens"
_POLL_PERIOD_S = 0.05
_MAX_ATTEMPTS = 30
_REVISION_PATTERN = re.compile(rb"^arbutusrill_config_revision ([0-9.e+]+)", re.MULTILINE)


class ConfigProof:
    """Sends conflicting changes under faults and polls the configuration revision of every entry VM."""

    def __init__(self, site: LocalSite, seed: int):
        self._site = site
        self._rng = random.Random(seed)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._accepted_at: dict[int, float] = {}
        self._seen_at: dict[str, list[tuple[float, int]]] = {member.name: [] for member in site.of_kind("entry")}
        self.races: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.delays_s: list[float] = []
        self.problems: list[str] = []

    def run(self, seconds: float) -> None:
        """Runs for `seconds`, waits for the last change to propagate, and checks the delays."""
        with ThreadPoolExecutor(16) as pool:
            futures = [pool.submit(self._poll_revision, name) for name in self._seen_at]
            futures.append(pool.submit(self._inject_faults))
            deadline = time.monotonic() + seconds
            try:
                while time.monotonic() < deadline:
                    self._run_race(pool)
                self._stopping.wait(MAX_DELAY_S + 1)
            finally:
                self._stopping.set()
            for future in futures:
                future.result()
        self._check_delays()

    def _run_race(self, pool: ThreadPoolExecutor) -> None:
        """Sends two concurrent changes conditional on the same revision; at most one may be accepted."""
        addresses = [member.address for member in self._site.of_kind("control")]
        first, second = self._rng.sample(addresses, 2)
        try:
            revision = self._site.operators.call("GET", "/defaults")["revision"]
        except OperatorError:
            return
        number = sum(self.races.values())
        attempts = [
            pool.submit(self._change, address, f"race-{number}-{side}", revision, 1 + side + 2 * number)
            for side, address in enumerate((first, second))
        ]
        accepted_revisions = [result for result in (future.result() for future in attempts) if result is not None]
        self.races[f"{len(accepted_revisions)} accepted"] += 1
        if len(accepted_revisions) > 1:
            self._add_problem(
                f"race {number}: both operators were accepted under revision {revision}: {accepted_revisions}"
            )

    def _change(self, address: str, request_id: str, revision: int, value: int) -> int | None:
        """Sends a change until it is answered; returns its revision, or None if it was rejected or never answered."""
        others = [member.address for member in self._site.of_kind("control") if member.address != address]
        client = OperatorClient([address, *others], self._site.operator_token)
        for _ in range(_MAX_ATTEMPTS):
            try:
                answer = client.call(
                    "PUT", f"/defaults/{_DEFAULT_NAME}", {"value": value}, {"if_revision": revision}, request_id
                )
            except OperatorError as error:
                if error.exit_code != EXIT_NO_CONTROL:
                    return None
                time.sleep(0.2)
                continue
            with self._lock:
                self._accepted_at.setdefault(answer["revision"], time.monotonic())
            return answer["revision"]
        self._add_problem(f"{request_id} got no answer in {_MAX_ATTEMPTS} tries")
        return None

    def _inject_faults(self) -> None:
        while not self._stopping.wait(self._rng.uniform(1.0, 3.0)):
            name = self._rng.choice(self._site.of_kind("control")).name
            action = self._rng.choice(("kill", "freeze"))
            self.faults[action] += 1
            if action == "kill":
                self._site.kill(name)
                self._stopping.wait(self._rng.uniform(0.5, 4.0))
                self._site.start(name)
            else:
                self._site.suspend(name)
                self._stopping.wait(self._rng.uniform(0.5, 6.0))
                self._site.resume(name)
            # Lets the replica catch up before the next fault: a group of three tolerates the loss of one at a time.
            self._stopping.wait(3.0)

    def _poll_revision(self, name: str) -> None:
        address = self._site.members_by_name[name].address
        last_revision = 0
        while not self._stopping.wait(_POLL_PERIOD_S):
            result = fetch(Transfer("GET", f"http://{address}/metrics", timeout_s=2.0))
            found = _REVISION_PATTERN.search(result.body)
            if found is None:
                continue
            revision = int(float(found[1]))
            if revision < last_revision:
                self._add_problem(f"{name} went back from revision {last_revision} to {revision}")
            if revision > last_revision:
                self._seen_at[name].append((time.monotonic(), revision))
            last_revision = max(last_revision, revision)

    def _check_delays(self) -> None:
        for revision, accepted in self._accepted_at.items():
            for name, seen in self._seen_at.items():
                first_seen_at = next((at for at, known in seen if known >= revision), None)
                if first_seen_at is None:
                    self._add_problem(f"revision {revision} never reached {name}")
                else:
                    self.delays_s.append(max(0.0, first_seen_at - accepted))
        if self.quantile_s() > MAX_DELAY_S:
            self._add_problem(f"{DELAY_QUANTILE:.0%} of the changes were in force after {self.quantile_s():.2f} s")

    def quantile_s(self) -> float:
        """Returns the `DELAY_QUANTILE` quantile of the propagation delays in seconds; infinity without any."""
        ordered = sorted(self.delays_s) or [float("inf")]
        return ordered[min(len(ordered) - 1, int(len(ordered) * DELAY_QUANTILE))]

    def _add_problem(self, text: str) -> None:
        with self._lock:
            self.problems.append(text)


def prove(seed: int, seconds: float, entries: int = 8) -> ConfigProof:
    """Runs the test on a new site and returns it with its counts and problems."""
    with LocalSite(entries=entries) as site:
        proof = ConfigProof(site, seed)
        proof.run(seconds)
    return proof


def main(seed: int = 1, seconds: Annotated[float, typer.Option(help="length of the run in seconds")] = 40.0) -> None:
    """Runs the test; exits with status 1 if an invariant was violated or the site failed."""
    try:
        proof = prove(seed, seconds)
    except SiteError as error:
        print(f"proof not run to its end: {error}")
        raise SystemExit(1) from None
    print(f"races: {dict(proof.races)}, faults: {dict(proof.faults)}, {len(proof.delays_s)} arrivals at entry VMs")
    print(f"in force after {proof.quantile_s():.2f} s at 99%, {max(proof.delays_s, default=0):.2f} s at most")
    for problem in proof.problems[:20]:
        print(f"BROKEN: {problem}")
    print(f"config: seed {seed}, {seconds:g} s, {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
