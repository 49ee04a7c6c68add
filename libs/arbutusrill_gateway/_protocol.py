"""Types of requests and responses, and the interface through which the gateway encodes and decodes them."""

from __future__ import annotations

import abc
import socket
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import xxhash

_OUTPUT_ESTIMATE_FACTOR = 1.1
_OUTPUT_ESTIMATE_MARGIN_TOKENS = 100
MIN_RETRY_AFTER_S = 0.05

__all__ = [
    "MIN_RETRY_AFTER_S",
    "BackendProtocol",
    "BackendRequest",
    "CallerRequest",
    "KvCacheHandle",
    "PromptParts",
    "ResponseHead",
]


class PromptParts:
    """The IDs of the parts of a prompt, which `decode` reads from a text each time that they are needed.

    A prompt may have thousands of parts: as separate texts, they would take ten times the memory.

    >>> parts = PromptParts("5c1e,91bd", lambda text: text.split(","))
    >>> bool(parts), list(parts)
    (True, ['5c1e', '91bd'])
    """

    __slots__ = ("_decode", "_text")

    def __init__(self, text: str, decode: Callable[[str], list[str]]):
        self._text = text
        self._decode = decode

    def __bool__(self) -> bool:
        return bool(self._text)

    def __iter__(self) -> Iterator[str]:
        return iter(self._decode(self._text))


@dataclass(slots=True)
class CallerRequest:
    """A caller's request.

    `headers` are the fields to forward to the backend server, `target` is the unmodified path and query, and `key` is
    the API key. `deadline_s` is the time for which the caller waits, or None if it sent no deadline. `prompt_tokens`
    and `output_tokens` (the maximum) are None for requests without token counts. `resume_after` is the id of the last
    event that the caller received. `connection` is the caller's socket, which is monitored for a disconnect.
    `prompt_parts` are the IDs of the parts of the prompt in order, which other requests may share. They can be read
    several times, and are true if there may be any.
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
    prompt_parts: Iterable[str] = ()

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition("?")[0]

    def content_hash(self) -> int:
        """Returns a signed 64-bit hash of the parts that are the same when the caller retries the request."""
        digest = xxhash.xxh64(f"{self.key} {self.method} {self.host} {self.target}\n".encode("utf-8", "replace"))
        digest.update(self.body)
        return digest.intdigest() - 2**63

    @property
    def memory_tokens(self) -> int:
        """Expected KV cache memory of the request on an engine, in tokens."""
        return (self.prompt_tokens or 0) + self.reserved_output_tokens

    @property
    def reserved_output_tokens(self) -> int:
        """Part of `memory_tokens` that is allocated during decoding."""
        output = self.output_tokens or 0
        if self.expected_output_tokens is not None:
            # The estimate is accurate in the median, but long requests are over-represented among those running.
            output = min(
                output, int(self.expected_output_tokens * _OUTPUT_ESTIMATE_FACTOR) + _OUTPUT_ESTIMATE_MARGIN_TOKENS
            )
        return output


@dataclass(slots=True)
class KvCacheHandle:
    """Reference to a prompt's KV cache on a prefill engine, from which a decode engine fetches it.

    `record` is the backend record of the prefill engine, `tokens` the length of the prompt.
    """

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
class BackendRequest:
    """Values that the gateway adds to a caller's request when it forwards it to a backend server.

    `backend` is the backend record of the receiver, `remaining_s` the time until the deadline. `prefill` asks for a
    prefill only; `kv_cache` is the result of an earlier prefill. A stream resumes after the event `resume_after`.
    `urgency` is negative for a request more urgent than the middle rank of its service, positive for a less urgent one,
    and None where all requests of the service have the same rank.
    """

    backend: Any
    remaining_s: float
    workspace: str = ""
    prefill: bool = False
    kv_cache: KvCacheHandle | None = None
    resume_after: str = ""
    urgency: int | None = None


@dataclass(slots=True)
class ResponseHead:
    """Decoded status and headers of a backend server's response.

    `not_run` is true if the backend server states that it has not run the request, `stamped` if the response carries
    the stamp by which the backend server proves that it served the request. `headers` are the fields to forward to the
    caller. `draining` is true if the backend server states that it shuts down, and `quiet_s` is the time in seconds for
    which it asks this VM to send nothing, None if it does not ask.
    """

    status: int
    request_id: str
    not_run: bool
    stamped: bool
    headers: list[tuple[str, str]] = field(default_factory=list)
    draining: bool = False
    quiet_s: float | None = None


class BackendProtocol(abc.ABC):
    """Encodes requests to backend servers and decodes their responses."""

    @abc.abstractmethod
    def request_headers(self, request: CallerRequest, backend_request: BackendRequest) -> list[tuple[str, str]]:
        """Returns the header fields of a request to a backend server."""

    @abc.abstractmethod
    def decode_response(self, status: int, headers_by_name: dict[str, str]) -> ResponseHead:
        """Decodes the status and headers of a response."""

    @abc.abstractmethod
    def decode_prefill(self, record: Any, body: bytes) -> KvCacheHandle | None:
        """Decodes the response of a prefill engine; returns None if `body` is not a valid prefill response."""

    @abc.abstractmethod
    def release_path(self, kv_cache: KvCacheHandle) -> str:
        """Returns the path to which a DELETE request frees a KV cache that will not be fetched."""

    @abc.abstractmethod
    def event_id(self, event: bytes) -> int | None:
        """Returns the numeric id of a server-sent event, or None if it has none."""
