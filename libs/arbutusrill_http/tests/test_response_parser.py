"""Tests of the parser of responses, fed with parts of any size."""

import pytest

from arbutusrill_http import Transfer, TransferResult
from arbutusrill_http._response_parser import ResponseParser, ResponseRefusedError
from arbutusrill_http._transfer_state import TransferState

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
NEXT = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"


def parse(*parts):
    state = TransferState(Transfer("GET", "http://h/", []), TransferResult())
    parser = ResponseParser(state, "GET")
    for part in parts:
        parser.feed(part)
    return parser, b"".join(state.body_parts)


@pytest.mark.parametrize("parts", [(HEAD, b"whole" + NEXT), (HEAD + b"wh", b"ole" + NEXT), (HEAD + b"whole" + NEXT,)])
def test_bytes_beyond_a_body_are_not_part_of_it(parts):
    """Guards against the bytes of another answer in a body whose parts are passed on as they arrive."""
    parser, body = parse(*parts)
    assert (body, parser.rest, parser.is_complete, parser.is_reusable) == (b"whole", NEXT, True, False)


def test_body_that_ends_early_is_not_complete():
    parser, body = parse(HEAD, b"wh", b"ol")
    assert (body, parser.is_complete) == (b"whol", False)
    with pytest.raises(ResponseRefusedError):
        parser.end()


def test_body_without_a_length_ends_with_its_connection():
    parser, body = parse(b"HTTP/1.1 200 OK\r\n\r\n", b"a", b"b" * 70_000)
    assert not parser.is_complete
    parser.end()
    assert (len(body), parser.is_complete, parser.is_reusable) == (70_001, True, False)
