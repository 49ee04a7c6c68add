"""Loading of JSON settings files, validated by msgspec; each error is a single line."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

if TYPE_CHECKING:
    from expression import Result

__all__ = ["Section", "SettingsError", "load_settings", "parse_settings", "read_settings"]


_VALIDATION_ERROR = re.compile(r"^(?P<problem>.*?)(?: - at `\$\.?(?P<path>[^`]*)`)?$", re.DOTALL)
_UNKNOWN_FIELD = re.compile(r"^Object contains unknown field `(.*)`$", re.DOTALL)
_MISSING_FIELD = re.compile(r"^Object missing required field `(.*)`$")


class Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of the sections of a settings file, which rejects unknown keys and does no type coercion.

    Subclasses check constraints that types cannot express in ``__post_init__`` and raise `ValueError` with a one-line
    message that starts with the key.
    """


SectionT = TypeVar("SectionT", bound=Section)


class SettingsError(ValueError):
    """Invalid settings; the message is one line with the file, the key and what was expected."""


def read_settings(path: str | Path, model: type[SectionT]) -> SectionT:
    """Reads a settings file as `model`; raises `SettingsError`.

    Use it where the start-up time matters: `load_settings` imports ``expression``, which takes 60 ms.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: expected UTF-8 text, byte {error.start} is not") from None
    return _parse(text, model, str(path))


def load_settings(path: str | Path, model: type[SectionT]) -> Result[SectionT, str]:
    """Reads a settings file as `model` and returns it, or an error as text.

    The error is one line with the file, the key and what was expected.
    """
    from expression import Error, Ok

    try:
        return Ok(read_settings(path, model))
    except SettingsError as error:
        return Error(str(error))


def parse_settings(text: str, model: type[SectionT], name: str) -> Result[SectionT, str]:
    """Parses settings from `text`; error messages start with `name` in place of a file name.

    >>> class Example(Section):
    ...     port: int
    >>> parse_settings('{"port": 1}', Example, "a.json").ok.port
    1
    >>> parse_settings('{"port": 1, "extra": 2}', Example, "a.json").error
    'a.json: extra: unknown key, expected one of the documented settings'
    """
    from expression import Error, Ok

    try:
        return Ok(_parse(text, model, name))
    except SettingsError as error:
        return Error(str(error))


def _parse(text: str, model: type[SectionT], name: str) -> SectionT:
    try:
        value = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except json.JSONDecodeError as error:
        raise SettingsError(f"{name}: line {error.lineno}, column {error.colno}: expected JSON: {error.msg}") from None
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{name}: expected JSON: {error}") from None
    try:
        return msgspec.convert(value, model)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{name}: {_describe_error(error)}") from None


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f"key {key!r} appears twice")
        result[key] = value
    return result


def _describe_error(error: msgspec.ValidationError) -> str:
    """Converts an error of msgspec to one line with the key and what was expected."""
    match = _VALIDATION_ERROR.match(str(error))
    problem, path = match["problem"], match["path"] or ""
    unknown, missing = _UNKNOWN_FIELD.match(problem), _MISSING_FIELD.match(problem)
    if unknown:
        return f"{_join_path(path, unknown[1])}: unknown key, expected one of the documented settings"
    if missing:
        return f"{_join_path(path, missing[1])}: missing, expected a value"
    if isinstance(error.__cause__, ValueError):
        return _join_path(path, problem)
    return f"{path or '(top level)'}: {problem[0].lower()}{problem[1:]}".replace("\n", " ")


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
