"""A faulty runner spoils a byte in the head of some answers; every answer to a client is checked byte by byte."""

from __future__ import annotations

import re
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig_2 import TROUBLE, Deployment, Record, Runner, configuration, request_head, run_case, running

REQUESTS, REQUESTS_PER_S = 2000, 80
WORK_S = 0.045
SPOILED_INTERVAL = 50  # one answer in so many of the faulty runners: `garble` spoils x = 0.02 of the answers
# What a field and a status line may hold, RFC 9110 (5.1, 5.5, 5.6.2) and RFC 9112 (4, 5).
_STATUS_LINE = re.compile(rb"HTTP/1\.1 [1-5][0-9]{2} [\t \x21-\x7e\x80-\xff]*")
_FIELD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t \x21-\x7e\x80-\xff]*")


class _Faulty:
    """Answers like a sound runner, but spoils a byte in the name of a field of every 50th answer of the faulty ones."""

    def __init__(self, record: Record):
        self._record = record
        self._lock = threading.Lock()
        self._count = 0

    def work(self, runner: Runner, handler) -> None:
        """Answers one request."""
        time.sleep(WORK_S)
        with self._lock:
            self._count += 1
            is_spoiled = TROUBLE and self._count % SPOILED_INTERVAL == 0
        name = "X Served-By" if is_spoiled else "X-Served-By"
        if is_spoiled:
            self._record.write(f"{runner.id} spoils its answer to {handler.headers['Request-Id']}")
        handler.answer(200, b"booked", **{name: runner.id})


def _exchange(address: tuple[str, int], path: str, request_id: str) -> bytes:
    """Returns all bytes of the answer to one request on a channel of its own."""
    data = b""
    with socket.create_connection(address, timeout=6) as connection:
        connection.sendall(request_head(path, request_id, Connection="close") + b"Content-Length: 2\r\n\r\n{}")
        while piece := connection.recv(65_536):
            data += piece
    return data


def _problem(data: bytes) -> str:
    """Returns why the bytes are no answer in the protocol, or an empty text."""
    head, separator, _ = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    if not separator:
        return f"no whole head: {data[:80]!r}"
    if not _STATUS_LINE.fullmatch(lines[0]):
        return f"the status line {lines[0]!r}"
    return next((f"the field {line!r}" for line in lines[1:] if not _FIELD.fullmatch(line)), "")


def play(record: Record, folder: Path) -> bool:
    """Returns whether a client got bytes that are no answer in the protocol."""
    work = _Faulty(record).work
    faulty = [Runner(f"i-faulty{number}", "desk", record, work=work) for number in range(2)]
    sound = [Runner(f"i-sound{number}", "desk", record, work_s=WORK_S) for number in range(2)]
    problems: list[str] = []
    statuses: dict[bytes, int] = {}
    with running(*faulty, *sound), Deployment(folder, entries=1) as site:
        site.configure(configuration(1))
        site.announce(*faulty, *sound)
        host, _, port = site.callers(site.entries[0]).rpartition(":")

        def ask(number: int) -> None:
            request_id = f"book-{number}"
            try:
                data = _exchange((host, int(port)), "/book/x" if number % 2 else "/look/x", request_id)
            except OSError as error:
                record.write(f"{request_id} gets no answer: {error!r}")
                return
            status, problem = data[9:12], _problem(data)
            statuses[status] = statuses.get(status, 0) + 1
            record.write(f"{request_id} is answered {status.decode('latin-1')}{', ' + problem if problem else ''}")
            if problem:
                problems.append(problem)

        threads = []
        for number in range(REQUESTS):
            threads.append(threading.Thread(target=ask, args=(number,)))
            threads[-1].start()
            time.sleep(1 / REQUESTS_PER_S)
        for thread in threads:
            thread.join()
    record.write(f"answers by status: {statuses}; {len(problems)} are no answers in the protocol: {problems[:3]}")
    if not statuses.get(b"200"):
        raise RuntimeError("nothing was served")
    return bool(problems)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
