"""Signals of a process, which are handled even if its main thread never runs."""

from __future__ import annotations

import contextlib
import os
import select
import signal
import sys
import threading
from collections.abc import Callable

from ._clock import BootClock
from ._events import EventLog
from ._pauses import PauseDetector

__all__ = ["EXIT_STOPPED_LATE", "ProcessSignals"]

EXIT_STOPPED_LATE = 4
_POLL_INTERVAL_S = 0.25
_MAX_READ_BYTES = 256
_EXIT_RESERVE_S, _EXIT_RESERVE_FRACTION = 0.3, 0.04  # at most, and of the time until the process is killed
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_events = EventLog("process")


class ProcessSignals:
    """Handles SIGTERM, SIGINT and SIGHUP in a thread of its own while its context is entered, in the main thread.

    Python runs a handler only when the main thread executes bytecode. A signal that another thread takes, as happens
    when the process was suspended or the main thread has another signal pending, does not wake the main thread from a
    lock, so that its handler may never run. The number of the signal is written to a pipe at once in any thread; a
    thread reads the pipe.

    The first stop signal sets `stop_requested`, a further one `stop_forced`; SIGHUP calls `on_reload`. A process that
    has not ended `stop_limit_s` seconds after the first stop signal, or `forced_stop_limit_s` after the second, exits
    with `late_exit_code`. A signal that is noticed after the process was suspended counts from the start of that time,
    since those who sent it count from then. After the context has ended, these signals are ignored.

    >>> with ProcessSignals() as signals:
    ...     os.kill(os.getpid(), signal.SIGTERM)
    ...     signals.stop_requested.wait(5)
    True
    """

    __slots__ = (
        "_clock",
        "_forced_stop_limit_s",
        "_on_reload",
        "_pauses",
        "_read_end",
        "_requested_at",
        "_stop_at",
        "_stop_limit_s",
        "_thread",
        "_write_end",
        "late_exit_code",
        "stop_forced",
        "stop_requested",
    )

    def __init__(
        self,
        on_reload: Callable[[], None] = lambda: None,
        stop_limit_s: float | None = None,
        forced_stop_limit_s: float | None = None,
    ):
        self._on_reload = on_reload
        self._stop_limit_s = stop_limit_s
        self._forced_stop_limit_s = forced_stop_limit_s
        self._clock = BootClock()
        self._pauses = PauseDetector(_POLL_INTERVAL_S, self._clock.monotonic())
        self._requested_at: float | None = None
        self._stop_at: float | None = None
        self._thread = threading.Thread(target=self._run, name="signals", daemon=True)
        self.stop_requested = threading.Event()
        self.stop_forced = threading.Event()
        self.late_exit_code = EXIT_STOPPED_LATE

    @classmethod
    def within(cls, grace_s: float, on_reload: Callable[[], None]) -> ProcessSignals:
        """Returns the signals of a process that is killed `grace_s` seconds after a stop signal, and ends before."""
        return cls(on_reload, grace_s - min(_EXIT_RESERVE_S, _EXIT_RESERVE_FRACTION * grace_s))

    def __enter__(self) -> ProcessSignals:
        self._read_end, self._write_end = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self._write_end, warn_on_full_buffer=False)
        for number in (*_STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        for number in (*_STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)  # the thread still reads the pipe and ends with the process

    def seconds_left(self, limit_s: float) -> float:
        """Returns what is left of `limit_s` seconds after the first stop signal; all of them without a signal."""
        if self._requested_at is None:
            return limit_s
        return self._requested_at + limit_s - self._clock.monotonic()

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self._read_end, select.POLLIN)
        while True:
            is_readable = poll.poll(self._poll_timeout_s() * 1000)
            now = self._clock.monotonic()
            earliest = self._pauses.earliest(now)
            for number in os.read(self._read_end, _MAX_READ_BYTES) if is_readable else b"":
                self._handle(number, earliest, now)
            self._exit_if_late(now)

    def _poll_timeout_s(self) -> float:
        if self._stop_at is None:
            return _POLL_INTERVAL_S
        return min(_POLL_INTERVAL_S, max(0.0, self._stop_at - self._clock.monotonic()))

    def _handle(self, number: int, received_at: float, now: float) -> None:
        outcome = "ignored"
        if number == signal.SIGHUP:
            outcome = "reload"
            self._on_reload()
        elif number in _STOP_SIGNALS and self._requested_at is None:
            outcome = "stop"
            self._requested_at = received_at
            self._limit(received_at, self._stop_limit_s)
            self.stop_requested.set()
        elif number in _STOP_SIGNALS:
            outcome = "forced"
            self._limit(received_at, self._forced_stop_limit_s)
            self.stop_forced.set()
        _events.emit("signal", number=number, age_s=round(now - received_at, 3), outcome=outcome)

    def _limit(self, received_at: float, limit_s: float | None) -> None:
        if limit_s is not None:
            stop_at = received_at + limit_s
            self._stop_at = stop_at if self._stop_at is None else min(self._stop_at, stop_at)

    def _exit_if_late(self, now: float) -> None:
        if self._stop_at is None or now < self._stop_at:
            return
        if self.late_exit_code:
            with contextlib.suppress(OSError, ValueError):
                print("arbutusrill: the process did not stop in time and ends now", file=sys.stderr, flush=True)
        os._exit(self.late_exit_code)
