"""Rig of the second review: a small deployment of real processes, runners that behave as the pages say, and a record.

The programs are started with the commands of ``deploy/system.toml``. Every address is a loopback address.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import re
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

__all__ = [
    "CANNOT_RUN",
    "HOST",
    "KEY",
    "TROUBLE",
    "Deployment",
    "Record",
    "Runner",
    "call",
    "configuration",
    "request_fields",
    "request_head",
    "run_case",
    "running",
]

ROOT = Path(__file__).resolve().parents[1]
KEY = "i9n73hh2b9wu3fexd9dn"
HOST = "site.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CANNOT_RUN = 2
_HEARTBEAT_S = 0.4


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """The record of one run: what was sent, answered and run, one line each with its time."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Adds a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
            self._file.flush()


def run_case(folder: Path, play: Callable[[Record, Path], bool]) -> None:
    """Plays a case and exits: 1 if `play` says that the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = play(record, Path(temporary))
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            sys.exit(CANNOT_RUN)
    result = "the rule was broken" if is_broken else "the rule held"
    record.write(result)
    print(result)
    sys.exit(int(is_broken))


def call(method: str, address: str, path: str, body: object = None, headers: dict | None = None, timeout: float = 3.0):
    """Returns status, headers in lower case and body of one call; status 0 if no whole answer came."""
    host, _, port = address.rpartition(":")
    data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, {name.lower(): value for name, value in answer.getheaders()}, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        connection.close()


def request_fields(request_id: str, deadline_ms: int = 4000, **fields: str) -> dict[str, str]:
    """Returns the header fields of a client's request by name."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }


def request_head(path: str, request_id: str, deadline_ms: int = 4000, method: str = "POST", **fields: str) -> bytes:
    """Returns the head of a client's request without the field for its length and the empty line."""
    lines = [f"{name}: {value}" for name, value in request_fields(request_id, deadline_ms, **fields).items()]
    return "".join(f"{line}\r\n" for line in [f"{method} {path} HTTP/1.1", *lines]).encode()


def configuration(version: int = 1, **changed: object) -> dict:
    """Returns a desired state with a lookup, a booking and two streaming routes."""

    def route(name: str, kind: str, service: str, **more: object) -> dict:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 4000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "public": False,
            **more,
        }

    stream = {"timeoutMs": 14000, "targetLatencyMs": 900, "sticky": True, "gapAimMs": 300}
    value = {
        "version": version,
        "routes": [
            route("look", "safe", "desk"),
            route("book", "non_idempotent", "desk", maxAttempts=1),
            route("text", "streaming", "model", resumable=True, **stream),
            route("note", "streaming", "model", maxAttempts=1, **stream),
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConns": 400},
            {
                "name": "model",
                "healthPath": "/healthz",
                "maxConns": 660,
                "engine": {"slots": 64, "kvCapacityTokens": 33787, "kvHoldS": 0.5, "models": [{"name": "m"}]},
            },
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [
            {
                "name": "hule930",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
    }
    value.update(changed)
    return value


class Deployment:
    """Three control processes and some entry processes; all of them are ended on exit from the context."""

    def __init__(self, folder: Path, entries: int = 1, contracts: tuple[str, ...] = (), memory_mb: int = 150):
        self._folder = folder
        self._contracts = list(contracts)
        self._memory_mb = memory_mb
        self._process_by_ip: dict[str, subprocess.Popen] = {}
        self._ended = threading.Event()
        self._threads: list[threading.Thread] = []
        source = random.SystemRandom()
        network = f"127.{source.randint(1, 250)}.{source.randint(1, 250)}"
        self.controls = [f"{network}.{number}" for number in (1, 2, 3)]
        self.entries = [f"{network}.{number + 101}" for number in range(entries)]
        self._rpc_port, self._control_port, self._caller_port, self._ready_port, self._directory_port = _free_ports(5)
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def __enter__(self) -> Deployment:
        for ip in [*self.controls, *self.entries]:
            self.start(ip)
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        for process in self._process_by_ip.values():
            process.kill()
            process.wait()
        for thread in self._threads:
            thread.join(5)

    def _settings(self, ip: str) -> dict:
        """Returns what the platform makes of ``deploy/settings.json`` for the machine at `ip`."""
        control = ip in self.controls
        return {
            "vm": f"node-{ip}",
            "data_centre": "lj-a",
            "region_by_data_centre": {"lj-a": "lj", "lj-b": "lj"},
            "ip": ip,
            "callers": None if control else f"{ip}:{self._caller_port}",
            "ready": None if control else f"{ip}:{self._ready_port}",
            "directory": None if control else f"{ip}:{self._directory_port}",
            "control": f"{ip}:{self._control_port}" if control else None,
            "internal_ports": [self._rpc_port, self._rpc_port + 15],
            "seeds": [f"{seed}:{self._control_port}" for seed in self.controls[:3]],
            "bootstrap": not self._has_run(ip),
            "data_folder": str(self._folder / f"disk-{ip}") if control else None,
            "heartbeat_ms": 1200,
            "tolerated_losses": 1,
            "memory_mb": 296 if control else self._memory_mb,
            "contracts": self._contracts,
            "second_send_fraction": 0,
            "bounds": {
                "grace_s": 8,
                "apply_ms": 2000,
                "retry_fraction": 0.2,
                "retry_slack": 56,
                "rate_slack_tokens": 140000,
                "revocation_ms": 5000,
                "order_lease_ms": 3000,
                "strict_revocation": False,
                "directory_ttl_s": 5,
            },
        }

    def _has_run(self, ip: str) -> bool:
        return ip in self._process_by_ip

    def start(self, ip: str, descriptors: int = 4100) -> None:
        """Starts the process of the machine at `ip` with the command of its role."""
        settings = self._settings(ip)
        if settings["data_folder"]:
            Path(settings["data_folder"]).mkdir(exist_ok=True)
        path = self._folder / f"settings-{ip}.json"
        path.write_text(json.dumps(settings))
        role = "control" if ip in self.controls else "entry"
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self._folder / f"log-{ip}").open("ab") as log:
            process = subprocess.Popen(
                self._roles[role]["run"].split(),
                cwd=ROOT,
                env={**kept, "ARBUTUSRILL_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )
        self._process_by_ip[ip] = process
        _, hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (min(descriptors, hard), hard))

    def process(self, ip: str) -> subprocess.Popen:
        """Returns the process of the machine at `ip`."""
        return self._process_by_ip[ip]

    def log(self, ip: str) -> list[dict]:
        """Returns the structured lines that the process at `ip` has logged."""
        lines = (self._folder / f"log-{ip}").read_text(errors="replace").splitlines()
        rows = []
        for line in lines:
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def peak_mb(self, ip: str) -> float:
        """Returns the largest resident memory that the process at `ip` has had, in MiB."""
        status = Path(f"/proc/{self._process_by_ip[ip].pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024

    def callers(self, ip: str) -> str:
        """Returns the address for clients of the entry machine at `ip`."""
        return f"{ip}:{self._caller_port}"

    def directory(self, ip: str) -> str:
        """Returns the address at which the entry machine at `ip` serves the directory."""
        return f"{ip}:{self._directory_port}"

    def ready(self, ip: str) -> str:
        """Returns the address of the readiness check of the entry machine at `ip`."""
        return f"{ip}:{self._ready_port}"

    def control(self, method: str, path: str, body: object = None, ip: str | None = None, timeout: float = 3.0):
        """Calls the control machine at `ip`; without it, the first one that answers other than 503."""
        answer = (0, {}, b"")
        for host in [ip] if ip else self.controls:
            answer = call(method, f"{host}:{self._control_port}", path, body, timeout=timeout)
            if answer[0] not in (0, 503):
                break
        return answer

    def wait_until(self, condition: Callable[[], bool], what: str, limit_s: float = 20.0) -> None:
        """Waits until `condition()` holds; the case cannot run if it does not in time."""
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(f"{what}: not within {limit_s} s")
            time.sleep(0.05)

    def configure(self, value: dict) -> None:
        """Sends a desired state until it is acknowledged, and waits until all entry machines apply it."""
        self.wait_until(lambda: self.control("PUT", "/config", value)[0] == 200, "no ack of the desired state")
        for ip in self.entries:
            self.wait_until(lambda ip=ip: self.serves(ip), f"{ip} does not serve")

    def serves(self, ip: str) -> bool:
        """Returns whether the entry machine at `ip` knows a desired state: it answers 404 to an unknown route."""
        return call("GET", self.callers(ip), "/nowhere/x", headers={"Host": HOST})[0] == 404

    def announce(self, *runners: Runner) -> None:
        """Announces runners from now on, as they do themselves."""

        def announce_again() -> None:
            while not self._ended.wait(_HEARTBEAT_S):
                for runner in runners:
                    self.control("PUT", f"/instances/{runner.id}", runner.announcement())

        for runner in runners:
            status = self.control("PUT", f"/instances/{runner.id}", runner.announcement())[0]
            if status != 200:
                raise CannotRunError(f"{runner.id} is not acknowledged: {status}")
        thread = threading.Thread(target=announce_again, daemon=True)
        thread.start()
        self._threads.append(thread)
        time.sleep(0.6)


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        listeners = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(count)]
        return [listener.getsockname()[1] for listener in listeners]


class _RunnerHandler(BaseHTTPRequestHandler):
    """Serves one channel of a runner."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_: object) -> None:
        pass

    def do_GET(self) -> None:
        self._serve()

    def do_POST(self) -> None:
        self._serve()

    def do_DELETE(self) -> None:
        self._serve()

    def _serve(self) -> None:
        runner = self.server.runner
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path.startswith("/kv-handle/"):
            self.answer(200, b"{}", proof=False)
        elif self.path == "/report":
            self.answer(200, json.dumps({"busy": False, "seq": runner.orders}).encode(), proof=False)
        elif self.path == "/order":
            runner.orders += 1
            self.answer(202, b"{}", proof=False)
        elif self.headers.get("Expect-Instance", runner.id) != runner.id:
            self.answer(421, b"", proof=False)
        else:
            runner.serve(self)

    def answer(self, status: int, body: bytes, proof: bool = True, **fields: str) -> None:
        """Answers with a length."""
        self.send_response(status)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        if proof:
            self.send_header("Server-Stamp", f"stamp-{self.server.runner.id}")
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def begin_stream(self) -> None:
        """Begins an answer of events in chunks."""
        self.send_response(200)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        self.send_header("Server-Stamp", f"stamp-{self.server.runner.id}")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_event(self, number: int, text: str) -> None:
        """Sends one event of a stream."""
        event = f"id: {number}\ndata: {text}\n\n".encode()
        self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))

    def end_stream(self) -> None:
        """Ends a stream as complete."""
        self.wfile.write(b"0\r\n\r\n")


class _RunnerServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: object, client_address: object) -> None:
        """Says nothing: a closed channel is no error of the runner."""


class Runner:
    """A runner of one service, with `slots` requests at a time and a queue as long; serves while its context is open.

    `work` answers a request in its slot; by default it answers with a short body after `work_s`. `runs` holds the id of
    each request that began to run.
    """

    def __init__(
        self,
        id_: str,
        service: str,
        record: Record,
        slots: int = 6,
        work_s: float = 0.045,
        stage: str = "",
        work: Callable[[Runner, _RunnerHandler], None] | None = None,
    ):
        self.id = id_
        self.service = service
        self.stage = stage
        self.orders = 0
        self.runs: list[str] = []
        self._record = record
        self._slots = slots
        self._slot = threading.BoundedSemaphore(slots)
        self._place = threading.BoundedSemaphore(4 * slots)
        self._work_s = work_s
        self._work = work
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = _RunnerServer(("127.0.0.1", 0), _RunnerHandler)
        self._server.runner = self
        self.address = "{}:{}".format(*self._server.server_address[:2])

    def __enter__(self) -> Runner:
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._server.shutdown()
        self._server.server_close()

    def announcement(self) -> dict:
        """Returns the next liveness report."""
        self._sequence += 1
        staged = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]} if self.stage else {}
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "lj-a",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": self._sequence,
            "born": self._born,
            **staged,
        }

    def serve(self, handler: _RunnerHandler) -> None:
        """Serves a request in a slot, or turns it away if the queue is full."""
        request_id = handler.headers.get("Request-Id", "")
        if not self._place.acquire(blocking=False):
            handler.answer(503, b"", proof=False, Not_Executed="1")
            return
        try:
            with self._slot:
                self.runs.append(request_id)
                self._record.write(f"runs {request_id} at {self.id}")
                if self._work is not None:
                    self._work(self, handler)
                    return
                time.sleep(self._work_s)
                handler.answer(200, f"done by {self.id}".encode())
        finally:
            self._place.release()


@contextlib.contextmanager
def running(*runners: Runner) -> Iterator[None]:
    """Serves runners while the context is open."""
    with contextlib.ExitStack() as stack:
        for runner in runners:
            stack.enter_context(runner)
        yield
