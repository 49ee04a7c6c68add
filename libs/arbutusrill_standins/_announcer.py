"""Repeats the announcement of a stand-in to the entry VMs."""

from __future__ import annotations

import json
import random
import threading
from collections.abc import Callable
from typing import Any

from arbutusrill_http import Transfer, fetch

__all__ = ["Announcer"]

PERIOD_S = 0.5


class Announcer:
    """Announces a backend server to one of `entries` every half second until the context ends.

    `describe` returns the announcement as a JSON object each time.
    """

    def __init__(self, entries: list[str], token: str, describe: Callable[[], dict[str, Any]]):
        self._entries = list(entries)
        self._token = token
        self._describe = describe
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="announcer", daemon=True)

    def __enter__(self) -> Announcer:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join(3)

    def _run(self) -> None:
        random.shuffle(self._entries)
        while not self._stopping.is_set():
            if not self._announce(self._entries[0]):
                self._entries.append(self._entries.pop(0))
                self._stopping.wait(0.1)
                continue
            self._stopping.wait(PERIOD_S)

    def _announce(self, address: str) -> bool:
        headers = ["Content-Type: application/json", f"Authorization: Bearer {self._token}"]
        body = json.dumps(self._describe()).encode()
        result = fetch(Transfer("POST", f"http://{address}/backends/announce", headers, body, timeout_s=1.0))
        return result.whole and result.status == 200
