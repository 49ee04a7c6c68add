"""State of a transfer that does not depend on how its bytes are read: the response so far, its limits and callbacks."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ._transfer import Transfer, TransferResult

__all__ = ["MAX_HEAD_BYTES", "TransferState"]

MAX_HEAD_BYTES = 32 * 1024  # of all heads and trailers of a response, interim responses included
_MAX_INTERIM_HEADS = 32
_STALL_RECHECK_S = 0.25


class TransferState:
    """Response of one transfer while it arrives, with the limits on it.

    The methods that take a part of the response return None, or -1 if it is not to be read any further: then
    `refusal` holds the error and its detail, or `callback_error` the exception of a callback.
    """

    def __init__(self, transfer: Transfer, result: TransferResult):
        self.transfer = transfer
        self.result = result
        self.headers_done = False
        self.received_bytes = 0
        self.head_bytes = 0
        self.refusal: tuple[str, str] | None = None
        self.callback_error: BaseException | None = None
        self.body_parts: list[bytes] = []
        self._body_bytes = 0
        self._interim_count = 0
        self._last_byte_at = time.monotonic()
        self._next_stall_check = float("-inf")

    def count_head_bytes(self, count: int) -> int | None:
        """Counts bytes of a head or a trailer."""
        self.head_bytes += count
        if self.head_bytes > MAX_HEAD_BYTES:
            return self.refuse("too_large", f"the heads exceed {MAX_HEAD_BYTES} bytes")
        return None

    def begin_head(self, status: int) -> None:
        """Begins a head with its status."""
        self.result.status = status
        self.result.headers_by_name.clear()

    def add_header(self, name: str, value: str) -> None:
        """Adds a header field; the values of a repeated field are combined (RFC 9110, 5.3), except for cookies."""
        name, value = name.lower(), value.strip(" \t")
        earlier = self.result.headers_by_name.get(name)
        if earlier is not None and name != "set-cookie":
            value = f"{earlier}, {value}"
        self.result.headers_by_name[name] = value

    def end_head(self) -> int | None:
        """Ends a head and passes it on; `headers_done` is set by that of the final response."""
        status, headers_by_name = self.result.status, self.result.headers_by_name
        outcome = None
        self._interim_count += status < 200
        if self._interim_count > _MAX_INTERIM_HEADS:
            return self.refuse("too_large", f"more than {_MAX_INTERIM_HEADS} interim heads")
        if self.transfer.on_any_head is not None:
            outcome = self._run_callback(self.transfer.on_any_head, status, headers_by_name)
        if status >= 200:
            self.headers_done = True
            self._last_byte_at = time.monotonic()
            if outcome is None and self.transfer.on_head is not None:
                outcome = self._run_callback(self.transfer.on_head, status, headers_by_name)
        return outcome

    def add_data(self, data: bytes) -> int | None:
        """Passes a part of the body on, or collects it."""
        self._last_byte_at = time.monotonic()
        self.received_bytes += len(data)
        if self.transfer.on_data is not None:
            return self._run_callback(self.transfer.on_data, data)
        self._body_bytes += len(data)
        if self._body_bytes > self.transfer.max_body_bytes:
            return self.refuse("too_large", f"the body exceeds {self.transfer.max_body_bytes} bytes")
        if self.transfer.memory is not None and not self.transfer.memory.grow(self._body_bytes, 0.0):
            return self.refuse("no_memory", f"no memory for a body of {self._body_bytes} bytes")
        self.body_parts.append(data)
        return None

    def refuse(self, error: str, detail: str) -> int:
        """Ends the transfer within a method that takes a part of the response."""
        self.refusal = error, detail
        return -1

    def finish(self) -> TransferResult:
        """Returns the result with the collected body; raises the exception of a callback."""
        if self.callback_error is not None:
            raise self.callback_error
        self.result.body = b"".join(self.body_parts)
        return self.result

    def exceeded_limit(self, deadline: float) -> tuple[str, str] | None:
        """Returns error and detail if the transfer has to end before its response is complete."""
        now = time.monotonic()
        if now >= deadline:
            return "timeout", f"no whole answer in {self.transfer.timeout_s:.3g} s"
        if self._has_stalled(now):
            return "stall", f"no progress for {now - self._progress_at():.3g} s"
        if self.transfer.should_stop is not None and self.transfer.should_stop():
            return "stopped", "stopped by this process"
        return None

    def stall_check_in_s(self) -> float:
        """Returns the seconds until the transfer may have stalled, infinite without a limit."""
        if self.transfer.stall_s is None:
            return math.inf
        check_at = max(self._progress_at() + self.transfer.stall_s, self._next_stall_check)
        return max(0.0, check_at - time.monotonic())

    def _has_stalled(self, now: float) -> bool:
        stall_s, on_stall = self.transfer.stall_s, self.transfer.on_stall
        if stall_s is None or now < max(self._progress_at() + stall_s, self._next_stall_check):
            return False
        self._next_stall_check = now + _STALL_RECHECK_S
        return on_stall is None or on_stall()

    def _progress_at(self) -> float:
        progress_at = self.transfer.progress_at
        return self._last_byte_at if progress_at is None else progress_at()

    def _run_callback(self, callback: Callable, *arguments: object) -> int | None:
        try:
            callback(*arguments)
        except BaseException as error:
            self.callback_error = error
            return -1
        return None
