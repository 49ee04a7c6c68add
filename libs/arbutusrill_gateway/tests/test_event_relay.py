"""Guards against pauses of streams that no log line shows."""

import time
from unittest.mock import MagicMock

from arbutusrill_gateway._event_relay import EventRelay


def test_longest_pause_counts_from_event_to_event_of_all_attempts():
    # Callers count a stream as late after one long pause; the log had the time of its first event only.
    exchange = MagicMock(longest_pause_s=0.0)
    exchange.protocol.event_id.side_effect = [1, 2, 2, 3]
    exchange.protocol.decode_response.return_value = MagicMock(
        status=200, not_run=False, request_id=exchange.request.id
    )
    relay = EventRelay(exchange)
    time.sleep(0.02)
    relay.on_head(200, {})
    relay.on_data(b"data: a\n\n")
    assert exchange.longest_pause_s == 0.0
    relay.on_data(b"data: b\n\n")
    relay.begin_attempt()
    relay.on_head(200, {})
    time.sleep(0.08)
    relay.on_data(b"data: b\n\n")  # a repeated event ends no pause
    time.sleep(0.08)
    relay.on_data(b"data: c\n\n")
    assert exchange.longest_pause_s >= 0.16
