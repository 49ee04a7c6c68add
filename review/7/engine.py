"""A model runner as a process of its own; it ends like a crash when it writes an answer on a deadly part."""

from __future__ import annotations

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig_2 import Record, Runner

EVENTS, EVENT_PAUSE_S = 70, 0.004


def main(id_: str, stage: str, deadly: str, log: str) -> None:
    """Serves until it is ended; prints its address first."""
    record = Record(Path(log))

    def work(runner: Runner, handler) -> None:
        request_id, parts = handler.headers["Request-Id"], handler.headers.get("Prompt-Prefix", "")
        is_deadly = any(part.startswith(f"{deadly}:") for part in parts.split(","))
        if handler.headers.get("Serving-Stage") == "prefill":
            time.sleep(0.02)
            record.write(f"reads {request_id}")
            body = f'{{"kvHandle":"h{len(runner.runs)}","tokens":1000,"version":1}}'.encode()
            handler.answer(200, body, proof=False)
            return
        record.write(f"arrives {request_id} deadly={int(is_deadly)} at={time.monotonic():.3f}")
        time.sleep(0.01)
        if is_deadly:
            record.write(f"crashes {request_id} at={time.monotonic():.3f}")
            os._exit(1)
        handler.begin_stream()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            handler.send_event(number, f"token-{number}")
            time.sleep(EVENT_PAUSE_S)
        handler.end_stream()

    with Runner(id_, "model", record, 64, stage=stage, work=work) as runner:
        print(runner.address, flush=True)
        threading.Event().wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
