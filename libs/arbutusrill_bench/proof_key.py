"""Randomised proof that a withdrawn key stops working on every entry VM within 5 s.

Run as ``bin/proof key --seed N --rounds R``. Each round keeps a connection and a running stream open to every entry VM,
withdraws the key, and notes the last request that was accepted. In some rounds a control VM is killed or an entry VM
is frozen over the withdrawal.
"""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any

import typer
from arbutusrill_base import split_address
from arbutusrill_cli import OperatorError
from arbutusrill_http import Transfer, fetch

from ._site import LocalSite, Member, SiteError

__all__ = ["KeyProof", "main", "prove"]

BOUND_S = 5.0
_MODEL = "route-writer"
_WATCH_S = 8.0
_PERIOD_S = 0.05
_FREEZE_S = 4.0


class KeyProof:
    """Withdraws keys under faults and watches until when each entry VM accepts them."""

    def __init__(self, site: LocalSite, seed: int):
        self._site = site
        self._chance = random.Random(seed)
        self.delays_s: list[float] = []
        self.problems: list[str] = []

    def round(self, action: str) -> None:
        """Runs one round; `action` is ``none``, ``control`` (killed) or ``freeze`` (of an entry VM)."""
        operators = self._site.operators
        issued = operators.call("POST", "/keys", {"workspace": "dispatch"})
        operators.call("GET", f"/in-force/{issued['revision']}")
        victim = self._fault(action)
        withdrawn = threading.Event()
        moment = [0.0]
        with ThreadPoolExecutor(16) as pool:
            entries = self._site.of_kind("entry")
            watches = [pool.submit(self._watch, entry, issued["key"], withdrawn) for entry in entries]
            streams = [pool.submit(self._stream, entry, issued["key"]) for entry in entries]
            time.sleep(0.5)
            if action == "freeze":
                self._site.freeze(victim)
            self._withdraw(issued["id"])
            moment[0] = time.monotonic()
            withdrawn.set()
            if action == "freeze":
                time.sleep(_FREEZE_S)
                self._site.thaw(victim)
            for entry, watch in zip(entries, watches, strict=True):
                self._judge(action, f"request to {entry.name}", watch.result() - moment[0])
            for entry, stream in zip(entries, streams, strict=True):
                self._judge(action, f"stream of {entry.name}", stream.result() - moment[0])
        if action == "control":
            self._site.start(victim)
        self._site.wait_entries_ready()

    def _fault(self, action: str) -> str:
        kind = "control" if action == "control" else "entry"
        victim = self._chance.choice(self._site.of_kind(kind)).name
        if action == "control":
            self._site.kill(victim)
        return victim

    def _withdraw(self, key_id: str) -> None:
        request_id = f"withdraw-{key_id}"
        for _ in range(20):
            try:
                self._site.operators.call("DELETE", f"/keys/{key_id}", request_id=request_id)
                return
            except OperatorError:
                time.sleep(0.2)
        raise SiteError("the withdrawal was not accepted")

    def _judge(self, action: str, what: str, delay: float) -> None:
        self.delays_s.append(max(0.0, delay))
        if delay > BOUND_S:
            self.problems.append(f"{action}: {what} was served {delay:.2f} s after the withdrawal")

    def _watch(self, entry: Member, key: str, withdrawn: threading.Event) -> float:
        """Asks over one kept connection; returns when the last accepted request was sent."""
        connection = http.client.HTTPConnection(*split_address(entry.address), timeout=10)
        accepted = time.monotonic()
        end = float("inf")
        while time.monotonic() < end:
            if withdrawn.is_set() and end == float("inf"):
                end = time.monotonic() + _WATCH_S
            sent = time.monotonic()
            try:
                connection.request("GET", "/v1/models", headers={"Authorization": f"Bearer {key}"})
                response = connection.getresponse()
                response.read()
                if response.status == 200:
                    accepted = sent
            except (OSError, http.client.HTTPException):
                connection.close()
            time.sleep(_PERIOD_S)
        connection.close()
        return accepted

    def _stream(self, entry: Member, key: str) -> float:
        """Runs a stream far longer than the round; returns when its last token came."""
        body: dict[str, Any] = {"model": _MODEL, "stream": True, "max_tokens": 3000, "prompt": "stop"}
        last = [time.monotonic()]

        def on_data(data: bytes) -> None:
            if b'"text"' in data:
                last[0] = time.monotonic()

        headers = [f"Authorization: Bearer {key}", "Content-Type: application/json"]
        url = f"http://{entry.address}/v1/completions"
        fetch(Transfer("POST", url, headers, json.dumps(body).encode(), timeout_s=_WATCH_S + 1, on_data=on_data))
        return last[0]


def prove(seed: int, rounds: int, actions: tuple[str, ...] = ("none", "control", "freeze")) -> KeyProof:
    """Runs the proof on a site of its own and returns it with its delays and problems."""
    with LocalSite() as site:
        operators = site.operators
        revision = operators.call("PUT", "/workspaces/dispatch", {"rate": 1_000_000, "burst": 100_000_000})["revision"]
        site.add_engine("engine0", "--role", "both", "--models", _MODEL)
        operators.call("GET", f"/in-force/{revision}")
        site.wait_for_pool(_MODEL)
        proof = KeyProof(site, seed)
        for number in range(rounds):
            proof.round(actions[number % len(actions)])
    return proof


def main(seed: int = 1, rounds: Annotated[int, typer.Option(help="rounds, each with the next fault")] = 6) -> None:
    """Runs the proof and exits with 1 when a withdrawn key was served after the bound."""
    try:
        proof = prove(seed, rounds)
    except (SiteError, OperatorError) as error:
        print(f"proof not run to its end: {error}")
        raise SystemExit(1) from None
    print(f"last served {max(proof.delays_s):.2f} s after the withdrawal, bound {BOUND_S:g} s")
    for problem in proof.problems:
        print(f"BROKEN: {problem}")
    print(f"key: seed {seed}, {rounds} rounds, {len(proof.delays_s)} observations, {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    typer.run(main)
