"""Restarts a runner under its id while one control machine is frozen, and looks whether the runner is used again."""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig_3 import (  # noqa: E402
    RECOVERY_S,
    TROUBLE,
    Client,
    Deployment,
    Record,
    Runner,
    document,
)

BORN = os.environ.get("BORN", "0") != "0"  # whether DELETE names the start, as no call of the bench does
DRAIN_S = 2.0  # `drainMs`
FREEZE_S = 4.0
RUN_S = 80.0  # after the restart
MIN_SHARE = 0.25  # of rule Starved


def restart(deployment: Deployment, record: Record, runner: Runner, frozen: str) -> bool:
    """Lets a runner leave and start again under its id; returns whether each of its calls was acknowledged."""
    others = [ip for ip in deployment.controls if ip != frozen]
    began_at = time.monotonic()
    if TROUBLE:
        deployment.signal(frozen, signal.SIGSTOP)
    runner.nodes = others  # its reports meet the two others; only the call with which it leaves meets the frozen node
    runner.state = "draining"
    status = runner.report()
    record.write(f"{runner.name} reports that it drains: {status}")
    is_acknowledged = status == 200
    time.sleep(DRAIN_S)
    # The first node does not answer within a second, so the call is sent to the next one.
    body = {"born": runner.born} if BORN else None
    status = runner.call_control("DELETE", body, [frozen, *others])
    record.write(f"{runner.name} leaves: {status}")
    is_acknowledged &= status == 200
    runner.end()
    time.sleep(0.1)
    runner.start_again()
    status = runner.report()
    record.write(f"{runner.name} reports that it is ready: {status}")
    is_acknowledged &= status == 200
    time.sleep(max(0.0, began_at + FREEZE_S - time.monotonic()))
    if TROUBLE:
        deployment.signal(frozen, signal.SIGCONT)
    return is_acknowledged


def main() -> int:
    """Runs the case; returns the exit code."""
    record = Record(Path(__file__).resolve().parent)
    with contextlib.ExitStack() as stack:
        deployment = stack.enter_context(Deployment(record, entries=2))
        deployment.start_all()
        if not deployment.configure(document(), 10.0) or not deployment.wait_ready():
            return 2
        names = (("i-desk1", "desk"), ("i-pre1", "models", "prefill"), ("i-dec1", "models", "decode"))
        runners = [stack.enter_context(Runner(record, deployment, *each)) for each in names]
        time.sleep(1.0)
        client, stopping = Client(record, deployment), threading.Event()
        stack.callback(stopping.set)
        stream = {"Model": "m", "Token_Counts": "1000,70", "Prompt_Prefix": "5c1e07a2:200,91bd3f06:800"}
        for per_s, path, deadline_s, fields in ((3.0, "/draft/x", 14.0, stream), (5.0, "/book/x", 2.5, {})):
            threading.Thread(
                target=client.keep_sending, args=(stopping, per_s, path, deadline_s), kwargs=fields, daemon=True
            ).start()
        time.sleep(4.0)
        if not restart(deployment, record, runners[0], deployment.controls[-1]):
            return 2
        restarted_at = time.monotonic()
        time.sleep(RUN_S)
        stopping.set()
        time.sleep(2.0)
        last_status = runners[0].report()
    booked = [end for end in client.ends if end["path"].startswith("/book")]
    late = [end for end in booked if end["sent_at"] > restarted_at + RECOVERY_S]
    served_late = sum(end["status"] == 200 for end in late)
    share = sum(end["status"] == 200 for end in booked) / len(booked)
    share_of_all = sum(end["status"] == 200 for end in client.ends) / len(client.ends)
    summary = (
        f"bookings served {share:.3f}, all requests {share_of_all:.3f}; {served_late} of {len(late)} bookings served "
        f"later than {RECOVERY_S:.0f} s after the restart; the last report of the runner: {last_status}"
    )
    record.write(summary)
    print(summary)
    return 1 if share < MIN_SHARE * share_of_all else 0


if __name__ == "__main__":
    sys.exit(main())
