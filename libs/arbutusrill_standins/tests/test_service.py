"""Tests of the plain service stand-in, whose counters reveal repeated bookings."""

import json

import pytest
from arbutusrill_http import HttpServer, Transfer, fetch

from arbutusrill_standins.service import PlainService


@pytest.fixture
def call():
    with HttpServer("127.0.0.1", 0, PlainService("s")) as server:

        def send(method, path, body=None, *headers):
            data = b"" if body is None else json.dumps(body).encode()
            # On a reused connection that breaks, libcurl would resend the request by itself.
            return fetch(Transfer(method, f"http://{server.address}{path}", list(headers), data, timeout_s=5))

        yield send


def counters(call):
    return json.loads(call("GET", "/stand-in/counters").body)


def test_bookings_count_by_key_or_body(call):
    """The counts must show whether a repeated booking carried an idempotency key or only the same body."""
    for _ in range(2):
        call("POST", "/bookings", {"seat": 1})
    call("POST", "/bookings", {"seat": 1}, "Idempotency-Key: k")
    assert sorted(counters(call)["count_by_booking"].values()) == [1, 2]
    assert counters(call)["repeated"] == 1


@pytest.mark.parametrize(("after", "booked"), [(True, 1), (False, 0)])
def test_cut_response_is_incomplete_whether_or_not_the_booking_was_made(call, after, booked):
    call("POST", "/stand-in/fault", {"kind": "cut", "after_booking": after})
    assert not call("POST", "/bookings", {"seat": 1}).is_complete
    assert counters(call)["bookings"] == booked
    assert call("POST", "/bookings", {"seat": 2}).is_complete
