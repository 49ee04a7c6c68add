"""Random identifiers of requests and processes, and API keys."""

from __future__ import annotations

import hashlib
import secrets

__all__ = ["hash_key", "new_incarnation", "new_key", "new_request_id"]

_BASE32_ALPHABET = "0123456789abcdefghjkmnpqrstvwxyz"


def new_request_id(prefix: str = "req") -> str:
    """Returns an identifier with 130 random bits in base 32: ``req-<26 characters>``.

    >>> len(new_request_id())
    30
    """
    # All bits come from one system call: each call releases the interpreter lock, and reacquiring it takes
    # milliseconds in a busy process.
    bits = secrets.randbits(130)
    return f"{prefix}-{''.join([_BASE32_ALPHABET[bits >> shift & 31] for shift in range(0, 130, 5)])}"


def new_incarnation() -> int:
    """Returns a random positive 63-bit number that identifies one run of a process."""
    return secrets.randbits(62) + 1


def new_key() -> str:
    """Returns a new random API key; only its hash, `hash_key`, is stored."""
    return f"ak-{secrets.token_urlsafe(32)}"


def hash_key(key: str) -> str:
    """Returns the SHA-256 of an API key in hexadecimal.

    Keys have 256 random bits, which is enough to make a hash without salt safe against guessing.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
