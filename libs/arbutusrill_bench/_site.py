"""Runs a small site on loopback addresses, with each component in a separate process."""

from __future__ import annotations

import hashlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from arbutusrill_cli import OperatorClient, OperatorError
from arbutusrill_http import Transfer, fetch

__all__ = ["LocalSite", "Member", "SiteError", "free_address", "interrupt_on_stop_signals"]

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0
_SECOND_SIGTERM_AFTER_S = 0.3  # the second SIGTERM makes entry VMs stop draining


def interrupt_on_stop_signals() -> None:
    """Makes SIGTERM and SIGHUP raise `KeyboardInterrupt` like SIGINT, so that sites end their processes.

    Further signals are ignored: they must not interrupt that.
    """
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def interrupt(*_: object) -> None:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)
        raise KeyboardInterrupt

    for number in numbers:
        signal.signal(number, interrupt)


class SiteError(Exception):
    """The site did not reach an expected state in time, or an operation on it failed."""


def free_address(host: str) -> str:
    """Returns ``host:port`` with a currently unused port; another process may bind the port before the caller."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return "{}:{}".format(*probe.getsockname())


@dataclass(slots=True)
class Member:
    """One process of the site: its command line, addresses and, for a daemon, the contents of its settings file."""

    name: str
    command: list[str]
    address: str
    rpc: str = ""
    process: subprocess.Popen | None = None
    settings: dict[str, Any] = field(default_factory=dict)


class LocalSite:
    """Context manager that starts control VMs, entry VMs and stand-ins, and stops all of them on exit.

    `entry_options` are merged into the ``entry`` section of each entry VM's settings. Entry VM number i listens on
    127.0.<net>.<i + 20>, control VM number i on 127.0.<net>.<i + 10>, both counted from 0.
    """

    def __init__(
        self, controls: int = 3, entries: int = 3, folder: Path | None = None, entry_options: dict | None = None
    ):
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="arbutusrill-") if folder is None else None
        self.folder = folder or Path(self._temporary_folder.name)
        self.operator_token = secrets.token_urlsafe(16)
        self.announce_token = secrets.token_urlsafe(16)
        net = secrets.randbelow(200) + 20
        self.members_by_name: dict[str, Member] = {}
        control = [(f"127.0.{net}.{i + 10}", f"control{i + 1}") for i in range(controls)]
        rpc = [free_address(host) for host, _ in control]
        for number, (host, name) in enumerate(control):
            role = {
                "rpc": rpc[number],
                "http": free_address(host),
                "data_folder": str(self.folder / name),
                "operator_token_sha256_by_name": {"ops": _sha256(self.operator_token)},
            }
            self._add_daemon(name, number, rpc, {"control": role}, role["http"], role["rpc"])
        for number in range(entries):
            host = f"127.0.{net}.{number + 20}"
            role = {
                "http": free_address(host),
                "rpc": free_address(host),
                "announce_token_sha256": _sha256(self.announce_token),
                **(entry_options or {}),
            }
            self._add_daemon(f"entry{number + 1}", number, rpc, {"entry": role}, role["http"], role["rpc"])
        self.operators = OperatorClient([member.address for member in self.of_kind("control")], self.operator_token)
        self._stand_in_host = f"127.0.{net}.100"

    def __enter__(self) -> LocalSite:
        try:
            for member in self.members_by_name.values():
                self.start(member.name)
            self._wait_until_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for name in reversed(list(self.members_by_name)):
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        time.sleep(_SECOND_SIGTERM_AFTER_S)
        for name in self.members_by_name:
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + _STOP_TIMEOUT_S
        for member in self.members_by_name.values():
            if member.process is not None:
                try:
                    member.process.wait(max(0.1, deadline - time.monotonic()))
                except subprocess.TimeoutExpired:
                    member.process.kill()
                    member.process.wait()
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    def _add_daemon(
        self, name: str, number: int, control: list[str], roles: dict[str, Any], address: str, rpc: str
    ) -> None:
        path = self.folder / f"{name}.json"
        settings = {"vm": name, "data_centre": f"dc{number % 3 + 1}", "control_addresses": control, **roles}
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(settings, indent=2))
        command = [sys.executable, "-m", "arbutusrill_daemon", "--settings", str(path)]
        self.members_by_name[name] = Member(name, command, address, rpc, settings=settings)

    def add_engine(self, name: str, *options: str) -> Member:
        """Adds and starts an engine stand-in; `options` are command-line arguments."""
        return self._add_standin("engine", name, options)

    def add_service(self, name: str, *options: str) -> Member:
        """Adds and starts a plain service stand-in; `options` are command-line arguments."""
        return self._add_standin("service", name, options)

    def _add_standin(self, kind: str, name: str, options: tuple[str, ...]) -> Member:
        address = free_address(self._stand_in_host)
        entries = ",".join(member.address for member in self.of_kind("entry"))
        command = [sys.executable, "-m", f"arbutusrill_standins.{kind}", "--listen", address, "--entries", entries]
        command += ["--announce-token", self.announce_token, "--id", name, *options]
        self.members_by_name[name] = Member(name, command, address)
        self.start(name)
        return self.members_by_name[name]

    def of_kind(self, prefix: str) -> list[Member]:
        """Returns the members whose names start with `prefix`."""
        return [member for name, member in self.members_by_name.items() if name.startswith(prefix)]

    def start(self, name: str) -> None:
        """Starts a member that is not running; its output is appended to ``<name>.log``."""
        member = self.members_by_name[name]
        with (self.folder / f"{name}.log").open("ab") as log:
            member.process = subprocess.Popen(
                member.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=os.environ
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a member; does nothing if the member is not running."""
        process = self.members_by_name[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a member with SIGKILL and waits for its exit."""
        self.signal(name, signal.SIGKILL)
        self.members_by_name[name].process.wait()

    def kill_all(self) -> None:
        """Kills all members with SIGKILL, for callers that do not need the graceful shutdown, which takes seconds."""
        for name in self.members_by_name:
            self.kill(name)

    def suspend(self, name: str) -> None:
        """Suspends a member with SIGSTOP: it stops responding while its connections stay open.

        Returns once it has stopped, since on a busy machine its other threads run on for a moment after the signal.
        """
        self.signal(name, signal.SIGSTOP)
        os.waitid(os.P_PID, self.members_by_name[name].process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self, name: str) -> None:
        """Resumes a suspended member with SIGCONT."""
        self.signal(name, signal.SIGCONT)

    def restart(self, name: str, empty: bool = False) -> None:
        """Starts a member, killing it first if it is running; `empty` deletes its data folder before the start."""
        member = self.members_by_name[name]
        if member.process is not None and member.process.poll() is None:
            self.kill(name)
        data = member.settings.get("control", {}).get("data_folder")
        if empty and data is not None:
            shutil.rmtree(data, ignore_errors=True)
        self.start(name)

    def log(self, name: str) -> str:
        """Returns the contents of a member's log file."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def wait_until(self, condition: Any, what: str, timeout: float = _START_TIMEOUT_S) -> None:
        """Waits until `condition()` is true; raises `SiteError` with `what` after `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() >= deadline:
                raise SiteError(f"timed out after {timeout:g} s waiting for: {what}")
            time.sleep(0.05)

    def wait_entries_ready(self) -> None:
        """Waits until ``/readyz`` of every entry VM returns 200."""
        for member in self.of_kind("entry"):
            self.wait_until(lambda url=f"http://{member.address}/readyz": _returns_200(url), f"{member.name} is ready")

    def _wait_until_ready(self) -> None:
        self.wait_entries_ready()
        self.wait_until(self._control_is_ready, "a control VM answers operators")

    def _control_is_ready(self) -> bool:
        try:
            self.operators.call("GET", "/status")
        except OperatorError:
            return False
        return True

    def wait_for_pool(self, name: str) -> None:
        """Waits until a pool has an owner and every entry VM has applied the revision at which this was observed."""

        def owner_is_known() -> bool:
            status = self.operators.call("GET", "/status")
            owned = any(pool["name"] == name and pool["owner"] for pool in status["pools"])
            return owned and self.operators.call("GET", f"/in-force/{status['revision']}")["in_force"]

        self.wait_until(owner_is_known, f"every entry VM knows the owner of pool {name}")


def _returns_200(url: str) -> bool:
    result = fetch(Transfer("GET", url, timeout_s=1.0))
    return result.is_complete and result.status == 200


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
