"""Load generator process: sends its share of a plan at the planned times and writes the outcomes to a file.

The benchmark runs it as ``python -m arbutusrill_bench._load FILE``, where FILE holds a `LoadJob` as JSON.
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

from ._workload import PlannedRequest, prompt_text

__all__ = ["LoadJob", "Outcome"]

_MAX_OPEN_REQUESTS = 400
_STREAM_TIMEOUT_S = 180.0
_PLAIN_CALL_TIMEOUT_S = 10.0
_ENTRIES_REFRESH_PERIOD_S = 5.0
_MAX_CONNECT_ATTEMPTS = 3


@dataclass(slots=True)
class LoadJob:
    """Input of one load process. `start_at` is a time of the machine's monotonic clock, in seconds.

    The outcomes are written to `answer_path` once all requests planned before `measured_until` (seconds after
    `start_at`) have ended; later requests are still sent.
    """

    seed: int
    start_at: float
    measured_until: float
    model: str
    service: str
    entries: list[str]
    key_by_workspace: dict[str, str]
    requests: list[PlannedRequest]
    answer_path: str

    @staticmethod
    def read(path: Path) -> LoadJob:
        """Reads a job written by `write`."""
        values = json.loads(path.read_text())
        values["requests"] = [PlannedRequest(**row) for row in values["requests"]]
        return LoadJob(**values)

    def write(self, path: Path) -> None:
        """Writes the job as JSON."""
        path.write_text(json.dumps(asdict(self)))


@dataclass(slots=True)
class Outcome:
    """Outcome of one request; `first_s` and `end_s` are in seconds after its planned send time, -1 if not reached."""

    number: int
    late_s: float = 0.0
    status: int = 0
    code: str = ""  # `code` field of the error object
    error: str = ""  # kind of transfer failure, or the exception raised while the response was read
    first_s: float = -1.0
    end_s: float = -1.0
    gaps_ms: list[float] = field(default_factory=list)
    tokens: int = 0
    whole: bool = False  # all tokens and the end-of-stream marker were received
    wrong: bool = False  # a token belongs to another response or is out of sequence
    left: bool = False
    retry_after_s: float = -1.0


class _CompletionStream:
    """Parses a streamed completion and checks each token against the mark of its request."""

    def __init__(self, request: PlannedRequest, outcome: Outcome, sent_at: float):
        self._request = request
        self._outcome = outcome
        self._sent_at = sent_at
        self._last_token_at = 0.0
        self._buffer = b""
        self._partial_token = ""
        self.ended = False

    def feed(self, data: bytes) -> None:
        now = time.monotonic()
        self._buffer += data
        while b"\n\n" in self._buffer:
            event, _, self._buffer = self._buffer.partition(b"\n\n")
            if event == b"data: [DONE]":
                self.ended = True
            elif event.startswith(b"data: "):
                self._process_event(json.loads(event[6:]), now)

    def _process_event(self, event: dict, now: float) -> None:
        outcome = self._outcome
        if "error" in event:
            outcome.code = event["error"].get("code", "")
            return
        choices = event.get("choices") or [{}]
        self._partial_token += choices[0].get("text") or ""
        # One event may hold several tokens; the time since the last event is divided equally among them.
        *words, self._partial_token = self._partial_token.split(" ")
        if not words:
            return
        if outcome.first_s < 0:
            outcome.first_s = now - self._sent_at
        else:
            outcome.gaps_ms += [round((now - self._last_token_at) * 1000 / len(words), 1)] * len(words)
        self._last_token_at = now
        for word in words:
            outcome.wrong |= word != f"{self._request.mark}.{outcome.tokens}"
            outcome.tokens += 1


class LoadProcess:
    """Sends the requests of a job, each in its own thread."""

    def __init__(self, job: LoadJob):
        self._job = job
        self._entries = list(job.entries)
        self._outcomes: list[Outcome] = []
        self._lock = threading.Lock()
        self._pending_measured = sum(request.at < job.measured_until for request in job.requests)

    def run(self) -> None:
        """Sends all requests; the outcomes are written when the last measured request ends."""
        threading.Thread(target=self._refresh_entries, name="entries", daemon=True).start()
        with ThreadPoolExecutor(_MAX_OPEN_REQUESTS) as executor:
            for request in self._job.requests:
                due = self._job.start_at + request.at
                time.sleep(max(0.0, due - time.monotonic()))
                executor.submit(self._send, request, due)

    def _refresh_entries(self) -> None:
        """Periodically fetches the list of entry VMs, as clients are expected to do."""
        while True:
            for entry in list(self._entries):
                result = fetch(Transfer("GET", f"http://{entry}/v1/entries", timeout_s=1.0))
                if result.is_complete and result.status == 200:
                    rows = json.loads(result.body)["entries"]
                    self._entries = [row["address"] for row in rows] or self._entries
                    break
            time.sleep(_ENTRIES_REFRESH_PERIOD_S)

    def _send(self, request: PlannedRequest, due: float) -> None:
        outcome = Outcome(request.number, late_s=time.monotonic() - due)
        try:
            if request.kind == "completion":
                self._send_completion(request, outcome, due)
            else:
                self._send_plain_call(request, outcome, due)
        except Exception as error:  # a malformed response is reported as the outcome of its request
            outcome.error = f"failed: {error!r}"
        outcome.end_s = time.monotonic() - due
        with self._lock:
            self._outcomes.append(outcome)
            self._pending_measured -= request.at < self._job.measured_until
            if self._pending_measured == 0 and request.at < self._job.measured_until:
                self._write_outcomes()

    def _write_outcomes(self) -> None:
        """Writes the outcomes atomically, by renaming a temporary file."""
        path = Path(self._job.answer_path)
        partial_path = path.with_suffix(".part")
        partial_path.write_text(json.dumps([asdict(outcome) for outcome in self._outcomes]))
        partial_path.rename(path)

    def _fetch_from_entry(self, request: PlannedRequest, transfer: Transfer, path: str) -> TransferResult:
        """Sends to one entry VM; when a connection fails, tries the next ones, `_MAX_CONNECT_ATTEMPTS` VMs in total."""
        entries = self._entries
        first_index = int(request.entry_choice * len(entries))
        result = TransferResult()
        for offset in range(min(_MAX_CONNECT_ATTEMPTS, len(entries))):
            transfer.url = f"http://{entries[(first_index + offset) % len(entries)]}{path}"
            result = fetch(transfer)
            if result.error != "connect":
                break
        return result

    def _headers(self, request: PlannedRequest) -> list[str]:
        headers = ["Content-Type: application/json", f"X-Latency-Class: {request.latency_class}"]
        if request.deadline_s:
            headers.append(f"X-Deadline-Ms: {int(request.deadline_s * 1000)}")
        return [*headers, f"Authorization: Bearer {self._job.key_by_workspace[request.workspace]}"]

    def _send_completion(self, request: PlannedRequest, outcome: Outcome, due: float) -> None:
        prompt = prompt_text(request, self._job.seed)
        body = {"model": self._job.model, "prompt": prompt, "max_tokens": request.output_tokens, "stream": True}
        stream = _CompletionStream(request, outcome, due)
        error_chunks: list[bytes] = []
        status = [0]

        def on_head(code: int, _: dict[str, str]) -> None:
            status[0] = code

        def on_data(data: bytes) -> None:
            error_chunks.append(data) if status[0] != 200 else stream.feed(data)

        def should_leave() -> bool:
            waited = time.monotonic() - due
            impatient = outcome.first_s < 0 and waited > request.patience_s
            outcome.left = impatient or 0 < request.leave_s < waited
            return outcome.left

        transfer = Transfer(
            "POST",
            "",
            self._headers(request),
            json.dumps(body).encode(),
            _STREAM_TIMEOUT_S,
            on_head=on_head,
            on_data=on_data,
            should_stop=should_leave,
        )
        result = self._fetch_from_entry(request, transfer, "/v1/completions")
        self._record_response(result, b"".join(error_chunks), outcome)
        outcome.whole = result.is_complete and stream.ended and outcome.tokens == request.output_tokens

    def _send_plain_call(self, request: PlannedRequest, outcome: Outcome, due: float) -> None:
        headers = self._headers(request)
        if request.kind == "booking":
            headers.append(f"Idempotency-Key: {request.mark}")
            body = json.dumps({"seat": request.number}).encode()
            transfer = Transfer("POST", "", headers, body, _PLAIN_CALL_TIMEOUT_S)
            result = self._fetch_from_entry(request, transfer, f"/services/{self._job.service}/bookings")
        else:
            transfer = Transfer("GET", "", headers, b"", _PLAIN_CALL_TIMEOUT_S)
            result = self._fetch_from_entry(request, transfer, f"/services/{self._job.service}/stops/{request.number}")
        self._record_response(result, result.body, outcome)
        outcome.whole = result.is_complete and result.status in (200, 201)
        outcome.first_s = time.monotonic() - due

    def _record_response(self, result: TransferResult, body: bytes, outcome: Outcome) -> None:
        outcome.status, outcome.error = result.status, result.error
        outcome.retry_after_s = float(result.headers_by_name.get("retry-after", -1))
        if result.status >= 400 and result.is_complete:
            outcome.code = (json.loads(body).get("error") or {}).get("code", "")


if __name__ == "__main__":
    LoadProcess(LoadJob.read(Path(sys.argv[1]))).run()
