"""Stand-ins and a small deployment for the scripts of the third review, with the standard library only.

Every address is a loopback address. `Deployment` starts the programs with the commands of the deploy file.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "i9n73hh2b9wu3fexd9dn"
HOST = "ficu95.example"
# Bounds of the small site `phamgia-market`, by their names in the template of the settings.
GRACE_S, CONTACT_S, APPLY_S, HEARTBEAT_S, RECOVERY_S = 8.0, 3.0, 2.0, 1.2, 12.0
BOUNDS = {
    "grace_s": 8,
    "apply_ms": 2000,
    "retry_fraction": 0.2,
    "retry_slack": 52,
    "rate_slack_tokens": 140000,
    "revocation_ms": 5000,
    "order_lease_ms": 3000,
    "strict_revocation": False,
    "cold_overage": None,
    "cold_slack": None,
    "directory_ttl_s": 5,
}


class Record:
    """Lines of `record.txt` in the folder of a case, with seconds since the start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
            self._file.flush()


def ask(method: str, address: str, path: str, value: object = None, timeout: float = 1.0) -> tuple[int, bytes]:
    """Makes one call; returns status and body, status 0 if there is no answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Deployment:
    """Three control processes and some entry processes; those that still run are killed at the end."""

    def __init__(self, record: Record, entries: int):
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-3-")
        self._commands = {
            role: spec["run"].split()
            for role, spec in tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"].items()
        }
        rng = random.SystemRandom()
        network = f"127.{rng.randint(2, 250)}.{rng.randint(2, 250)}"
        self.controls = [f"{network}.{number}" for number in (1, 2, 3)]
        self.entries = [f"{network}.{number + 101}" for number in range(entries)]
        self._ports = random.SystemRandom().sample(range(20000, 29000, 20), 5)
        while any(_is_used(f"{network}.1", port) for port in self._ports):
            self._ports = random.SystemRandom().sample(range(20000, 29000, 20), 5)
        self.process_by_ip: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> Deployment:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.process_by_ip.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.process_by_ip.values():
            process.wait()
        self._folder.cleanup()

    def address(self, ip: str, what: str) -> str:
        """Returns the address of `control`, `callers`, `ready` or `directory` at a machine."""
        return f"{ip}:{self._ports[('control', 'callers', 'ready', 'directory').index(what) + 1]}"

    def _settings(self, ip: str, bootstrap: bool) -> dict:
        control = ip in self.controls
        zones = {"hcm-a": "hcm", "hcm-b": "hcm", "hcm-c": "hcm"}
        return {
            "vm": f"{'core' if control else 'front'}-{ip.rpartition('.')[2]}",
            "data_centre": sorted(zones)[(self.controls + self.entries).index(ip) % 3],
            "region_by_data_centre": zones,
            "ip": ip,
            "callers": None if control else self.address(ip, "callers"),
            "ready": None if control else self.address(ip, "ready"),
            "directory": None if control else self.address(ip, "directory"),
            "control": self.address(ip, "control") if control else None,
            "internal_ports": [self._ports[0], self._ports[0] + 15],
            "seeds": [self.address(seed, "control") for seed in self.controls],
            "bootstrap": bootstrap,
            "data_folder": str(Path(self._folder.name) / f"disk-{ip}") if control else None,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "tolerated_losses": 1,
            "memory_mb": 296 if control else 300,
            "contracts": "base drain config cost retry recover split stream engine tenants quota".split(),
            "second_send_fraction": 0,
            "bounds": BOUNDS,
        }

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """Starts the process of a machine."""
        settings = self._settings(ip, bootstrap)
        if settings["data_folder"]:
            Path(settings["data_folder"]).mkdir(exist_ok=True)
        path = Path(self._folder.name) / f"settings-{ip}.json"
        path.write_text(json.dumps(settings))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["ARBUTUSRILL_SETTINGS"] = str(path)
        log = (Path(self._folder.name) / f"log-{ip}").open("ab")
        self.process_by_ip[ip] = subprocess.Popen(
            self._commands["control" if ip in self.controls else "entry"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self._record.write(f"start {settings['vm']} bootstrap={bootstrap}")

    def start_all(self) -> None:
        """Starts all machines for the first time."""
        for ip in [*self.controls, *self.entries]:
            self.start(ip, bootstrap=True)

    def signal(self, ip: str, number: int) -> None:
        """Sends a signal to the process of a machine."""
        self._record.write(f"{signal.Signals(number).name} to {ip}")
        self.process_by_ip[ip].send_signal(number)

    def configure(self, document: dict, limit_s: float) -> bool:
        """Sends a desired state again and again, as the operator does; returns whether it was acknowledged in time."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            for ip in random.sample(self.controls, len(self.controls)):
                status, _ = ask("PUT", self.address(ip, "control"), "/config", document)
                if status == 200:
                    self._record.write(f"desired state {document['version']} acknowledged by {ip}")
                    return True
            time.sleep(0.1)
        return False

    def wait_ready(self, limit_s: float = 8.0) -> bool:
        """Waits until all entry processes say that they are ready."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if all(ask("GET", self.address(ip, "ready"), "/readyz")[0] == 200 for ip in self.entries):
                return True
            time.sleep(0.1)
        return False


def _is_used(address: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return True
    return False


def document(version: int = 1) -> dict:
    """Returns a desired state with bookings that may run once, look-ups, and streams that may not be resumed."""

    def route(name: str, kind: str, service: str, **more: object) -> dict:
        return {
            "name": f"r-{name}",
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 14000,
            "targetLatencyMs": 900,
            "priority": 1,
            "service": service,
            "maxAttempts": 1,
            "public": False,
            "sticky": kind == "streaming",
            **more,
        }

    engine = {"slots": 64, "kvCapacityTokens": 33787, "tokenKvBytes": 35136, "linkMbps": 740000.0, "kvHoldS": 0.5}
    return {
        "version": version,
        "routes": [
            route("book", "non_idempotent", "desk", timeoutMs=2500, targetLatencyMs=200),
            route("look", "safe", "desk", timeoutMs=2500, targetLatencyMs=200, maxAttempts=2),
            route("draft", "streaming", "models", resumable=False, gapAimMs=300),
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": False},
            {
                "name": "models",
                "healthPath": "/healthz",
                "maxConns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {**engine, "models": [{"name": "m"}]},
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
                "ratePerS": 200000,
                "burst": 200000,
            }
        ],
    }


class _RunnerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_: object) -> None:
        pass

    def do_GET(self) -> None:
        runner = self.server.runner
        if self.path == "/report":
            models = [{"name": "m", "version": 1, "adapters": []}]
            self._answer(200, json.dumps({"stage": runner.stage, "models": models, "busy": False, "seq": 0}).encode())
        elif self.path == "/healthz":
            self._answer(200, b"", Instance_Id=runner.name)
        else:
            self.do_POST()

    def do_DELETE(self) -> None:
        self._answer(200, b"{}")

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        runner, request = self.server.runner, self.headers.get("Request-Id", "")
        if not runner.is_running:
            self.close_connection = True
        elif self.headers.get("Expect-Instance", runner.name) != runner.name:
            self._answer(421, b"")
        elif self.headers.get("Serving-Stage") == "prefill":
            handle = {"kvHandle": os.urandom(6).hex(), "tokens": 1000, "version": 1}
            self._answer(200, json.dumps(handle).encode())
        elif runner.stage:
            runner.record.write(f"{runner.name} runs {request}")
            runner.ran.append(request)
            self._stream()
        else:
            runner.record.write(f"{runner.name} runs {request}")
            runner.ran.append(request)
            time.sleep(runner.work_s)
            self._answer(200, b"x" * 800, Server_Stamp=f"stamp-{runner.name}")

    def _answer(self, status: int, body: bytes, **fields: str) -> None:
        self.send_response(status)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _stream(self) -> None:
        runner = self.server.runner
        self.send_response(200)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        self.send_header("Server-Stamp", f"stamp-{runner.name}")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            for number in range(1, runner.events + 1):
                event = f"id: {number}\ndata: token-{number}\n\n".encode()
                self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
                time.sleep(runner.gap_s)
            self.wfile.write(b"0\r\n\r\n")
        except OSError:  # the machine has closed the channel
            self.close_connection = True


class _RunnerServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, *_: object) -> None:
        pass  # a machine that is killed resets its channels


class Runner:
    """A sound runner of a plain service, or of one stage of one with engines; it reports while its context is open."""

    def __init__(self, record: Record, deployment: Deployment, name: str, service: str, stage: str = ""):
        self.record, self._deployment, self.name, self._service, self.stage = record, deployment, name, service, stage
        self.work_s, self.events, self.gap_s = 0.02, 70, 0.02
        self.ran: list[str] = []
        self._server = _RunnerServer((f"127.{random.SystemRandom().randint(2, 250)}.0.9", 0), _RunnerHandler)
        self._server.runner = self
        self._address = "{}:{}".format(*self._server.server_address[:2])
        self.born, self._sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.nodes = list(deployment.controls)  # among which it picks for its reports
        self._lock = threading.Lock()
        self.is_running = True  # false between its end and its next start
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True),
            threading.Thread(target=self._report, daemon=True),
        ]

    def __enter__(self) -> Runner:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._server.shutdown()
        self._server.server_close()

    def _report(self) -> None:
        while not self._stopping.is_set():
            if self.is_running:
                self.report()
            self._stopping.wait(HEARTBEAT_S)

    def report(self) -> int:
        """Sends a liveness report, to another node after a second without an answer; returns the last status."""
        with self._lock:
            self._sequence += 1
            value = {
                "service": self._service,
                "addr": self._address,
                "zone": "hcm-a",
                "version": "v1",
                "slots": 64 if self.stage else 6,
                "state": self.state,
                "coldRemainingMs": 0,
                "seq": self._sequence,
                "born": self.born,
            }
        if self.stage:
            value |= {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        return self.call_control("PUT", value, random.sample(self.nodes, len(self.nodes)))

    def call_control(self, method: str, value: object, ips: list[str]) -> int:
        """Calls nodes in turn until one acknowledges; returns the last status."""
        status = 0
        for ip in ips:
            status, _ = ask(method, self._deployment.address(ip, "control"), f"/instances/{self.name}", value)
            if 200 <= status < 300:
                break
        return status

    def end(self) -> None:
        """Ends the process of the runner: it reports no more and closes channels until `start_again`."""
        self.is_running = False
        self.record.write(f"{self.name} ends")

    def start_again(self) -> None:
        """Starts it again under its id, as a new boot: its counts start anew."""
        with self._lock:
            self.born, self._sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.is_running = True
        self.record.write(f"{self.name} starts again, born {self.born}")


class Client:
    """Sends requests to the machines that the directory names, each on a new channel, and records how they end."""

    def __init__(self, record: Record, deployment: Deployment):
        self._record, self._deployment = record, deployment
        self._lock = threading.Lock()
        self._known: tuple[float, list[str]] = (0.0, [])
        self.ends: list[dict] = []

    def _addresses(self) -> list[str]:
        """Returns the addresses of the directory, which are asked for again after their time."""
        with self._lock:
            expires_at, addresses = self._known
        if time.monotonic() < expires_at:
            return addresses
        query = urllib.parse.urlencode({"name": HOST, "region": "hcm", "zone": "hcm-a"})
        entries = self._deployment.entries
        for ip in random.sample(entries, min(3, len(entries))):
            status, body = ask("GET", self._deployment.address(ip, "directory"), f"/resolve?{query}")
            if status == 200:
                answer = json.loads(body)
                with self._lock:
                    self._known = (time.monotonic() + min(5.0, answer["ttlS"]), answer["addresses"])
                return answer["addresses"]
        return addresses

    def send(self, path: str, deadline_s: float, **fields: str) -> dict:
        """Sends one request and returns how it ended; `cut` says that the channel ended without a complete answer."""
        request = os.urandom(8).hex()
        end = {"id": request, "path": path, "to": "", "sent_at": 0.0, "status": 0, "cut": "", "ended_at": 0.0}
        addresses = self._addresses()
        if not addresses:
            return end
        end["to"] = random.choice(addresses)
        host, _, port = end["to"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        headers = {
            "Host": HOST,
            "Request-Id": request,
            "Deadline-Ms": str(int(deadline_s * 1000)),
            "Authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in fields.items()},
        }
        try:
            connection.connect()
            connection.sock.settimeout(deadline_s)
            end["sent_at"] = time.monotonic()
            connection.request("POST", path, b"{}", headers)
            response = connection.getresponse()
            end["status"] = response.status
            response.read()
        except (OSError, http.client.HTTPException) as error:
            end["cut"] = repr(error)[:100] if end["sent_at"] else "no connection"
        finally:
            connection.close()
        end["ended_at"] = time.monotonic()
        with self._lock:
            self.ends.append(end)
        self._record.write(f"{request} {path} to {end['to']}: status {end['status']} {end['cut']}".rstrip())
        return end

    def keep_sending(self, stopping: threading.Event, per_s: float, *request: object, **fields: str) -> None:
        """Sends a request again and again, `per_s` times a second, each in a thread of its own."""
        while not stopping.wait(random.expovariate(per_s)):
            threading.Thread(target=self.send, args=request, kwargs=fields, daemon=True).start()
