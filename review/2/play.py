"""Case 2: a control VM freezes while another one rejoins with an empty disk; later a single one loses its disk."""

from __future__ import annotations

import random
import re
import shutil
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import (  # noqa: E402
    ACK_TIMEOUT_S,
    CATCH_UP_S,
    CONTACT_S,
    RECOVERY_S,
    CannotRunError,
    Record,
    Site,
    document,
    http_call,
    main,
)

CHANGES = 80
ROUNDS = 3  # at most, until the freeze has met the change of the membership
ROUTES = 350  # in each desired state, the largest dose of `big_config`
FREEZE_S = 3.0
READ_S = 20.0  # the operator reads for so long at the end, far above `contactMs`
DOWN_S = 1.0


def large_document(version: int) -> dict:
    """Returns a desired state with `ROUTES` more routes."""
    value = document(version)
    route = value["routes"][0]
    for _ in range(ROUTES):
        name = f"{random.getrandbits(96):024x}"
        value["routes"].append({**route, "name": name, "pathPrefix": f"/{name}/"})
    return value


def metric(site: Site, ip: str, name: str) -> float | None:
    """Returns a metric of a control VM, as the platform fetches them; None without an answer."""
    status, body = http_call("GET", f"{ip}:9103", "/metrics", timeout_s=0.3)
    match = re.search(rf"^arbutusrill_control_{name} (\S+)$", body.decode(), re.MULTILINE) if status == 200 else None
    return float(match.group(1)) if match else None


def wipe(site: Site, ip: str) -> None:
    """Takes the disk of a control VM; the VM is back at its old address with an empty one."""
    site.signal(ip, signal.SIGKILL)
    shutil.rmtree(site.disk(ip))
    site.record.write(f"the disk of {ip} is lost")
    time.sleep(DOWN_S)
    site.start(ip, bootstrap=False)


def wipe_and_freeze(site: Site, wiped: str, frozen: str) -> None:
    """Takes the disk of one control VM and freezes another one while the first catches up."""
    wipe(site, wiped)
    # The freeze begins once the new member has heard from the leader.
    site.wait_until(lambda: (metric(site, wiped, "term") or 0) > 0, "the wiped VM does not rejoin", interval_s=0.001)
    site.signal(frozen, signal.SIGSTOP)
    time.sleep(FREEZE_S)
    site.signal(frozen, signal.SIGCONT)


def voters(site: Site) -> dict[str, float | None]:
    """Returns the number of voters that each control VM shows."""
    return {ip: metric(site, ip, "voters") for ip in site.controls}


def followers(site: Site) -> list[str]:
    """Returns the two control VMs that do not lead."""
    site.wait_until(lambda: any(metric(site, ip, "leader") for ip in site.controls), "no leader")
    leader = next(ip for ip in site.controls if metric(site, ip, "leader"))
    site.record.write(f"leader {leader}")
    return [ip for ip in site.controls if ip != leader]


def play(record: Record, trouble: bool) -> bool:
    """Returns whether the acknowledged desired state can't be read back at the end."""
    with Site(record) as site:
        site.set_up(large_document(1))
        for version in range(2, 2 + CHANGES):
            if site.put(large_document(version)) != 200:
                raise CannotRunError("a desired state is not acknowledged")
        for _ in range(ROUNDS if trouble else 1):
            wiped, frozen = followers(site)
            if trouble:
                wipe_and_freeze(site, wiped, frozen)
            time.sleep(RECOVERY_S + CATCH_UP_S)
            seen = voters(site)
            record.write(f"all are back for {RECOVERY_S + CATCH_UP_S} s; voters: {seen}")
            if max(count or 0 for count in seen.values()) > len(site.controls):
                break
        last = CHANGES + 2
        if site.put(document(last), ACK_TIMEOUT_S) != 200 or site.read_version(CONTACT_S) != last:
            raise CannotRunError("the group has not recovered")
        if trouble:
            wipe(site, frozen)
        else:
            time.sleep(DOWN_S)
        version = site.read_version(READ_S)
        record.write(f"voters: {voters(site)}")
        return version != last


main(HERE, play)
