"""Randomised test: a graceful shutdown interrupts no request, and clients are directed to other entry VMs.

Run as ``bin/proof drain --seed N --rounds R``. Clients fetch the list of entry VMs, cache it for its max-age, and open
streams and make bookings through one of them, as clients are required to. Meanwhile entry VMs are sent SIGTERM one
after the other and restarted.
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

from ._site import LocalSite, SiteError, interrupt_on_stop_signals

__all__ = ["DrainProof", "main", "prove"]

_MODEL_NAME = "route-writer"
_SERVICE_NAME = "seats"
_CALLER_COUNT = 12
_ENTRIES_MAX_AGE_S = 1
_EXIT_TIMEOUT_S = 30.0


class DrainProof:
    """Sends requests while entry VMs are shut down gracefully."""

    def __init__(self, site: LocalSite, key: str, seed: int):
        self._site = site
        self._key = key
        self._seed = seed
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.served: Counter[str] = Counter()
        self.problems: list[str] = []

    def run(self, rounds: int) -> None:
        """Shuts down and restarts an entry VM under load, `rounds` times."""
        rng = random.Random(self._seed)
        with ThreadPoolExecutor(_CALLER_COUNT) as pool:
            callers = [pool.submit(self._run_caller, number) for number in range(_CALLER_COUNT)]
            try:
                for _ in range(rounds):
                    time.sleep(2.0)
                    self._shut_down(rng.choice(self._site.of_kind("entry")).name)
            finally:
                self._stopping.set()
                for caller in callers:
                    caller.result()

    def _shut_down(self, name: str) -> None:
        member = self._site.members_by_name[name]
        self._site.signal(name, signal.SIGTERM)
        try:
            code = member.process.wait(_EXIT_TIMEOUT_S)
        except Exception:
            self._add_problem(f"{name} did not exit within {_EXIT_TIMEOUT_S:g} s")
            self._site.kill(name)
        else:
            if code != 0:
                self._add_problem(f"{name} exited with {code}")
        self._site.start(name)
        self._site.wait_entries_ready()

    def _run_caller(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        addresses: list[str] = []
        expires_at = 0.0
        count = 0
        while not self._stopping.is_set():
            if time.monotonic() >= expires_at:
                addresses, expires_at = self._fetch_entries(rng, addresses)
            count += 1
            address = rng.choice(addresses)
            if rng.random() < 0.5:
                self._check_stream(address)
            else:
                self._check_booking(address, f"{number}-{count}")

    def _fetch_entries(self, rng: random.Random, previous_addresses: list[str]) -> tuple[list[str], float]:
        candidates = previous_addresses or [member.address for member in self._site.of_kind("entry")]
        for address in rng.sample(candidates, len(candidates)):
            requested_at = time.monotonic()
            result = fetch(Transfer("GET", f"http://{address}/v1/entries", timeout_s=2.0))
            if result.is_complete and result.status == 200:
                rows = json.loads(result.body)["entries"]
                age = int(result.headers_by_name["cache-control"].partition("=")[2])
                if rows:
                    return [row["address"] for row in rows], requested_at + age
        return previous_addresses, time.monotonic() + 0.1

    def _check_stream(self, address: str) -> None:
        chunks: list[bytes] = []
        body = {"model": _MODEL_NAME, "stream": True, "max_tokens": 100, "prompt": "Summarise the route. " * 20}
        result = self._send(address, "/v1/completions", body, on_data=chunks.append)
        text = b"".join(chunks)
        if result.is_complete and text.endswith(b"data: [DONE]\n\n"):
            self._count_served("stream")
        else:
            self._add_problem(f"stream through {address}: status {result.status} {result.detail} {text[-200:]!r}")

    def _check_booking(self, address: str, booking: str) -> None:
        body = {"seat": booking}
        result = self._send(address, f"/services/{_SERVICE_NAME}/bookings", body, (f"Idempotency-Key: {booking}",))
        if result.is_complete and result.status == 201:
            self._count_served("booking")
        else:
            self._add_problem(
                f"booking through {address}: status {result.status} {result.detail} {result.body[:200]!r}"
            )

    def _send(
        self, address: str, path: str, body: dict[str, Any], extra_headers: tuple[str, ...] = (), **options: Any
    ) -> TransferResult:
        headers = [f"Authorization: Bearer {self._key}", "Content-Type: application/json", *extra_headers]
        url = f"http://{address}{path}"
        return fetch(Transfer("POST", url, headers, json.dumps(body).encode(), timeout_s=20, **options))

    def _count_served(self, kind: str) -> None:
        with self._lock:
            self.served[kind] += 1

    def _add_problem(self, text: str) -> None:
        with self._lock:
            self.problems.append(text)


def prove(seed: int, rounds: int) -> DrainProof:
    """Runs the test on a new site and returns it with its counts and problems."""
    with LocalSite() as site:
        operators = site.operators
        operators.call("PUT", "/workspaces/dispatch", {"rate": 1_000_000, "burst": 100_000_000})
        operators.call("PUT", "/defaults/entries.max_age_s", {"value": _ENTRIES_MAX_AGE_S})
        issued = operators.call("POST", "/keys", {"workspace": "dispatch"})
        routes = [{"method": "POST", "prefix": "/bookings", "repeatable": False}]
        revision = operators.call("PUT", f"/services/{_SERVICE_NAME}", {"routes": routes})["revision"]
        for number, role in enumerate(("prefill", "decode", "decode")):
            site.add_engine(f"engine{number}", "--role", role, "--models", _MODEL_NAME)
        site.add_service("seats1", "--service", _SERVICE_NAME)
        operators.call("GET", f"/in-force/{revision}")
        site.wait_for_pool(_MODEL_NAME)
        site.wait_for_pool(_SERVICE_NAME)
        proof = DrainProof(site, issued["key"], seed)
        proof.run(rounds)
    return proof


def main(seed: int = 1, rounds: Annotated[int, typer.Option(help="number of graceful shutdowns")] = 4) -> None:
    """Runs the test; exits with status 1 if a request or a shutdown failed, or the site failed."""
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
    interrupt_on_stop_signals()
    typer.run(main)
