"""Simulated network link with processor sharing between its transfers."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["LinkTransfer", "SharedLink"]

_POLL_INTERVAL_S = 0.02


@dataclass(slots=True, eq=False)
class LinkTransfer:
    """One transfer; it progresses from its start, whether or not a thread waits for it."""

    remaining_bytes: float


class SharedLink:
    """Link of `bytes_per_s` whose bandwidth is shared equally by the active transfers. Thread-safe."""

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._lock = threading.Lock()
        self._active: list[LinkTransfer] = []
        self._updated_at = time.monotonic()

    def start(self, size_bytes: float) -> LinkTransfer:
        """Starts a transfer of `size_bytes`."""
        transfer = LinkTransfer(size_bytes)
        with self._lock:
            self._advance()
            self._active.append(transfer)
        return transfer

    def wait(self, transfer: LinkTransfer, should_stop: Callable[[], bool]) -> bool:
        """Waits until a transfer completes; stops it and returns False if `should_stop()` is true before."""
        while True:
            with self._lock:
                self._advance()
                if transfer.remaining_bytes <= 0:
                    return True
                remaining_s = transfer.remaining_bytes * len(self._active) / self._bytes_per_s
            if should_stop():
                self.stop(transfer)
                return False
            time.sleep(min(remaining_s, _POLL_INTERVAL_S))

    def stop(self, transfer: LinkTransfer) -> None:
        """Stops a transfer and frees its share of the link; does nothing if it has completed."""
        with self._lock:
            self._advance()
            if transfer in self._active:
                self._active.remove(transfer)

    def _advance(self) -> None:
        """Distributes the bytes sent since the last call over the active transfers, shortest remaining first."""
        now = time.monotonic()
        budget_bytes = (now - self._updated_at) * self._bytes_per_s
        self._updated_at = now
        while self._active and budget_bytes > 0:
            smallest_bytes = min(transfer.remaining_bytes for transfer in self._active)
            share_bytes = min(smallest_bytes, budget_bytes / len(self._active))
            budget_bytes -= share_bytes * len(self._active)
            for transfer in self._active:
                transfer.remaining_bytes -= share_bytes
            if share_bytes < smallest_bytes:
                return
            # Remainders of at most 1e-6 bytes are rounding errors of completed transfers.
            self._active = [transfer for transfer in self._active if transfer.remaining_bytes > 1e-6]
