"""Repeats the announcement of a stand-in to the entry VMs, and sends its cache events."""

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

__all__ = ["Announcer", "CacheEventSender", "LaggedReport"]

PERIOD_S = 0.5
_RETRY_S = 0.1


class _EntryCaller:
    """Posts to one entry VM for as long as it answers, else to the next one."""

    def __init__(self, entries: list[str], token: str):
        self._entries = list(entries)
        self._headers = ["Content-Type: application/json", f"Authorization: Bearer {token}"]
        random.shuffle(self._entries)

    def post(self, path: str, value: dict[str, Any]) -> dict[str, Any] | None:
        """Returns the answer's JSON object, or None when there was none."""
        url = f"http://{self._entries[0]}{path}"
        result = fetch(Transfer("POST", url, self._headers, json.dumps(value).encode(), timeout_s=1.0))
        if not result.whole or result.status != 200:
            self._entries.append(self._entries.pop(0))
            return None
        try:
            answer = json.loads(result.body or b"{}")
        except ValueError:
            return {}
        return answer if isinstance(answer, dict) else {}


class _Repeater:
    """Runs `step` in a thread until the context ends; `step` returns how long to wait, in seconds."""

    def __init__(self, name: str, step: Callable[[], float]):
        self._step = step
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def __enter__(self) -> _Repeater:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join(3)

    def _run(self) -> None:
        while not self._stopping.wait(self._step()):
            pass


class Announcer(_Repeater):
    """Announces a backend server to one of `entries` every half second until the context ends.

    `describe` returns the announcement as a JSON object each time.
    """

    def __init__(self, entries: list[str], token: str, describe: Callable[[], dict[str, Any]]):
        caller = _EntryCaller(entries, token)

        def announce() -> float:
            answer = caller.post("/backends/announce", describe())
            return PERIOD_S if answer is not None else _RETRY_S

        super().__init__("announcer", announce)


class CacheEventSender(_Repeater):
    """Sends the changes of a prefix cache every `lag_s`, and its whole content when the receiver asks for it.

    `take` returns the changes since the last call, `full` the whole content, `lost` whether a message is
    to be lost on its way. The receiver asks for the content by answering ``{"accepted": false}``.
    """

    def __init__(
        self,
        entries: list[str],
        token: str,
        identity: dict[str, Any],
        lag_s: float,
        take: Callable[[], CacheChanges | None],
        full: Callable[[], CacheChanges],
        lost: Callable[[], bool],
    ):
        self._caller = _EntryCaller(entries, token)
        self._identity = identity
        self._full = full
        self._again = False

        def send() -> float:
            changes = self._full() if self._again else take()
            if changes is not None and not lost():
                answer = self._caller.post("/backends/cache-events", cache_message(identity, changes))
                self._again = answer is None or answer.get("accepted") is False
            return lag_s

        super().__init__("cache-events", send)


def cache_message(identity: dict[str, Any], changes: CacheChanges) -> dict[str, Any]:
    """Returns cache changes as the JSON object that is sent to the router."""
    return {
        **identity,
        "first_seq": changes.first_seq,
        "added": changes.added,
        "removed": changes.removed,
        "full": changes.full,
    }


class LaggedReport:
    """Load reports that are `lag_s` old when they are read. Safe to use from many threads."""

    def __init__(self, lag_s: float, measure: Callable[[], tuple[int, int]]):
        self._lag_s = lag_s
        self._measure = measure
        self._lock = threading.Lock()
        self._samples: deque[tuple[float, tuple[int, int]]] = deque()

    def sample(self) -> None:
        """Takes a measurement; to be called several times within the lag."""
        with self._lock:
            self._samples.append((time.monotonic(), self._measure()))

    def read(self) -> tuple[int, int]:
        """Returns the newest measurement that is at least `lag_s` old, else zeros."""
        limit = time.monotonic() - self._lag_s
        with self._lock:
            while len(self._samples) > 1 and self._samples[1][0] <= limit:
                self._samples.popleft()
            if self._samples and self._samples[0][0] <= limit:
                return self._samples[0][1]
            return 0, 0
