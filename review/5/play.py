"""Case 5: clients upload bodies within the limits, and then more than twice as many do so at once."""

from __future__ import annotations

import http.client
import os
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import KEY, Record, Runner, Site, document, http_call, main  # noqa: E402

MEMORY_MB = 150  # of a front machine on the sheet of bsta-routing
BODY = os.urandom(4_000_000)  # maxBodyBytes is 4,194,304
PIECES = 40
UPLOAD_S = 1.0  # 32 Mbit/s for each client
CLIENTS = 12  # at each entry VM at usual times
BURST = 2.2  # times the usual traffic; the largest dose on the sheets is 2.3
BURST_S, PAUSE_S, BURSTS = 5.0, 6.0, 3
RESTART_S = 0.5


class Platform:
    """Kills a process that uses more than the memory of its machine, and starts it again after a short delay."""

    def __init__(self, site: Site, record: Record):
        self._site = site
        self._record = record
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.ends = dict.fromkeys(site.entries, 0)
        self.peak_mb = dict.fromkeys(site.entries, 0.0)

    def __enter__(self) -> Platform:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(0.02):
            for ip in self._site.entries:
                used_mb = self._site.resident_mb(ip)
                self.peak_mb[ip] = max(self.peak_mb[ip], used_mb)
                if used_mb > MEMORY_MB:
                    self.ends[ip] += 1
                    self._record.write(f"platform: {ip} uses {used_mb:.0f} MB of {MEMORY_MB} MB and is killed")
                    self._site.signal(ip, signal.SIGKILL)
                    time.sleep(RESTART_S)
                    self._site.start(ip)


class Clients:
    """Clients of one entry VM that upload one body after the other until they are stopped."""

    def __init__(self, site: Site, record: Record, ip: str, count: int, prefix: str):
        self._site = site
        self._record = record
        self._ip = ip
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(f"{prefix}-{n}",)) for n in range(count)]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Waits until the requests in progress have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, name: str) -> None:
        number = 0
        while not self._stopping.is_set():
            number += 1
            status = self._upload(f"{name}-{number}")
            self._record.write(f"client: {name}-{number} POST /book/x, {len(BODY)} B: {status or 'channel closed'}")
            if not status:
                self._stopping.wait(0.3)

    def _upload(self, request_id: str) -> int:
        connection = http.client.HTTPConnection(self._site.front(self._ip), timeout=8.0)
        try:
            connection.putrequest("POST", "/book/x", skip_host=True, skip_accept_encoding=True)
            for field in (
                ("Host", "site.example"),
                ("Request-Id", request_id),
                ("Deadline-Ms", "5000"),
                ("Authorization", f"Bearer {KEY}"),
                ("Content-Length", str(len(BODY))),
            ):
                connection.putheader(*field)
            connection.endheaders()
            step = len(BODY) // PIECES
            for start in range(0, len(BODY), step):
                connection.send(BODY[start : start + step])
                time.sleep(UPLOAD_S / PIECES)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


def play(record: Record, trouble: bool) -> bool:
    """Returns whether the processes of two entry VMs ended three times each for their memory."""
    with Site(record, entries=2) as site, Runner(site, "i-desk1"), Runner(site, "i-desk2"):
        site.set_up(document(1))
        headers = {"Host": "site.example", "Authorization": f"Bearer {KEY}", "Deadline_Ms": "4000"}
        for ip in site.entries:
            site.wait_until(
                lambda ip=ip: (
                    http_call("GET", site.front(ip), "/look/x", timeout_s=5.0, Request_Id="w", **headers)[0] == 200
                ),
                "no request is served",
            )
        with Platform(site, record) as platform:
            usual = [Clients(site, record, ip, CLIENTS, f"usual-{ip}") for ip in site.entries]
            for number in range(BURSTS):
                time.sleep(PAUSE_S)
                if trouble:
                    record.write(f"burst {number + 1}: {BURST} times the clients for {BURST_S} s")
                    more = round(CLIENTS * (BURST - 1))
                    extra = [Clients(site, record, ip, more, f"burst{number}-{ip}") for ip in site.entries]
                    time.sleep(BURST_S)
                    for clients in extra:
                        clients.stop()
                else:
                    time.sleep(BURST_S)
            for clients in usual:
                clients.stop()
        for ip in site.entries:
            record.write(f"{ip}: ended {platform.ends[ip]} times, peak {platform.peak_mb[ip]:.0f} MB")
    return all(ends >= 3 for ends in platform.ends.values())


main(HERE, play)
