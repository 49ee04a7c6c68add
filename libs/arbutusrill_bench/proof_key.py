"""Randomised fault-injection test: every entry VM rejects a withdrawn key within 5 s.

Run as ``bin/proof key --seed N --rounds R``. Each round keeps a connection and a stream open to every entry VM,
withdraws the key, and records when each VM last accepted a request and sent a token. In some rounds a control VM is
killed or an entry VM is suspended during the withdrawal.
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

from ._site import LocalSite, Member, SiteError, interrupt_on_stop_signals

__all__ = ["KeyProof", "main", "prove"]

MAX_WITHDRAWAL_DELAY_S = 5.0
_MODEL_NAME = "route-writer"
_OBSERVATION_S = 8.0
_POLL_PERIOD_S = 0.05
_SUSPENSION_S = 4.0


class KeyProof:
    """Withdraws keys under faults and measures how long each entry VM continues to accept them."""

    def __init__(self, site: LocalSite, seed: int):
        self._site = site
        self._rng = random.Random(seed)
        self.delays_s: list[float] = []
        self.problems: list[str] = []

    def run_round(self, action: str) -> None:
        """Runs a round; `action` is ``none``, ``control`` (kills a control VM) or ``freeze`` (suspends an entry VM)."""
        operators = self._site.operators
        issued = operators.call("POST", "/keys", {"workspace": "dispatch"})
        operators.call("GET", f"/in-force/{issued['revision']}")
        victim = self._prepare_fault(action)
        withdrawn = threading.Event()
        withdrawn_at = [0.0]
        with ThreadPoolExecutor(16) as pool:
            entries = self._site.of_kind("entry")
            polls = [pool.submit(self._poll_acceptance, entry, issued["key"], withdrawn) for entry in entries]
            streams = [pool.submit(self._run_stream, entry, issued["key"]) for entry in entries]
            time.sleep(0.5)
            if action == "freeze":
                self._site.suspend(victim)
            self._withdraw_key(issued["id"])
            withdrawn_at[0] = time.monotonic()
            withdrawn.set()
            if action == "freeze":
                time.sleep(_SUSPENSION_S)
                self._site.resume(victim)
            for entry, poll in zip(entries, polls, strict=True):
                self._record_delay(action, f"request to {entry.name}", poll.result() - withdrawn_at[0])
            for entry, stream in zip(entries, streams, strict=True):
                self._record_delay(action, f"stream of {entry.name}", stream.result() - withdrawn_at[0])
        if action == "control":
            self._site.start(victim)
        self._site.wait_entries_ready()

    def _prepare_fault(self, action: str) -> str:
        kind = "control" if action == "control" else "entry"
        victim = self._rng.choice(self._site.of_kind(kind)).name
        if action == "control":
            self._site.kill(victim)
        return victim

    def _withdraw_key(self, key_id: str) -> None:
        request_id = f"withdraw-{key_id}"
        for _ in range(20):
            try:
                self._site.operators.call("DELETE", f"/keys/{key_id}", request_id=request_id)
                return
            except OperatorError:
                time.sleep(0.2)
        raise SiteError("no control VM accepted the withdrawal of the key")

    def _record_delay(self, action: str, what: str, delay: float) -> None:
        self.delays_s.append(max(0.0, delay))
        if delay > MAX_WITHDRAWAL_DELAY_S:
            self.problems.append(f"{action}: {what} was served {delay:.2f} s after the withdrawal")

    def _poll_acceptance(self, entry: Member, key: str, withdrawn: threading.Event) -> float:
        """Polls over a persistent connection; returns the monotonic send time of the last accepted request."""
        connection = http.client.HTTPConnection(*split_address(entry.address), timeout=10)
        last_accepted_at = time.monotonic()
        end = float("inf")
        while time.monotonic() < end:
            if withdrawn.is_set() and end == float("inf"):
                end = time.monotonic() + _OBSERVATION_S
            sent = time.monotonic()
            try:
                connection.request("GET", "/v1/models", headers={"Authorization": f"Bearer {key}"})
                response = connection.getresponse()
                response.read()
                if response.status == 200:
                    last_accepted_at = sent
            except (OSError, http.client.HTTPException):
                connection.close()
            time.sleep(_POLL_PERIOD_S)
        connection.close()
        return last_accepted_at

    def _run_stream(self, entry: Member, key: str) -> float:
        """Runs a stream longer than the round; returns the monotonic time at which its last token arrived."""
        body: dict[str, Any] = {"model": _MODEL_NAME, "stream": True, "max_tokens": 3000, "prompt": "stop"}
        last_token_at = [time.monotonic()]

        def on_data(data: bytes) -> None:
            if b'"text"' in data:
                last_token_at[0] = time.monotonic()

        headers = [f"Authorization: Bearer {key}", "Content-Type: application/json"]
        url = f"http://{entry.address}/v1/completions"
        fetch(Transfer("POST", url, headers, json.dumps(body).encode(), timeout_s=_OBSERVATION_S + 1, on_data=on_data))
        return last_token_at[0]


def prove(seed: int, rounds: int, actions: tuple[str, ...] = ("none", "control", "freeze")) -> KeyProof:
    """Runs the test on a new site and returns it with its delays and problems."""
    with LocalSite() as site:
        operators = site.operators
        revision = operators.call("PUT", "/workspaces/dispatch", {"rate": 1_000_000, "burst": 100_000_000})["revision"]
        site.add_engine("engine0", "--role", "both", "--models", _MODEL_NAME)
        operators.call("GET", f"/in-force/{revision}")
        site.wait_for_pool(_MODEL_NAME)
        proof = KeyProof(site, seed)
        for number in range(rounds):
            proof.run_round(actions[number % len(actions)])
    return proof


def main(
    seed: int = 1, rounds: Annotated[int, typer.Option(help="number of rounds, which cycle through the faults")] = 6
) -> None:
    """Runs the test; exits with status 1 if a withdrawn key was served after the bound or the site failed."""
    try:
        proof = prove(seed, rounds)
    except (SiteError, OperatorError) as error:
        print(f"proof not run to its end: {error}")
        raise SystemExit(1) from None
    print(f"last served {max(proof.delays_s):.2f} s after the withdrawal, bound {MAX_WITHDRAWAL_DELAY_S:g} s")
    for problem in proof.problems:
        print(f"BROKEN: {problem}")
    print(f"key: seed {seed}, {rounds} rounds, {len(proof.delays_s)} observations, {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
