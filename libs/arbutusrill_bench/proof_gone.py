"""Randomised proof that callers who leave free their engines' slots, also when the entry VM dies or freezes.

Run as ``bin/proof gone --seed N --rounds R``. Each round starts streams through all entry VMs; some callers leave at a
random moment while queued, in prefill or in decode, and one entry VM is killed or frozen. Two seconds later the
engines may only hold requests of callers who are still there.
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

from ._site import LocalSite, SiteError

__all__ = ["GoneProof", "main", "prove"]

BOUND_S = 2.0
_MODEL = "route-writer"
_STREAMS = 12
_SLOTS = 4  # fewer than the streams need, so that some callers leave while they are queued
_PROMPT_BYTES = 24_000
_MAX_TOKENS = 2_000
_START_S = 1.5


class GoneProof:
    """Opens streams by plain sockets, leaves some of them, and looks at what the engines still hold."""

    def __init__(self, site: LocalSite, key: str, seed: int, bound_s: float = BOUND_S):
        self._site = site
        self._key = key
        self._chance = random.Random(seed)
        self._bound_s = bound_s
        self.rounds: list[str] = []
        self.problems: list[str] = []

    def round(self, action: str) -> None:
        """Runs one round; `action` is ``leave``, ``kill`` or ``freeze``."""
        entries = self._site.of_kind("entry")
        victim = self._chance.choice(entries)
        callers = [(entries[i % len(entries)], self._open(entries[i % len(entries)].address)) for i in range(_STREAMS)]
        time.sleep(self._chance.uniform(0.0, _START_S))
        if action == "leave":
            leaving = self._chance.sample(callers, _STREAMS // 2)
        else:
            leaving = [pair for pair in callers if pair[0] is victim]
        if action == "kill":
            self._site.kill(victim.name)
        elif action == "freeze":
            self._site.freeze(victim.name)
        for _, caller in leaving:
            caller.close()
        time.sleep(self._bound_s)
        self._check(action, victim.name, len(callers) - len(leaving))
        for _, caller in callers:
            caller.close()
        self._recover(action, victim.name)

    def _check(self, action: str, victim: str, staying: int) -> None:
        held = self._held()
        rows = [row for row in held if action != "leave" and row["vm"] == victim]
        self.rounds.append(f"{action}: {len(held)} held, {staying} callers stay")
        if rows:
            self.problems.append(f"{action} of {victim}: {len(rows)} requests held after {self._bound_s:g} s")
        if len(held) > staying:
            self.problems.append(f"{action}: {len(held)} requests held for {staying} callers")

    def _recover(self, action: str, victim: str) -> None:
        if action == "kill":
            self._site.start(victim)
        elif action == "freeze":
            self._site.thaw(victim)
        self._site.wait_until(lambda: not self._held(), "all engines are free", 15.0)
        self._site.wait_entries_ready()

    def _held(self) -> list[dict[str, Any]]:
        rows = []
        for engine in self._site.of_kind("engine"):
            result = fetch(Transfer("GET", f"http://{engine.address}/engine/requests", timeout_s=2.0))
            rows += json.loads(result.body)["requests"]
        return rows

    def _open(self, address: str) -> socket.socket:
        body = json.dumps(
            {"model": _MODEL, "stream": True, "max_tokens": _MAX_TOKENS, "prompt": "stop " * (_PROMPT_BYTES // 5)}
        )
        caller = socket.create_connection(split_address(address), timeout=5)
        head = f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {self._key}\r\n"
        caller.sendall(f"{head}X-Deadline-Ms: 60000\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        return caller


def prove(
    seed: int, rounds: int, actions: tuple[str, ...] = ("leave", "kill", "freeze"), bound_s: float = BOUND_S
) -> GoneProof:
    """Runs the proof on a site of its own and returns it with its problems."""
    with LocalSite() as site:
        operators = site.operators
        operators.call("PUT", "/workspaces/dispatch", {"rate": 1_000_000, "burst": 100_000_000})
        issued = operators.call("POST", "/keys", {"workspace": "dispatch"})
        for number, role in enumerate(("prefill", "decode", "decode")):
            site.add_engine(f"engine{number}", "--role", role, "--models", _MODEL, "--slots", str(_SLOTS))
        operators.call("GET", f"/in-force/{issued['revision']}")
        site.wait_for_pool(_MODEL)
        proof = GoneProof(site, issued["key"], seed, bound_s)
        for number in range(rounds):
            proof.round(actions[number % len(actions)])
    return proof


def main(seed: int = 1, rounds: Annotated[int, typer.Option(help="rounds of leave, kill and freeze")] = 6) -> None:
    """Runs the proof and exits with 1 when slots stayed held."""
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
    typer.run(main)
