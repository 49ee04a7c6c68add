"""A load process: sends its part of a plan at the planned times and writes down what came back.

Run as ``python -m arbutusrill_bench._load FILE`` by the bench; FILE holds a `LoadJob`.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

from arbutusrill_http import Transfer, TransferResult, fetch

from ._workload import Planned, prompt_text

__all__ = ["LoadJob", "Outcome"]

_THREADS = 400
_STREAM_S = 180.0
_PLAIN_S = 10.0
_REFRESH_S = 5.0
_CONNECT_TRIES = 3


@dataclass(slots=True)
class LoadJob:
    """What one load process has to do. `start_at` is on the machine's monotonic clock, in seconds.

    The outcomes are written when all requests planned before `measured_until` have ended; the load goes on.
    """

    seed: int
    start_at: float
    measured_until: float
    model: str
    service: str
    entries: list[str]
    key_by_workspace: dict[str, str]
    requests: list[Planned]
    answer_path: str

    @staticmethod
    def read(path: Path) -> LoadJob:
        """Reads a job written with `write`."""
        values = json.loads(path.read_text())
        values["requests"] = [Planned(**row) for row in values["requests"]]
        return LoadJob(**values)

    def write(self, path: Path) -> None:
        """Writes the job as JSON."""
        path.write_text(json.dumps(asdict(self)))


@dataclass(slots=True)
class Outcome:
    """What became of one request; times in seconds from when it was planned to be sent."""

    number: int
    late_s: float = 0.0
    status: int = 0
    code: str = ""  # fixed word of the error object
    error: str = ""  # how the transfer failed
    first_s: float = -1.0
    end_s: float = -1.0
    gaps_ms: list[float] = field(default_factory=list)
    tokens: int = 0
    whole: bool = False  # all tokens, in order, and the end mark
    wrong: bool = False  # text of another answer, repeated or missing tokens
    left: bool = False
    retry_after_s: float = -1.0


class _Stream:
    """Reads a streamed completion and checks each token against the mark of its request."""

    def __init__(self, request: Planned, outcome: Outcome, sent_at: float):
        self._request = request
        self._outcome = outcome
        self._sent_at = sent_at
        self._last = 0.0
        self._buffer = b""
        self._text = ""
        self.ended = False

    def feed(self, data: bytes) -> None:
        now = time.monotonic()
        self._buffer += data
        while b"\n\n" in self._buffer:
            event, _, self._buffer = self._buffer.partition(b"\n\n")
            if event == b"data: [DONE]":
                self.ended = True
            elif event.startswith(b"data: "):
                self._event(json.loads(event[6:]), now)

    def _event(self, event: dict, now: float) -> None:
        outcome = self._outcome
        if "error" in event:
            outcome.code = event["error"].get("code", "")
            return
        choices = event.get("choices") or [{}]
        self._text += choices[0].get("text") or ""
        # A relay may send several tokens at once; each counts with an equal part of the time.
        *words, self._text = self._text.split(" ")
        if not words:
            return
        if outcome.first_s < 0:
            outcome.first_s = now - self._sent_at
        else:
            outcome.gaps_ms += [round((now - self._last) * 1000 / len(words), 1)] * len(words)
        self._last = now
        for word in words:
            outcome.wrong |= word != f"{self._request.mark}.{outcome.tokens}"
            outcome.tokens += 1


class LoadProcess:
    """Sends the requests of a job, each in a thread of its own."""

    def __init__(self, job: LoadJob):
        self._job = job
        self._entries = list(job.entries)
        self._outcomes: list[Outcome] = []
        self._lock = threading.Lock()
        self._open = sum(request.at < job.measured_until for request in job.requests)

    def run(self) -> None:
        """Sends all requests and writes the outcomes when the measured ones have ended."""
        threading.Thread(target=self._refresh, name="entries", daemon=True).start()
        with ThreadPoolExecutor(_THREADS) as executor:
            for request in self._job.requests:
                due = self._job.start_at + request.at
                time.sleep(max(0.0, due - time.monotonic()))
                executor.submit(self._send, request, due)

    def _refresh(self) -> None:
        """Asks for the list of entry VMs from time to time, as callers do."""
        while True:
            for entry in list(self._entries):
                result = fetch(Transfer("GET", f"http://{entry}/v1/entries", timeout_s=1.0, fresh=True))
                if result.whole and result.status == 200:
                    rows = json.loads(result.body)["entries"]
                    self._entries = [row["address"] for row in rows] or self._entries
                    break
            time.sleep(_REFRESH_S)

    def _send(self, request: Planned, due: float) -> None:
        outcome = Outcome(request.number, late_s=time.monotonic() - due)
        try:
            if request.kind == "completion":
                self._complete(request, outcome, due)
            else:
                self._call(request, outcome, due)
        except Exception as error:  # a broken answer is a result of its own
            outcome.error = f"failed: {error!r}"
        outcome.end_s = time.monotonic() - due
        with self._lock:
            self._outcomes.append(outcome)
            self._open -= request.at < self._job.measured_until
            if self._open == 0 and request.at < self._job.measured_until:
                self._write()

    def _write(self) -> None:
        """Writes the outcomes so that they appear at once and whole."""
        path = Path(self._job.answer_path)
        part = path.with_suffix(".part")
        part.write_text(json.dumps([asdict(outcome) for outcome in self._outcomes]))
        part.rename(path)

    def _fetch(self, request: Planned, make: Transfer, path: str) -> TransferResult:
        """Sends to one entry VM, and to the next ones while connections are refused."""
        entries = self._entries
        start = int(request.entry_choice * len(entries))
        result = TransferResult()
        for step in range(min(_CONNECT_TRIES, len(entries))):
            make.url = f"http://{entries[(start + step) % len(entries)]}{path}"
            result = fetch(make)
            if result.error != "connect":
                break
        return result

    def _headers(self, request: Planned) -> list[str]:
        headers = ["Content-Type: application/json", f"X-Latency-Class: {request.latency_class}"]
        if request.deadline_s:
            headers.append(f"X-Deadline-Ms: {int(request.deadline_s * 1000)}")
        return [*headers, f"Authorization: Bearer {self._job.key_by_workspace[request.workspace]}"]

    def _complete(self, request: Planned, outcome: Outcome, due: float) -> None:
        prompt = prompt_text(request, self._job.seed)
        body = {"model": self._job.model, "prompt": prompt, "max_tokens": request.output_tokens, "stream": True}
        stream = _Stream(request, outcome, due)
        pieces: list[bytes] = []
        status = [0]

        def on_head(code: int, _: dict[str, str]) -> None:
            status[0] = code

        def on_data(data: bytes) -> None:
            pieces.append(data) if status[0] != 200 else stream.feed(data)

        def leaves() -> bool:
            waited = time.monotonic() - due
            impatient = outcome.first_s < 0 and waited > request.patience_s
            outcome.left = impatient or 0 < request.leave_s < waited
            return outcome.left

        make = Transfer(
            "POST",
            "",
            self._headers(request),
            json.dumps(body).encode(),
            _STREAM_S,
            fresh=True,
            on_head=on_head,
            on_data=on_data,
            should_stop=leaves,
        )
        result = self._fetch(request, make, "/v1/completions")
        self._note(result, b"".join(pieces), outcome)
        outcome.whole = result.whole and stream.ended and outcome.tokens == request.output_tokens

    def _call(self, request: Planned, outcome: Outcome, due: float) -> None:
        headers = self._headers(request)
        if request.kind == "booking":
            headers.append(f"Idempotency-Key: {request.mark}")
            body = json.dumps({"seat": request.number}).encode()
            make = Transfer("POST", "", headers, body, _PLAIN_S, fresh=True)
            result = self._fetch(request, make, f"/services/{self._job.service}/bookings")
        else:
            make = Transfer("GET", "", headers, b"", _PLAIN_S, fresh=True)
            result = self._fetch(request, make, f"/services/{self._job.service}/stops/{request.number}")
        self._note(result, result.body, outcome)
        outcome.whole = result.whole and result.status in (200, 201)
        outcome.first_s = time.monotonic() - due

    def _note(self, result: TransferResult, body: bytes, outcome: Outcome) -> None:
        outcome.status, outcome.error = result.status, result.error
        outcome.retry_after_s = float(result.headers_by_name.get("retry-after", -1))
        if result.status >= 400 and result.whole:
            outcome.code = (json.loads(body).get("error") or {}).get("code", "")


if __name__ == "__main__":
    LoadProcess(LoadJob.read(Path(sys.argv[1]))).run()
