"""Checks of the fields with which backend servers announce themselves."""

from __future__ import annotations

import re
from typing import Any

from arbutusrill_base import MAX_INTEGER, is_ipv4_address, whole_number

__all__ = ["AnnouncementError", "announced_address", "announced_number", "announced_text", "backend_id"]

_MAX_TEXT_CHARACTERS = 256
_ID = re.compile(r"[!-~]{1,256}")  # it goes into a header field


class AnnouncementError(ValueError):
    """An announcement that is not valid."""


def backend_id(text: str) -> str:
    """Returns the ID of a backend server.

    >>> backend_id("i-7f3a91c2")
    'i-7f3a91c2'
    """
    if not _ID.fullmatch(text):
        raise AnnouncementError("the id must be 1 to 256 visible ASCII characters")
    return text


def announced_text(value: dict[str, Any], field: str) -> str:
    """Returns a text that is not empty."""
    text = value.get(field)
    if not isinstance(text, str) or not 0 < len(text) <= _MAX_TEXT_CHARACTERS:
        raise AnnouncementError(f"{field} must be a text of 1 to {_MAX_TEXT_CHARACTERS} characters")
    return text


def announced_number(value: dict[str, Any], field: str, default: int | None = None, maximum: int = MAX_INTEGER) -> int:
    """Returns a whole number from 0 to `maximum`."""
    number = whole_number(value.get(field, default), maximum)
    if number is None:
        raise AnnouncementError(f"{field} must be a whole number from 0 to {maximum}")
    return number


def announced_address(value: dict[str, Any], field: str) -> str:
    """Returns an IPv4 address with its port."""
    text = announced_text(value, field)
    if not is_ipv4_address(text):
        raise AnnouncementError(f"{field} must be IP:port")
    return text
