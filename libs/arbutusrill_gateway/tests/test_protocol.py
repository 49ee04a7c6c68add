"""Tests of the content hash, by which the leader recognizes a request that its caller retries."""

from arbutusrill_gateway import CallerRequest


def request(**changed):
    fields = {"id": "1", "method": "POST", "host": "h", "target": "/a/1", "headers": [], "body": b"prompt", "key": "k"}
    return CallerRequest(**(fields | changed))


def test_hash_of_a_retried_request_is_the_same():
    again = request(id="2", headers=[("Request-Id", "2")], deadline_s=3.0)
    assert again.content_hash() == request().content_hash()


def test_hash_differs_for_another_body_target_or_key():
    hashes = {
        request(**{field: value}).content_hash() for field, value in (("body", b"x"), ("target", "/"), ("key", "z"))
    }
    assert len(hashes | {request().content_hash()}) == 4


def test_hash_fits_a_signed_64_bit_field():
    assert all(-(2**63) <= request(body=bytes([n])).content_hash() < 2**63 for n in range(64))
