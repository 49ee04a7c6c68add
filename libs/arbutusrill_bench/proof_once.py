"""Randomised proof that once-only calls run at most once and that verdicts are true.

Run as ``bin/proof once --seed N --seconds S``. Callers book through all entry VMs and resend what failed, while
entry and control VMs are killed, frozen and restarted and the service cuts and delays its answers.
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

from ._ledger_service import LedgerService
from ._site import LocalSite, SiteError, free_address

__all__ = ["OnceProof", "main"]

_CALLERS = 8
_TRIES = 6
_SETTLE_S = 6.0  # longer than a freeze, so that late sends of frozen VMs are counted too
_CALL_S = 12.0
_SERVICE = "seats"


class OnceProof:
    """Sends bookings under faults and compares the verdicts with what the service counted."""

    def __init__(self, site: LocalSite, ledger: LedgerService, key: str, seed: int):
        self._site = site
        self._ledger = ledger
        self._key = key
        self._seed = seed
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._denied: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.problems: list[str] = []

    def run(self, seconds: float, faults: bool = True) -> None:
        """Runs callers and faults for `seconds` and checks the invariants."""
        with ThreadPoolExecutor(_CALLERS + 1) as pool:
            futures = [pool.submit(self._caller, number) for number in range(_CALLERS)]
            if faults:
                futures.append(pool.submit(self._faults))
            self._stopping.wait(seconds)
            self._stopping.set()
            for future in futures:
                future.result()
        time.sleep(_SETTLE_S if faults else 0.5)
        self.problems += [f"{call_id} ran {self._ledger.runs(call_id)} times" for call_id in self._ledger.repeated()]
        self.problems += [f"{call_id} ran after all, every answer said not_run" for call_id in self._denied_runs()]

    def _denied_runs(self) -> list[str]:
        return [call_id for call_id in self._denied if self._ledger.runs(call_id)]

    def _caller(self, number: int) -> None:
        chance = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._stopping.is_set():
            count += 1
            call_id = f"caller{number}-{count}"
            keyed = chance.random() < 0.7
            self._book(call_id, keyed, chance)

    def _book(self, call_id: str, keyed: bool, chance: random.Random) -> None:
        verdicts = set()
        for _ in range(_TRIES if keyed else 1):
            verdict = self._send(call_id, keyed, chance)
            verdicts.add(verdict)
            if verdict == "answered":
                if self._ledger.runs(call_id) != 1:
                    self._problem(f"{call_id} was answered and ran {self._ledger.runs(call_id)} times")
                break
            time.sleep(chance.uniform(0, 0.3))
        with self._lock:
            self.outcomes["/".join(sorted(verdicts))] += 1
            if verdicts == {"not_run"}:
                self._denied.append(call_id)

    def _send(self, call_id: str, keyed: bool, chance: random.Random) -> str:
        entry = chance.choice(self._site.of_kind("entry"))
        headers = [f"Authorization: Bearer {self._key}", "Content-Type: application/json"]
        if keyed:
            headers.append(f"Idempotency-Key: {call_id}")
        body = json.dumps({"id": call_id}).encode()
        url = f"http://{entry.address}/services/{_SERVICE}/bookings"
        result = fetch(Transfer("POST", url, headers, body, timeout_s=_CALL_S, fresh=True))
        if not result.whole:
            return "not_run" if result.error == "connect" else "lost"
        if result.status == 201:
            answer = json.loads(result.body)
            if answer["id"] != call_id:
                self._problem(f"{call_id} got the answer to {answer['id']}")
            return "answered"
        return json.loads(result.body)["error"]["verdict"]

    def _problem(self, text: str) -> None:
        with self._lock:
            self.problems.append(text)

    def _faults(self) -> None:
        chance = random.Random(f"{self._seed}/faults")
        while not self._stopping.wait(chance.uniform(0.5, 2.0)):
            kind = chance.choice(("entry", "entry", "control"))
            name = chance.choice(self._site.of_kind(kind)).name
            action = chance.choice(("kill", "freeze"))
            self.faults[f"{action} {kind}"] += 1
            if action == "kill":
                self._site.kill(name)
                time.sleep(chance.uniform(0.1, 2.0))
                self._site.start(name)
            else:
                self._site.freeze(name)
                time.sleep(chance.uniform(0.2, 5.0))
                self._site.thaw(name)


def prove(seed: int, seconds: float, faults: bool = True, entries: int = 3) -> OnceProof:
    """Runs the proof on a site of its own and returns it with its counts and problems."""
    with LocalSite(entries=entries) as site:
        operators = site.operators
        operators.call("PUT", "/workspaces/dispatch", {"rate": 100_000, "burst": 1_000_000})
        key = operators.call("POST", "/keys", {"workspace": "dispatch"})["key"]
        routes = [{"method": "POST", "prefix": "/bookings", "repeatable": False}]
        revision = operators.call("PUT", f"/services/{_SERVICE}", {"routes": routes})["revision"]
        weights = (0.85, 0.05, 0.05, 0.05) if faults else (1, 0, 0, 0)
        ledger = LedgerService(seed, weights)
        addresses = [member.address for member in site.of_kind("entry")]
        with ledger.serve(free_address("127.0.0.1"), _SERVICE, addresses, site.announce_token):
            operators.call("GET", f"/in-force/{revision}")
            site.wait_for_pool(_SERVICE)
            proof = OnceProof(site, ledger, key, seed)
            proof.run(seconds, faults)
    if any(key in value for headers in ledger.headers_seen for value in headers.values()):
        proof.problems.append("the service saw the caller's key")
    return proof


def main(seed: int = 1, seconds: Annotated[float, typer.Option(help="length of the run")] = 60.0) -> None:
    """Runs the proof and exits with 1 when an invariant was broken."""
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
    typer.run(main)
