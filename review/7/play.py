"""One part of a prompt crashes each runner that begins to write an answer on it; the prompts have many parts."""

from __future__ import annotations

import json
import os
import random
import re
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig_2 import KEY, TROUBLE, Deployment, Record, call, configuration, request_fields, run_case

PARTS = int(os.environ.get("PARTS", "70"))  # of each prompt; the deadly one is the last but one
DEADLY = "dead0001"
SHARE = 0.05  # of the requests that hold the deadly part, as on the news page
FOR_S, AFTER_S = 22.0, 4.0
REQUESTS_PER_S = 12.0
DECODE_RUNNERS, PREFILL_RUNNERS = 7, 2
BACK_S = 4.0  # from a crash of a runner until it is back
CONTACT_S = 3.0
ALLOWED_CRASHES, ALLOWED_REQUESTS = 5, 3
HEARTBEAT_S = 0.5


class _Engines:
    """Runners as processes, each of which is started anew some seconds after its crash, with a new id."""

    def __init__(self, folder: Path, site: Deployment, record: Record):
        self._folder, self._site, self._record = folder, site, record
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._process_by_id: dict[str, subprocess.Popen] = {}
        self._threads: list[threading.Thread] = []
        self.crashes: list[float] = []
        self.logs: list[Path] = []

    def __enter__(self) -> _Engines:
        for stage, count in (("decode", DECODE_RUNNERS), ("prefill", PREFILL_RUNNERS)):
            for number in range(count):
                thread = threading.Thread(target=self._keep_up, args=(f"{stage[0]}{number}", stage), daemon=True)
                thread.start()
                self._threads.append(thread)
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        with self._lock:
            for process in self._process_by_id.values():
                process.kill()
        for thread in self._threads:
            thread.join(5)

    def _keep_up(self, name: str, stage: str) -> None:
        boot = 0
        while not self._ended.is_set():
            boot += 1
            self._run_once(f"i-{name}-{boot}", stage)
            self._ended.wait(BACK_S)

    def _run_once(self, id_: str, stage: str) -> None:
        log = self._folder / f"engine-{id_}"
        command = [sys.executable, str(Path(__file__).with_name("engine.py")), id_, stage, DEADLY, str(log)]
        with self._lock:
            if self._ended.is_set():
                return
            process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
            self._process_by_id[id_] = process
            self.logs.append(log)
        address, born, sequence = process.stdout.readline().strip(), int(time.time() * 1000), 0
        while process.poll() is None and not self._ended.is_set():
            sequence += 1
            report = {
                "service": "model",
                "addr": address,
                "zone": "lj-a",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "coldRemainingMs": 0,
                "stage": stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": sequence,
                "born": born,
            }
            self._site.control("PUT", f"/instances/{id_}", report)
            try:
                process.wait(HEARTBEAT_S)
            except subprocess.TimeoutExpired:
                continue
        if not self._ended.is_set():
            self.crashes.append(time.monotonic())
            self._record.write(f"{id_} has crashed")
        process.kill()
        process.wait()
        process.stdout.close()


def _prompt(number: int, is_deadly: bool) -> str:
    """Returns the parts of a prompt: shared ones, one that is deadly or sound, and one of its own."""
    shared = [f"5c{index:06x}:10" for index in range(PARTS - 2)]
    middle = f"{DEADLY}:20" if is_deadly else f"50{number % 50:06x}:20"
    return ",".join([*shared, middle, f"{number:08x}:300"])


def _send(site: Deployment, record: Record, number: int, is_deadly: bool, counts: dict[str, int]) -> None:
    kind = "deadly" if is_deadly else "sound"
    fields = request_fields(
        f"{kind}-{number}",
        14000,
        Model="m",
        Token_Counts=f"{10 * PARTS + 320},70",
        Prompt_Prefix=_prompt(number, is_deadly),
    )
    path = "/text/x" if number % 2 else "/note/x"
    status, _, body = call("POST", site.callers(random.choice(site.entries)), path, b"{}", fields, timeout=15)
    whole = status == 200 and body.count(b"id: ") == 70
    counts[f"{kind} {status}{'' if whole or status != 200 else ' cut'}"] = (
        counts.get(f"{kind} {status}{'' if whole or status != 200 else ' cut'}", 0) + 1
    )
    record.write(f"{kind}-{number} on {path} is answered {status}, {len(body)} bytes{'' if whole else ', not whole'}")


def _arrivals(logs: list[Path]) -> list[float]:
    """Returns when requests with the deadly part reached decode runners."""
    found = []
    for log in logs:
        found += [float(at) for at in re.findall(r"arrives \S+ deadly=1 at=([0-9.]+)", log.read_text())]
    return sorted(found)


def play(record: Record, folder: Path) -> bool:
    """Returns whether more than three requests with the deadly part reach runners `contactMs` after the fifth crash."""
    with Deployment(folder, entries=2) as site:
        value = configuration(1)
        value["tenants"] = [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]
        site.configure(value)
        with _Engines(folder, site, record) as engines:
            time.sleep(3.0)
            counts: dict[str, int] = {}
            threads, number, source = [], 0, random.Random(7)
            started = time.monotonic()
            while time.monotonic() < started + FOR_S + AFTER_S:
                number += 1
                is_deadly = TROUBLE and time.monotonic() < started + FOR_S and source.random() < SHARE
                thread = threading.Thread(target=_send, args=(site, record, number, is_deadly, counts))
                thread.start()
                threads.append(thread)
                time.sleep(1 / REQUESTS_PER_S)
            for thread in threads:
                thread.join()
            crashes = sorted(engines.crashes)
        arrivals = _arrivals(engines.logs)
        barred = sum(row["event"] == "parts_barred" for ip in site.controls for row in site.log(ip))
    late = []
    if len(crashes) >= ALLOWED_CRASHES:
        late = [at for at in arrivals if at > crashes[ALLOWED_CRASHES - 1] + CONTACT_S]
    record.write(f"prompts of {PARTS} parts; answers {json.dumps(counts)}")
    record.write(
        f"{len(crashes)} crashes, {len(arrivals)} arrivals with the deadly part, {len(late)} of them later than"
    )
    record.write(f"{CONTACT_S:g} s after the fifth crash; {barred} bars were logged")
    if not counts.get("sound 200"):
        raise RuntimeError("no sound request was served")
    return len(late) > ALLOWED_REQUESTS


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
