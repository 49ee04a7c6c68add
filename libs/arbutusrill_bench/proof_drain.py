"""Proof that a graceful shutdown cuts no request and that callers are sent elsewhere.

Run as ``bin/proof drain --seed N --rounds R``. Callers follow the rules: they ask which entry VMs to use, keep the
answer for its max-age, and open streams and make bookings through one of them. Meanwhile entry VMs get SIGTERM one
after the other and are started again.
"""

from __future__ import annotations

import json
import random
import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any

import typer
from arbutusrill_http import Transfer, TransferResult, fetch

from ._site import LocalSite, SiteError

__all__ = ["DrainProof", "main", "prove"]

_MODEL = "route-writer"
_SERVICE = "seats"
_CALLERS = 12
_MAX_AGE_S = 1
_EXIT_S = 30.0


class DrainProof:
    """Keeps callers busy while entry VMs are shut down gracefully."""

    def __init__(self, site: LocalSite, key: str, seed: int):
        self._site = site
        self._key = key
        self._seed = seed
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.served: Counter[str] = Counter()
        self.problems: list[str] = []

    def run(self, rounds: int) -> None:
        """Shuts down `rounds` entry VMs, one after the other, under load."""
        chance = random.Random(self._seed)
        with ThreadPoolExecutor(_CALLERS) as pool:
            callers = [pool.submit(self._caller, number) for number in range(_CALLERS)]
            try:
                for _ in range(rounds):
                    time.sleep(2.0)
                    self._shut_down(chance.choice(self._site.of_kind("entry")).name)
            finally:
                self._stopping.set()
                for caller in callers:
                    caller.result()

    def _shut_down(self, name: str) -> None:
        member = self._site.members_by_name[name]
        self._site.signal(name, signal.SIGTERM)
        try:
            code = member.process.wait(_EXIT_S)
        except Exception:
            self._problem(f"{name} did not exit within {_EXIT_S:g} s")
            self._site.kill(name)
        else:
            if code != 0:
                self._problem(f"{name} exited with {code}")
        self._site.start(name)
        self._site.wait_entries_ready()

    def _caller(self, number: int) -> None:
        chance = random.Random(f"{self._seed}/{number}")
        addresses: list[str] = []
        until = 0.0
        count = 0
        while not self._stopping.is_set():
            if time.monotonic() >= until:
                addresses, until = self._entries(chance, addresses)
            count += 1
            address = chance.choice(addresses)
            if chance.random() < 0.5:
                self._check_stream(address)
            else:
                self._check_booking(address, f"{number}-{count}")

    def _entries(self, chance: random.Random, known: list[str]) -> tuple[list[str], float]:
        candidates = known or [member.address for member in self._site.of_kind("entry")]
        for address in chance.sample(candidates, len(candidates)):
            asked = time.monotonic()
            result = fetch(Transfer("GET", f"http://{address}/v1/entries", timeout_s=2.0))
            if result.whole and result.status == 200:
                rows = json.loads(result.body)["entries"]
                age = int(result.headers_by_name["cache-control"].partition("=")[2])
                if rows:
                    return [row["address"] for row in rows], asked + age
        return known, time.monotonic() + 0.1

    def _check_stream(self, address: str) -> None:
        pieces: list[bytes] = []
        body = {"model": _MODEL, "stream": True, "max_tokens": 100, "prompt": "Summarise the route. " * 20}
        result = self._send(address, "/v1/completions", body, on_data=pieces.append)
        text = b"".join(pieces)
        if result.whole and text.endswith(b"data: [DONE]\n\n"):
            self._count("stream")
        else:
            self._problem(f"stream through {address}: status {result.status} {result.detail} {text[-200:]!r}")

    def _check_booking(self, address: str, booking: str) -> None:
        body = {"seat": booking}
        result = self._send(address, f"/services/{_SERVICE}/bookings", body, (f"Idempotency-Key: {booking}",))
        if result.whole and result.status == 201:
            self._count("booking")
        else:
            self._problem(f"booking through {address}: status {result.status} {result.detail} {result.body[:200]!r}")

    def _send(
        self, address: str, path: str, body: dict[str, Any], more: tuple[str, ...] = (), **options: Any
    ) -> TransferResult:
        headers = [f"Authorization: Bearer {self._key}", "Content-Type: application/json", *more]
        url = f"http://{address}{path}"
        return fetch(Transfer("POST", url, headers, json.dumps(body).encode(), timeout_s=20, fresh=True, **options))

    def _count(self, kind: str) -> None:
        with self._lock:
            self.served[kind] += 1

    def _problem(self, text: str) -> None:
        with self._lock:
            self.problems.append(text)


def prove(seed: int, rounds: int) -> DrainProof:
    """Runs the proof on a site of its own and returns it with its counts and problems."""
    with LocalSite() as site:
        operators = site.operators
        operators.call("PUT", "/workspaces/dispatch", {"rate": 1_000_000, "burst": 100_000_000})
        operators.call("PUT", "/defaults/entries.max_age_s", {"value": _MAX_AGE_S})
        issued = operators.call("POST", "/keys", {"workspace": "dispatch"})
        routes = [{"method": "POST", "prefix": "/bookings", "repeatable": False}]
        revision = operators.call("PUT", f"/services/{_SERVICE}", {"routes": routes})["revision"]
        for number, role in enumerate(("prefill", "decode", "decode")):
            site.add_engine(f"engine{number}", "--role", role, "--models", _MODEL)
        site.add_service("seats1", "--service", _SERVICE)
        operators.call("GET", f"/in-force/{revision}")
        site.wait_for_pool(_MODEL)
        site.wait_for_pool(_SERVICE)
        proof = DrainProof(site, issued["key"], seed)
        proof.run(rounds)
    return proof


def main(
    seed: int = 1, rounds: Annotated[int, typer.Option(help="graceful shutdowns, one after the other")] = 4
) -> None:
    """Runs the proof and exits with 1 when a request was cut."""
    try:
        proof = prove(seed, rounds)
    except SiteError as error:
        print(f"proof not run to its end: {error}")
        raise SystemExit(1) from None
    for problem in proof.problems[:20]:
        print(f"BROKEN: {problem}")
    print(f"drain: seed {seed}, {rounds} shutdowns, served {dict(proof.served)}, {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    typer.run(main)
