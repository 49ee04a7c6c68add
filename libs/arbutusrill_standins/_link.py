"""A link of limited rate whose transfers share it evenly."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["LinkTransfer", "SharedLink"]

_CHECK_S = 0.02


@dataclass(slots=True, eq=False)
class LinkTransfer:
    """One transfer: it progresses from when it was begun, whether or not anyone waits for it."""

    remaining_bytes: float


class SharedLink:
    """Divides `bytes_per_s` evenly between the transfers under way (processor sharing)."""

    def __init__(self, bytes_per_s: float):
        self._rate = bytes_per_s
        self._lock = threading.Lock()
        self._active: list[LinkTransfer] = []
        self._updated = time.monotonic()

    def begin(self, size_bytes: float) -> LinkTransfer:
        """Starts a transfer of `size_bytes`."""
        transfer = LinkTransfer(size_bytes)
        with self._lock:
            self._advance()
            self._active.append(transfer)
        return transfer

    def wait(self, transfer: LinkTransfer, stopped: Callable[[], bool]) -> bool:
        """Waits for the end of a transfer; returns False when `stopped()` became true first."""
        while True:
            with self._lock:
                self._advance()
                if transfer.remaining_bytes <= 0:
                    return True
                pause = transfer.remaining_bytes * len(self._active) / self._rate
            if stopped():
                self.end(transfer)
                return False
            time.sleep(min(pause, _CHECK_S))

    def end(self, transfer: LinkTransfer) -> None:
        """Gives up a transfer, so that it no longer takes a share."""
        with self._lock:
            self._advance()
            if transfer in self._active:
                self._active.remove(transfer)

    def _advance(self) -> None:
        """Spreads the time since the last call over the transfers, in the order in which they end."""
        now = time.monotonic()
        budget = (now - self._updated) * self._rate
        self._updated = now
        while self._active and budget > 0:
            least = min(transfer.remaining_bytes for transfer in self._active)
            step = min(least, budget / len(self._active))
            budget -= step * len(self._active)
            for transfer in self._active:
                transfer.remaining_bytes -= step
            if step < least:
                return
            self._active = [transfer for transfer in self._active if transfer.remaining_bytes > 1e-6]
