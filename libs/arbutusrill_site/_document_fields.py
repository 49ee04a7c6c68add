"""Checked access to the fields of a decoded configuration document.

Each function takes a JSON object, the name of a field and its location for the message of a `ConfigurationError`, which
is raised when the value is missing without a default or is not what it should be.
"""

from __future__ import annotations

from typing import Any

from arbutusrill_base import MAX_INTEGER

from ._configuration import ConfigurationError

__all__ = [
    "MAX_DURATION_S",
    "duration_field_s",
    "flag_field",
    "integer_field",
    "number_field",
    "require",
    "text_field",
    "texts_field",
]

MAX_DURATION_S = 86_400.0


def require(condition: bool, message: str) -> None:
    """Raises `ConfigurationError` with a message unless the condition holds."""
    if not condition:
        raise ConfigurationError(message)


def text_field(json_object: dict[str, Any], field: str, location: str) -> str:
    """Returns a text that is not empty."""
    require(isinstance(json_object.get(field), str) and json_object[field] != "", f"{location}: {field} must be a text")
    return json_object[field]


def texts_field(json_object: dict[str, Any], field: str, location: str) -> frozenset[str]:
    """Returns the texts of a list; none if it is missing or null."""
    value = json_object.get(field)
    require(
        value is None or (isinstance(value, list) and all(isinstance(text, str) for text in value)),
        f"{location}: {field} must be a list of texts",
    )
    return frozenset(value or ())


def number_field(json_object: dict[str, Any], field: str, location: str, default: float | None = None) -> float:
    """Returns a number from 0 to `MAX_INTEGER`."""
    value = json_object.get(field, default)
    require(isinstance(value, int | float) and not isinstance(value, bool), f"{location}: {field} must be a number")
    require(0 <= value <= MAX_INTEGER, f"{location}: {field} must be from 0 to {MAX_INTEGER}")
    return value


def duration_field_s(json_object: dict[str, Any], field: str, location: str, default: float | None = None) -> float:
    """Returns a time in milliseconds as seconds, at most a day: timers do not accept any length."""
    return min(number_field(json_object, field, location, default) / 1000, MAX_DURATION_S)


def integer_field(
    json_object: dict[str, Any],
    field: str,
    location: str,
    default: int | None = None,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
) -> int:
    """Returns a whole number from `minimum` to `maximum`."""
    value = json_object.get(field, default)
    require(isinstance(value, int) and not isinstance(value, bool), f"{location}: {field} must be a whole number")
    require(minimum <= value <= maximum, f"{location}: {field} must be from {minimum} to {maximum}")
    return value


def flag_field(json_object: dict[str, Any], field: str, location: str) -> bool:
    """Returns a truth value, false if the field is missing."""
    value = json_object.get(field, False)
    require(isinstance(value, bool), f"{location}: {field} must be true or false")
    return value
