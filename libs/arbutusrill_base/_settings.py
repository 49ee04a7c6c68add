"""Settings files: JSON, checked by msgspec, with one clear line for each kind of mistake."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

if TYPE_CHECKING:
    from expression import Result

__all__ = ["Section", "SettingsError", "load_settings", "parse_settings", "read_settings"]


_PLACE = re.compile(r"^(?P<problem>.*?)(?: - at `\$\.?(?P<path>[^`]*)`)?$", re.DOTALL)
_UNKNOWN = re.compile(r"^Object contains unknown field `(.*)`$", re.DOTALL)
_MISSING = re.compile(r"^Object missing required field `(.*)`$")


class Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of every section of a settings file: unknown keys and loose types are refused.

    A subclass checks what its types cannot say in ``__post_init__`` and raises `ValueError` with a line that begins
    with the key.
    """


SectionT = TypeVar("SectionT", bound=Section)


class SettingsError(ValueError):
    """Settings that cannot be used: one line that names the file, the key and what was expected."""


def read_settings(path: str | Path, model: type[SectionT]) -> SectionT:
    """Reads a settings file as `model`; raises `SettingsError`.

    A process whose start is urgent calls this: `load_settings` imports ``expression``, which takes 60 ms.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: expected UTF-8 text, byte {error.start} is not") from None
    return _check(text, model, str(path))


def load_settings(path: str | Path, model: type[SectionT]) -> Result[SectionT, str]:
    """Reads a settings file as `model`.

    The error is one line that names the file, the key and what was expected.
    """
    from expression import Error, Ok

    try:
        return Ok(read_settings(path, model))
    except SettingsError as error:
        return Error(str(error))


def parse_settings(text: str, model: type[SectionT], name: str) -> Result[SectionT, str]:
    """Checks settings given as text; `name` stands for the file in messages.

    >>> class Example(Section):
    ...     port: int
    >>> parse_settings('{"port": 1}', Example, "a.json").ok.port
    1
    >>> parse_settings('{"port": 1, "extra": 2}', Example, "a.json").error
    'a.json: extra: unknown key, expected one of the documented settings'
    """
    from expression import Error, Ok

    try:
        return Ok(_check(text, model, name))
    except SettingsError as error:
        return Error(str(error))


def _check(text: str, model: type[SectionT], name: str) -> SectionT:
    try:
        value = json.loads(text, object_pairs_hook=_refuse_repeated_keys)
    except json.JSONDecodeError as error:
        raise SettingsError(f"{name}: line {error.lineno}, column {error.colno}: expected JSON: {error.msg}") from None
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{name}: expected JSON: {error}") from None
    try:
        return msgspec.convert(value, model)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{name}: {_first_error(error)}") from None


def _refuse_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f"key {key!r} appears twice")
        result[key] = value
    return result


def _first_error(error: msgspec.ValidationError) -> str:
    """Returns the key and what was expected of it."""
    found = _PLACE.match(str(error))
    problem, path = found["problem"], found["path"] or ""
    unknown, missing = _UNKNOWN.match(problem), _MISSING.match(problem)
    if unknown:
        return f"{_joined(path, unknown[1])}: unknown key, expected one of the documented settings"
    if missing:
        return f"{_joined(path, missing[1])}: missing, expected a value"
    if isinstance(error.__cause__, ValueError):
        return _joined(path, problem)
    return f"{path or '(top level)'}: {problem[0].lower()}{problem[1:]}".replace("\n", " ")


def _joined(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
