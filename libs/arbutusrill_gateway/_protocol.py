"""What the gateway has to know of the protocol that callers and backend servers speak."""

from __future__ import annotations

import abc
import socket
from dataclasses import dataclass, field
from typing import Any

import xxhash

_ESTIMATE_FACTOR = 1.1
_ESTIMATE_TOKENS = 100
LEAST_RETRY_S = 0.05  # shortest time after which a refused caller is asked to come back

__all__ = ["LEAST_RETRY_S", "Answer", "BackendProtocol", "CallerRequest", "Prefilled", "Send"]


@dataclass(slots=True)
class CallerRequest:
    """A caller's request. `headers` holds what is passed on; `target` is path and query as they were sent.

    `deadline_s` is how long the caller waits, None when it did not say. `prompt_tokens` and `output_tokens` are None
    for requests without token counts. `connection` is the caller's socket, watched while the request is under way.
    """

    id: str
    method: str
    host: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str = ""
    deadline_s: float | None = None
    model: str = ""
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    expected_output_tokens: int | None = None
    resume_after: str = ""
    connection: socket.socket | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    def content_hash(self) -> int:
        """Returns a signed 64-bit hash of what stays the same when the caller sends the request again."""
        digest = xxhash.xxh64(f"{self.key} {self.method} {self.host} {self.target}\n".encode("utf-8", "replace"))
        digest.update(self.body)
        return digest.intdigest() - 2**63

    @property
    def memory_tokens(self) -> int:
        """Tokens of engine memory that the request is expected to fill."""
        return (self.prompt_tokens or 0) + self.reserved_output_tokens

    @property
    def reserved_output_tokens(self) -> int:
        """Part of `memory_tokens` that is filled while the stream lasts."""
        output = self.output_tokens or 0
        if self.expected_output_tokens is not None:
            # Estimates are right in the middle; the requests that run are more often those that last longer.
            output = min(output, int(self.expected_output_tokens * _ESTIMATE_FACTOR) + _ESTIMATE_TOKENS)
        return output


@dataclass(slots=True)
class Prefilled:
    """A prompt's KV cache on a prefill engine, and the handle by which it is taken."""

    record: Any
    handle: str
    tokens: int = 0

    @property
    def address(self) -> str:
        """IP:port of the prefill engine."""
        return self.record.address

    @property
    def data_centre(self) -> str:
        """Data centre of the prefill engine."""
        return self.record.data_centre


@dataclass(slots=True)
class Send:
    """One request to a backend server: what the gateway adds to the caller's headers."""

    backend: Any
    remaining_s: float
    workspace: str = ""
    prefill: bool = False
    prefilled: Prefilled | None = None
    resume_after: str = ""


@dataclass(slots=True)
class Answer:
    """Head of a backend server's answer, decoded.

    `not_run` is the server's statement that it has not run the request. `stamped` says that the answer carries
    the server's proof. `headers` are those to pass on to the caller.
    """

    status: int
    request_id: str
    not_run: bool
    stamped: bool
    headers: list[tuple[str, str]] = field(default_factory=list)


class BackendProtocol(abc.ABC):
    """Headers of requests to backend servers, and the meaning of their answers."""

    @abc.abstractmethod
    def headers(self, request: CallerRequest, send: Send) -> list[tuple[str, str]]:
        """Returns the header fields of one request to a backend server."""

    @abc.abstractmethod
    def answer(self, status: int, headers_by_name: dict[str, str]) -> Answer:
        """Decodes the head of an answer."""

    @abc.abstractmethod
    def prefilled(self, record: Any, body: bytes) -> Prefilled | None:
        """Decodes the answer to a prefill; None when it is no such answer."""

    @abc.abstractmethod
    def release_path(self, prefilled: Prefilled) -> str:
        """Returns the path whose DELETE frees a KV cache that nobody will take."""

    @abc.abstractmethod
    def event_id(self, event: bytes) -> int | None:
        """Returns the number of a stream's event, None for one without."""
