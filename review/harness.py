"""A small site of real processes on loopback addresses, with stand-ins for the platform, a service and clients.

The processes are started with the commands and the settings template of the deploy file. Standard library only.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
KEY = "i9n73hh2b9wu3fexd9dn"
HEARTBEAT_S = 1.2
# Bounds of the sheet of phamgia-market.
CONTACT_S, RECOVERY_S, CATCH_UP_S, ACK_TIMEOUT_S = 3.0, 12.0, 4.0, 4.0
_BOUNDS = {
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 52,
    "quotaSlack": 140000,
    "revokeMs": 5000,
    "leaseMs": 3000,
    "strictRevoke": False,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happens to `record.txt` of a case, with the seconds since its start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            print(f"{time.monotonic() - self._started:8.3f}  {text}", file=self._file, flush=True)


def document(version: int, **tenant: object) -> dict:
    """Returns a desired state with one safe and one non-idempotent route of one service."""
    common = {"host": "site.example", "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1, "service": "desk"}
    return {
        "version": version,
        "routes": [
            {"name": "look", "pathPrefix": "/look/", "kind": "safe", "maxAttempts": 2, "public": False, **common},
            {
                "name": "book",
                "pathPrefix": "/book/",
                "kind": "non_idempotent",
                "maxAttempts": 1,
                "public": False,
                **common,
            },
        ],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "clinic", "apiKeys": [KEY], "priority": 1, "unit": "tokens", "plainTokens": 1, **tenant}],
    }


def http_call(
    method: str, address: str, path: str, body: bytes = b"", timeout_s: float = 1.0, **headers: str
) -> tuple[int, bytes]:
    """Makes one call on a new channel; returns status and body, status 0 without a whole answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, {name.replace("_", "-"): value for name, value in headers.items()})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Site:
    """Three control and some entry processes; all are killed and waited for when the context exits."""

    def __init__(self, record: Record, entries: int = 1, memory_mb: int | None = None):
        self.record = record
        self._folder = Path(tempfile.mkdtemp(prefix="case-"))
        self._process_by_ip: dict[str, subprocess.Popen] = {}
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self._command_by_role = {name: role["run"].split() for name, role in roles.items()}
        self._template = (ROOT / roles["entry"]["template"]).read_text()
        network = f"127.{random.SystemRandom().randint(1, 250)}.{random.SystemRandom().randint(1, 250)}"
        self.controls = [f"{network}.{number}" for number in (1, 2, 3)]
        self.entries = [f"{network}.{number + 101}" for number in range(entries)]
        self.network = network
        self._memory_mb = memory_mb
        ports: set[int] = set()
        while len(ports) < 5:
            with socket.socket() as probe:
                probe.bind((self.controls[0], 0))
                ports.add(probe.getsockname()[1])
        self._rpc, self._control, self._front, self._ready, self._directory = sorted(ports)

    def __enter__(self) -> Site:
        for ip in [*self.controls, *self.entries]:
            self.start(ip, bootstrap=True)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._process_by_ip.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def _settings(self, ip: str, bootstrap: bool) -> str:
        control = ip in self.controls
        fields = {
            "node": f"vm-{ip}",
            "zone": "hcm-a",
            "ip": ip,
            "listen": {"control": f"{ip}:{self._control}"}
            if control
            else {
                "front": f"{ip}:{self._front}",
                "ready": f"{ip}:{self._ready}",
                "directory": f"{ip}:{self._directory}",
            },
            "internalPorts": [self._rpc, self._rpc + 15],
            "seeds": [f"{seed}:{self._control}" for seed in self.controls],
            "bootstrap": bootstrap,
            "dataDir": str(self.disk(ip)) if control else None,
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "faultTolerance": {"machines": 1},
            "bounds": _BOUNDS,
        }

        def value_of(match: re.Match) -> str:
            value: object = fields
            for name in match.group(1).split("."):
                value = value.get(name) if isinstance(value, dict) else None
            return json.dumps(value)

        return re.sub(r"\{\{([\w.]+)\|json\}\}", value_of, self._template)

    def disk(self, ip: str) -> Path:
        """Returns the disk folder of a control machine."""
        return self._folder / f"disk-{ip}"

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """Starts the process of a machine as the platform does."""
        role = "control" if ip in self.controls else "entry"
        if role == "control":
            self.disk(ip).mkdir(exist_ok=True)
        path = self._folder / f"settings-{ip}"
        path.write_text(self._settings(ip, bootstrap))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self._folder / f"log-{ip}").open("ab") as log:
            self._process_by_ip[ip] = subprocess.Popen(
                self._command_by_role[role],
                cwd=ROOT,
                env={**environment, "ARBUTUSRILL_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )
        self.record.write(f"started {role} {ip}, bootstrap {bootstrap}")

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine; waits for the end of a killed one."""
        self._process_by_ip[ip].send_signal(number)
        self.record.write(f"{number.name} to {ip}")
        if number == signal.SIGKILL:
            self._process_by_ip[ip].wait()

    def resident_mb(self, ip: str) -> float:
        """Returns the resident memory of the process of a machine, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self._process_by_ip[ip].pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(match.group(1)) / 1024 if match else 0.0

    def front(self, ip: str) -> str:
        """Returns the address for clients of an entry machine."""
        return f"{ip}:{self._front}"

    def control(self, ip: str) -> str:
        """Returns the address for runners and the operator of a control machine."""
        return f"{ip}:{self._control}"

    def operator_call(self, method: str, body: bytes, limit_s: float, timeout_s: float = 3.0) -> tuple[int, bytes]:
        """Makes a call of the operator, at one node after the other, until it ends it or for `limit_s` seconds."""
        deadline = time.monotonic() + limit_s
        pause_s = 0.1
        while True:
            for ip in random.sample(self.controls, len(self.controls)):
                status, answer = http_call(method, self.control(ip), "/config", body, timeout_s)
                if status in (200, 400, 409, 412, 413, 422):
                    return status, answer
                if time.monotonic() >= deadline:
                    return status, answer
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)

    def put(self, value: dict, limit_s: float = 10.0) -> int:
        """Sends a desired state until it is acknowledged; returns the last status."""
        status, _ = self.operator_call("PUT", json.dumps(value).encode(), limit_s)
        self.record.write(f"operator: PUT /config version {value['version']}: status {status}")
        return status

    def read_version(self, limit_s: float) -> int | None:
        """Reads the desired state for up to `limit_s` seconds; returns its version, None without an answer."""
        status, body = self.operator_call("GET", b"", limit_s)
        version = json.loads(body)["version"] if status == 200 else None
        self.record.write(f"operator: GET /config: status {status}, version {version}")
        return version

    def wait_until(
        self, condition: Callable[[], bool], what: str, limit_s: float = 20.0, interval_s: float = 0.05
    ) -> None:
        """Waits for a condition of the set-up."""
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() >= deadline:
                raise CannotRunError(what)
            time.sleep(interval_s)

    def set_up(self, value: dict) -> None:
        """Sends the first desired state and waits until all entry machines are ready."""
        if self.put(value, 20.0) != 200:
            raise CannotRunError("the first desired state is not acknowledged")
        for ip in self.entries:
            self.wait_until(
                lambda ip=ip: http_call("GET", f"{ip}:{self._ready}", "/readyz")[0] == 200, f"{ip} is not ready"
            )


class Runner:
    """A sound runner of a plain service: it runs each request once and records its line, headers and body."""

    def __init__(self, site: Site, name: str, work_s: float = 0.02, slots: int = 64):
        self._site = site
        self.name = name
        self._work_s = work_s
        self._slots = slots
        self._stopping = threading.Event()
        self.ran: dict[str, tuple[str, str, int]] = {}  # id: method, target and length of the body
        self._listener = socket.create_server((f"{site.network}.200", 0), backlog=256)
        self._born_ms = int(time.time() * 1000)

    def __enter__(self) -> Runner:
        for target in (self._accept, self._beat):
            threading.Thread(target=target, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._listener.close()

    def _beat(self) -> None:
        address = "{}:{}".format(*self._listener.getsockname()[:2])
        sequence = 0
        while not self._stopping.is_set():
            sequence += 1
            body = {
                "service": "desk",
                "addr": address,
                "zone": "hcm-a",
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": sequence,
                "born": self._born_ms,
            }
            for ip in random.sample(self._site.controls, len(self._site.controls)):
                path = f"/instances/{self.name}"
                if http_call("PUT", self._site.control(ip), path, json.dumps(body).encode())[0] == 200:
                    break
            self._stopping.wait(HEARTBEAT_S)

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), connection, connection.makefile("rb") as reader:
            connection.settimeout(10.0)
            method, target, _ = reader.readline().decode("latin-1").split(" ", 2)
            fields = {}
            while (line := reader.readline().decode("latin-1").strip()) != "":
                name, _, value = line.partition(":")
                fields[name.lower()] = value.strip()
            body = reader.read(int(fields.get("content-length", 0)))
            if fields.get("expect-instance") not in (None, self.name):
                connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                return
            request_id = fields["request-id"]
            self.ran[request_id] = (method, target, len(body))
            self._site.record.write(f"runner {self.name} runs {request_id}: {method} {target}, {len(body)} B")
            time.sleep(self._work_s)
            answer = f"done by {self.name}".encode()
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: stamp-{self.name}\r\n"
                f"Content-Type: text/plain\r\nContent-Length: {len(answer)}\r\n\r\n"
            )
            connection.sendall(head.encode() + answer)


def main(folder: Path, play: Callable[[Record, bool], bool]) -> None:
    """Runs a case: exits with 1 if `play` returns that the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"disruption: {'on' if trouble else 'off'}")
    try:
        broken = play(record, trouble)
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    verdict = "the rule was broken" if broken else "the rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
