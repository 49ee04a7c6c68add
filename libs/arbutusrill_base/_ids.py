"""Identifiers of requests, processes and keys."""

from __future__ import annotations

import hashlib
import secrets

__all__ = ["hash_key", "new_incarnation", "new_key", "new_request_id"]

_ALPHABET = "0123456789abcdefghjkmnpqrstvwxyz"


def new_request_id(prefix: str = "req") -> str:
    """Returns an identifier with 130 random bits, such as ``req-<26 characters>``.

    >>> len(new_request_id())
    30
    """
    # One call for all random bits: each call to the kernel gives up the interpreter lock, which a busy process
    # gets back only after milliseconds.
    bits = secrets.randbits(130)
    return f"{prefix}-{''.join([_ALPHABET[bits >> shift & 31] for shift in range(0, 130, 5)])}"


def new_incarnation() -> int:
    """Returns a random positive 63-bit number that tells one run of a process from the next."""
    return secrets.randbits(62) + 1


def new_key() -> str:
    """Returns a new secret for a caller; only its `hash_key` is ever stored."""
    return f"ak-{secrets.token_urlsafe(32)}"


def hash_key(key: str) -> str:
    """Returns the SHA-256 of a caller's key in hexadecimal.

    Keys carry 256 random bits, so that a plain hash without salt cannot be reversed by guessing.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
