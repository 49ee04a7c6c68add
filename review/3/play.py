"""Case 3: requests with one part crash each runner that begins to write an answer on it."""

from __future__ import annotations

import contextlib
import http.client
import json
import random
import socket
import struct
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import CONTACT_S, HEARTBEAT_S, KEY, Record, Site, document, http_call, main  # noqa: E402

RUNNERS = 6
EVENTS = 10  # of a whole answer
EVENTS_BEFORE_CRASH = 2
EVENT_S = 0.02
DOWN_S = 3.0  # a runner that has crashed is back after so long
LENGTH_S = 28.0
SOUND_EVERY_S, DEADLY_EVERY_S = 0.1, 2.0  # a share of 0.05
DEADLY_FROM_S, DEADLY_FOR_S = 2.0, 22.0
ALLOWED = 3  # requests with the part that may reach runners later than `contactMs` after the fifth crash
DEADLY, SHARED = "dead0001", "5c1e07a2"
RESET = struct.pack("ii", 1, 0)


class Log:
    """What the runners have seen."""

    def __init__(self, record: Record):
        self.record = record
        self.lock = threading.Lock()
        self.crashes: list[float] = []
        self.deadly_arrivals: list[float] = []
        self.cut_sound_streams = 0


class Engine:
    """A sound decode runner, except that an answer on a prompt with the deadly part crashes it."""

    def __init__(self, site: Site, log: Log, number: int):
        self._site = site
        self._log = log
        self._number = number
        self._stopping = threading.Event()
        self._address = (f"{site.network}.{150 + number}", 0)
        self._boot = 0
        self._lock = threading.Lock()
        self._connections: dict[socket.socket, bool] = {}  # whether a sound stream is being written
        self._listener: socket.socket | None = None

    def __enter__(self) -> Engine:
        self._start()
        threading.Thread(target=self._beat, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        with contextlib.suppress(OSError):
            self._listener.close()

    def _start(self) -> None:
        self._listener = socket.create_server(self._address, backlog=128)
        self._address = self._listener.getsockname()[:2]
        self._boot += 1
        self._id = f"i-engine{self._number}-{self._boot}"
        self._born_ms = int(time.time() * 1000)
        self._is_up = True
        threading.Thread(target=self._accept, args=(self._listener, self._boot), daemon=True).start()

    def _beat(self) -> None:
        sequence = 0
        while not self._stopping.is_set():
            sequence += 1
            body = {
                "service": "model",
                "addr": "{}:{}".format(*self._address),
                "zone": "hcm-a",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": sequence,
                "born": self._born_ms,
                "stage": "decode",
                "models": [{"name": "m", "version": 1, "adapters": []}],
            }
            if self._is_up:
                for ip in random.sample(self._site.controls, len(self._site.controls)):
                    path = f"/instances/{self._id}"
                    if http_call("PUT", self._site.control(ip), path, json.dumps(body).encode())[0] == 200:
                        break
            self._stopping.wait(HEARTBEAT_S)

    def _accept(self, listener: socket.socket, boot: int) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                if boot != self._boot or not self._is_up:
                    connection.close()
                    return
                self._connections[connection] = False
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _crash(self, request_id: str) -> None:
        """Resets all channels, as the end of a process does, and starts a new boot after `DOWN_S`."""
        with self._lock:
            if not self._is_up:
                return
            self._is_up = False
            connections, self._connections = self._connections, {}
            self._listener.close()
            for connection in connections:
                with contextlib.suppress(OSError):
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    connection.shutdown(socket.SHUT_RDWR)
        log = self._log
        with log.lock:
            log.crashes.append(time.monotonic())
            log.cut_sound_streams += sum(connections.values())
            number = len(log.crashes)
        log.record.write(
            f"crash {number}: {self._id} on {request_id}, {sum(connections.values())} sound streams cut with it"
        )
        timer = threading.Timer(DOWN_S, self._start)
        timer.daemon = True
        timer.start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection.makefile("rb") as reader:
                connection.settimeout(10.0)
                method, target, _ = reader.readline().decode("latin-1").split(" ", 2)
                fields = {}
                while (line := reader.readline().decode("latin-1").strip()) != "":
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                reader.read(int(fields.get("content-length", 0)))
                if target == "/report":
                    body = b'{"stage":"decode","busy":false,"seq":0,"models":[]}'
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                elif fields.get("expect-instance") not in (None, self._id) or "serving-stage" in fields:
                    connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                else:
                    self._write(connection, fields)
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.pop(connection, None)
            connection.close()

    def _write(self, connection: socket.socket, fields: dict[str, str]) -> None:
        request_id = fields["request-id"]
        is_deadly = DEADLY in fields.get("prompt-prefix", "")
        if is_deadly:
            with self._log.lock:
                self._log.deadly_arrivals.append(time.monotonic())
            self._log.record.write(f"runner {self._id} begins an answer on {request_id}, with the deadly part")
        else:
            with self._lock:
                self._connections[connection] = True
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: stamp-{self._id}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        connection.sendall(head.encode())
        first = int(fields.get("last-event-id") or 0) + 1
        for count, number in enumerate(range(first, EVENTS + 1)):
            if is_deadly and count == EVENTS_BEFORE_CRASH:
                self._crash(request_id)
                return
            time.sleep(EVENT_S)
            event = f"id: {number}\ndata: token\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")


def engine_document() -> dict:
    """Returns a desired state with a streaming route that may be resumed."""
    value = document(1)
    engine = {"slots": 64, "kvCapacityTokens": 33787, "kvHoldS": 0.5, "models": [{"name": "m"}]}
    value["services"].append({"name": "model", "healthPath": "/healthz", "maxConns": 360, "engine": engine})
    value["routes"].append(
        {
            "name": "text",
            "host": "site.example",
            "pathPrefix": "/text/",
            "kind": "streaming",
            "timeoutMs": 14000,
            "targetLatencyMs": 900,
            "priority": 1,
            "service": "model",
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapAimMs": 300,
        }
    )
    return value


def ask(site: Site, record: Record, request_id: str, parts: str, results: list[str]) -> None:
    """Sends one stream request and records how it ends."""
    connection = http.client.HTTPConnection(site.front(random.choice(site.entries)), timeout=14.0)
    headers = {
        "Host": "site.example",
        "Request-Id": request_id,
        "Deadline-Ms": "14000",
        "Authorization": f"Bearer {KEY}",
        "Model": "m",
        "Token-Counts": "300,10",
        "Prompt-Prefix": parts,
    }
    try:
        connection.request("POST", "/text/x", b"{}", headers)
        answer = connection.getresponse()
        answer.read()
        result = str(answer.status)
    except (OSError, http.client.HTTPException):
        result = "cut"
    finally:
        connection.close()
    results.append(result)
    record.write(f"client: {request_id} [{parts}]: {result}")


def play(record: Record, trouble: bool) -> bool:
    """Returns whether more requests with the part reached runners than the rule allows."""
    log = Log(record)
    sound: list[str] = []
    deadly: list[str] = []
    with Site(record, entries=2) as site, contextlib.ExitStack() as stack:
        for number in range(RUNNERS):
            stack.enter_context(Engine(site, log, number))
        site.set_up(engine_document())
        first: list[str] = []

        def is_served() -> bool:
            ask(site, record, "warm-up", f"{SHARED}:200,{random.getrandbits(32):08x}:100", first)
            return first[-1] == "200"

        site.wait_until(is_served, "no request is served")
        threads = []
        started = time.monotonic()
        next_deadly = started + DEADLY_FROM_S
        number = 0
        while time.monotonic() < started + LENGTH_S:
            number += 1
            last = f"{random.getrandbits(32):08x}:50"
            now = time.monotonic()
            if trouble and next_deadly <= now < started + DEADLY_FROM_S + DEADLY_FOR_S:
                next_deadly += DEADLY_EVERY_S
                arguments = (site, record, f"deadly-{number}", f"{SHARED}:200,{DEADLY}:50,{last}", deadly)
            else:
                arguments = (site, record, f"sound-{number}", f"{SHARED}:200,{last}", sound)
            threads.append(threading.Thread(target=ask, args=arguments))
            threads[-1].start()
            time.sleep(SOUND_EVERY_S)
        for thread in threads:
            thread.join()
    limit = log.crashes[4] + CONTACT_S if len(log.crashes) >= 5 else float("inf")
    late = sum(at > limit for at in log.deadly_arrivals)
    for name, results in (("sound", sound), ("deadly", deadly)):
        record.write(f"{name}: " + ", ".join(f"{results.count(end)} x {end}" for end in sorted(set(results))))
    record.write(f"{len(log.crashes)} crashes, {log.cut_sound_streams} sound streams cut by them")
    record.write(f"{late} requests with the part reached runners later than 3 s after the fifth crash; {ALLOWED} may")
    return late > ALLOWED


main(HERE, play)
