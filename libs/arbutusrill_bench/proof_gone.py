"""Randomised fault-injection test: engine slots are freed when a client disconnects or its entry VM fails.

Run as ``bin/proof gone --seed N --rounds R``. Each round starts streams through all entry VMs; at a random time, while
requests are queued, in prefill or in decode, some clients disconnect, or one entry VM is killed or suspended and its
clients disconnect. Two seconds later the engines may hold only requests of clients that are still connected.
"""

from __future__ import annotations

import json
import random
import socket
import time
from typing import Annotated, Any

import typer
from arbutusrill_base import split_address
from arbutusrill_http import Transfer, fetch

from ._site import LocalSite, SiteError, interrupt_on_stop_signals

__all__ = ["GoneProof", "main", "prove"]

MAX_RELEASE_S = 2.0
_MODEL_NAME = "route-writer"
_STREAM_COUNT = 12
_SLOTS_PER_ENGINE = 4  # fewer than the streams need, so that some clients disconnect while queued
_PROMPT_BYTES = 24_000
_MAX_TOKENS = 2_000
_MAX_LEAVE_DELAY_S = 1.5


class GoneProof:
    """Opens streams over raw sockets, closes some of them and checks which requests the engines still hold."""

    def __init__(self, site: LocalSite, key: str, seed: int, max_release_s: float = MAX_RELEASE_S):
        self._site = site
        self._key = key
        self._rng = random.Random(seed)
        self._max_release_s = max_release_s
        self.rounds: list[str] = []
        self.problems: list[str] = []

    def run_round(self, action: str) -> None:
        """Runs one round; `action` is ``leave`` (clients disconnect), ``kill`` or ``freeze`` (one entry VM)."""
        entries = self._site.of_kind("entry")
        victim = self._rng.choice(entries)
        callers = [
            (entries[i % len(entries)], self._open_stream(entries[i % len(entries)].address))
            for i in range(_STREAM_COUNT)
        ]
        time.sleep(self._rng.uniform(0.0, _MAX_LEAVE_DELAY_S))
        if action == "leave":
            leaving = self._rng.sample(callers, _STREAM_COUNT // 2)
        else:
            leaving = [pair for pair in callers if pair[0] is victim]
        if action == "kill":
            self._site.kill(victim.name)
        elif action == "freeze":
            self._site.suspend(victim.name)
        for _, caller in leaving:
            caller.close()
        time.sleep(self._max_release_s)
        self._check_held_requests(action, victim.name, len(callers) - len(leaving))
        for _, caller in callers:
            caller.close()
        self._recover(action, victim.name)

    def _check_held_requests(self, action: str, victim: str, staying: int) -> None:
        held_requests = self._fetch_held_requests()
        rows = [row for row in held_requests if action != "leave" and row["vm"] == victim]
        self.rounds.append(f"{action}: {len(held_requests)} held, {staying} callers stay")
        if rows:
            self.problems.append(f"{action} of {victim}: {len(rows)} requests held after {self._max_release_s:g} s")
        if len(held_requests) > staying:
            self.problems.append(f"{action}: {len(held_requests)} requests held for {staying} callers")

    def _recover(self, action: str, victim: str) -> None:
        if action == "kill":
            self._site.start(victim)
        elif action == "freeze":
            self._site.resume(victim)
        self._site.wait_until(lambda: not self._fetch_held_requests(), "no engine holds a request", 15.0)
        self._site.wait_entries_ready()

    def _fetch_held_requests(self) -> list[dict[str, Any]]:
        rows = []
        for engine in self._site.of_kind("engine"):
            result = fetch(Transfer("GET", f"http://{engine.address}/engine/requests", timeout_s=2.0))
            rows += json.loads(result.body)["requests"]
        return rows

    def _open_stream(self, address: str) -> socket.socket:
        body = json.dumps(
            {"model": _MODEL_NAME, "stream": True, "max_tokens": _MAX_TOKENS, "prompt": "stop " * (_PROMPT_BYTES // 5)}
        )
        caller = socket.create_connection(split_address(address), timeout=5)
        head = f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {self._key}\r\n"
        caller.sendall(f"{head}X-Deadline-Ms: 60000\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        return caller


def prove(
    seed: int, rounds: int, actions: tuple[str, ...] = ("leave", "kill", "freeze"), max_release_s: float = MAX_RELEASE_S
) -> GoneProof:
    """Runs the test on a new site and returns it with its problems."""
    with LocalSite() as site:
        operators = site.operators
        operators.call("PUT", "/workspaces/dispatch", {"rate": 1_000_000, "burst": 100_000_000})
        issued = operators.call("POST", "/keys", {"workspace": "dispatch"})
        for number, role in enumerate(("prefill", "decode", "decode")):
            site.add_engine(
                f"engine{number}", "--role", role, "--models", _MODEL_NAME, "--slots", str(_SLOTS_PER_ENGINE)
            )
        operators.call("GET", f"/in-force/{issued['revision']}")
        site.wait_for_pool(_MODEL_NAME)
        proof = GoneProof(site, issued["key"], seed, max_release_s)
        for number in range(rounds):
            proof.run_round(actions[number % len(actions)])
    return proof


def main(
    seed: int = 1,
    rounds: Annotated[int, typer.Option(help="number of rounds, which cycle through leave, kill and freeze")] = 6,
) -> None:
    """Runs the test; exits with status 1 if slots were not freed in time, or the site failed."""
    try:
        proof = prove(seed, rounds)
    except SiteError as error:
        print(f"proof not run to its end: {error}")
        raise SystemExit(1) from None
    for text in proof.rounds:
        print(text)
    for problem in proof.problems:
        print(f"BROKEN: {problem}")
    print(f"gone: seed {seed}, {rounds} rounds, {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
