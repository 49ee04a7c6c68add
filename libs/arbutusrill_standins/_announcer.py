"""Periodic announcements and cache events from a stand-in to the entry VMs."""

from __future__ import annotations

import json
import random
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from arbutusrill_http import Transfer, fetch

from ._prefix_cache import CacheChanges

__all__ = ["STOP_LIMIT_S", "Announcer", "CacheEventSender", "DelayedLoadReport"]

STOP_LIMIT_S = 5.0  # for the process of a stand-in
ANNOUNCE_INTERVAL_S = 0.5
_RETRY_INTERVAL_S = 0.1


class _EntryClient:
    """HTTP client of the entry VMs; fails over to the next one after a failed call."""

    def __init__(self, entries: list[str], token: str):
        self._entries = list(entries)
        self._headers = ["Content-Type: application/json", f"Authorization: Bearer {token}"]
        random.shuffle(self._entries)

    def post(self, path: str, value: dict[str, Any]) -> dict[str, Any] | None:
        """Posts `value` as JSON; returns the response object, or None if the call failed.

        A response with status 200 that is not a JSON object counts as empty.
        """
        url = f"http://{self._entries[0]}{path}"
        result = fetch(Transfer("POST", url, self._headers, json.dumps(value).encode(), timeout_s=1.0))
        if not result.is_complete or result.status != 200:
            self._entries.append(self._entries.pop(0))
            return None
        try:
            response = json.loads(result.body or b"{}")
        except ValueError:
            return {}
        return response if isinstance(response, dict) else {}


class _PeriodicThread:
    """Calls `step` in a daemon thread until the context ends; `step` returns the delay to the next call in seconds."""

    def __init__(self, name: str, step: Callable[[], float]):
        self._step = step
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def __enter__(self) -> _PeriodicThread:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join(3)

    def _run(self) -> None:
        while not self._stopping.wait(self._step()):
            pass


class Announcer(_PeriodicThread):
    """Announces a backend server to one of `entries` every half second until the context ends.

    `describe` is called for each announcement and returns it as a JSON object.
    """

    def __init__(self, entries: list[str], token: str, describe: Callable[[], dict[str, Any]]):
        client = _EntryClient(entries, token)

        def announce() -> float:
            response = client.post("/backends/announce", describe())
            return ANNOUNCE_INTERVAL_S if response is not None else _RETRY_INTERVAL_S

        super().__init__("announcer", announce)


class CacheEventSender(_PeriodicThread):
    """Sends the changes of a prefix cache every `lag_s` seconds.

    `take_changes` returns the changes since its last call, `snapshot` the whole content, and `should_drop`
    whether to drop the next message. The whole content is sent after a failed call, and after the response
    ``{"accepted": false}``, by which the receiver requests it.
    """

    def __init__(
        self,
        entries: list[str],
        token: str,
        identity: dict[str, Any],
        lag_s: float,
        take_changes: Callable[[], CacheChanges | None],
        snapshot: Callable[[], CacheChanges],
        should_drop: Callable[[], bool],
    ):
        self._client = _EntryClient(entries, token)
        self._identity = identity
        self._snapshot = snapshot
        self._resync_needed = False

        def send() -> float:
            changes = self._snapshot() if self._resync_needed else take_changes()
            if changes is not None and not should_drop():
                response = self._client.post("/backends/cache-events", cache_events_message(identity, changes))
                self._resync_needed = response is None or response.get("accepted") is False
            return lag_s

        super().__init__("cache-events", send)


def cache_events_message(identity: dict[str, Any], changes: CacheChanges) -> dict[str, Any]:
    """Returns the JSON object that reports cache changes of the engine `identity` to the router."""
    return {
        **identity,
        "first_seq": changes.first_seq,
        "added": changes.added,
        "removed": changes.removed,
        "full": changes.full,
    }


class DelayedLoadReport:
    """Load measurements that are readable only after `lag_s` seconds. Thread-safe."""

    def __init__(self, lag_s: float, measure: Callable[[], tuple[int, int]]):
        self._lag_s = lag_s
        self._measure = measure
        self._lock = threading.Lock()
        self._samples: deque[tuple[float, tuple[int, int]]] = deque()

    def sample(self) -> None:
        """Records a measurement; must be called several times per `lag_s` to keep readings close to that age."""
        with self._lock:
            self._samples.append((time.monotonic(), self._measure()))

    def read(self) -> tuple[int, int]:
        """Returns the newest measurement that is at least `lag_s` old, or zeros if there is none."""
        latest_readable = time.monotonic() - self._lag_s
        with self._lock:
            while len(self._samples) > 1 and self._samples[1][0] <= latest_readable:
                self._samples.popleft()
            if self._samples and self._samples[0][0] <= latest_readable:
                return self._samples[0][1]
            return 0, 0
