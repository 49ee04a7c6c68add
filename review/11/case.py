"""Stops entry machines as the platform does while they are frozen, and looks for requests that are lost afterwards."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import contextlib  # noqa: E402

from rig_3 import (  # noqa: E402
    CONTACT_S,
    GRACE_S,
    TROUBLE,
    Client,
    Deployment,
    Record,
    Runner,
    document,
)

HUP = os.environ.get("HUP", "0") != "0"  # SIGHUP directly before SIGTERM takes the place of the freeze
FREEZE_S = 2.0
TERM_AFTER_S = 1.0  # after the begin of the freeze
RESTART_S = 1.0


def stop(deployment: Deployment, record: Record, ip: str) -> dict:
    """Stops and restarts one machine; returns the times of the stop."""
    times = {"to": deployment.address(ip, "callers"), "thawed_at": float("-inf")}
    if TROUBLE and HUP:
        deployment.process_by_ip[ip].send_signal(signal.SIGHUP)
    elif TROUBLE:
        deployment.signal(ip, signal.SIGSTOP)
        time.sleep(TERM_AFTER_S)
    deployment.process_by_ip[ip].send_signal(signal.SIGTERM)
    times["term_at"] = time.monotonic()
    record.write(f"SIGTERM to {ip}")
    if TROUBLE and not HUP:
        time.sleep(FREEZE_S - TERM_AFTER_S)
        deployment.signal(ip, signal.SIGCONT)
        times["thawed_at"] = time.monotonic()
    process = deployment.process_by_ip[ip]
    try:
        process.wait(max(0.0, times["term_at"] + GRACE_S - time.monotonic()))
        times["outlived"] = False
    except subprocess.TimeoutExpired:
        times["outlived"] = True
        deployment.signal(ip, signal.SIGKILL)
        process.wait()
    took_s = time.monotonic() - times["term_at"]
    record.write(f"{ip} ended {took_s:.2f} s after SIGTERM, killed: {times['outlived']}")
    time.sleep(RESTART_S)
    deployment.start(ip)
    return times


def is_lost(end: dict, times: dict, ran: set[str]) -> bool:
    """Whether rule LOST counts a request: read, passed on, cut, and no unplanned disruption near it."""
    since_term_s = end["sent_at"] - times["term_at"]
    return (
        end["to"] == times["to"]
        and end["cut"] not in ("", "no connection")
        and end["id"] in ran
        and 0 <= since_term_s <= GRACE_S + 1.0
        and end["sent_at"] - CONTACT_S >= times["thawed_at"]
        # Not counted: the runner was still at work in the last sixth of the grace period on a request that was sent
        # no later than 3 s after the SIGTERM.
        and since_term_s > 3.0
        and end["ended_at"] - end["sent_at"] < 13.0
    )


def main() -> int:
    """Runs the case; returns the exit code."""
    record = Record(Path(__file__).resolve().parent)
    with contextlib.ExitStack() as stack:
        deployment = stack.enter_context(Deployment(record, entries=3))
        deployment.start_all()
        if not deployment.configure(document(), 10.0) or not deployment.wait_ready():
            return 2
        runners = [
            stack.enter_context(Runner(record, deployment, *names))
            for names in (
                ("i-desk1", "desk"),
                ("i-pre1", "models", "prefill"),
                ("i-dec1", "models", "decode"),
                ("i-dec2", "models", "decode"),
            )
        ]
        time.sleep(1.0)
        client, stopping = Client(record, deployment), threading.Event()
        stack.callback(stopping.set)
        stream = {"Model": "m", "Token_Counts": "1000,70", "Prompt_Prefix": "5c1e07a2:200,91bd3f06:800"}
        for per_s, path, deadline_s, fields in ((6.0, "/draft/x", 14.0, stream), (8.0, "/book/x", 2.5, {})):
            threading.Thread(
                target=client.keep_sending, args=(stopping, per_s, path, deadline_s), kwargs=fields, daemon=True
            ).start()
        time.sleep(3.0)
        if not any(end["status"] == 200 for end in list(client.ends)):
            return 2
        stops = []
        for ip in deployment.entries:
            stops.append(stop(deployment, record, ip))
            if not deployment.wait_ready():
                return 2
            time.sleep(CONTACT_S)
        stopping.set()
        time.sleep(2.0)
        ran = {request for runner in runners for request in runner.ran}
        lost = [end for end in list(client.ends) for times in stops if is_lost(end, times, ran)]
    statuses: dict[int, int] = {}
    for end in client.ends:
        statuses[end["status"]] = statuses.get(end["status"], 0) + 1
    outlived = sum(times["outlived"] for times in stops)
    summary = f"statuses {statuses}; {outlived} of {len(stops)} machines outlived their grace period; {len(lost)} lost"
    record.write(summary)
    for end in lost:
        record.write(f"lost: {end['id']} {end['path']} to {end['to']}: {end['cut']}")
    print(summary)
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
