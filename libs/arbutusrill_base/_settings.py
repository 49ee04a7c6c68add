"""Settings files: JSON, checked by pydantic, with one clear line for each kind of mistake."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, TypeVar

import pydantic
from expression import Error, Ok, Result

__all__ = ["Section", "load_settings", "parse_settings"]


class Section(pydantic.BaseModel):
    """Base of every section of a settings file: unknown keys and loose types are refused."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


SectionT = TypeVar("SectionT", bound=Section)


def load_settings(path: str | Path, model: type[SectionT]) -> Result[SectionT, str]:
    """Reads a settings file as `model`.

    The error is one line that names the file, the key and what was expected.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return Error(f"{path}: cannot be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return Error(f"{path}: expected UTF-8 text, byte {error.start} is not")
    return parse_settings(text, model, str(path))


def parse_settings(text: str, model: type[SectionT], name: str) -> Result[SectionT, str]:
    """Checks settings given as text; `name` stands for the file in messages.

    >>> class Example(Section):
    ...     port: int
    >>> parse_settings('{"port": 1}', Example, "a.json").ok.port
    1
    >>> parse_settings('{"port": 1, "extra": 2}', Example, "a.json").error
    'a.json: extra: unknown key, expected one of the documented settings'
    """
    try:
        value = json.loads(text, object_pairs_hook=_refuse_repeated_keys)
    except json.JSONDecodeError as error:
        return Error(f"{name}: line {error.lineno}, column {error.colno}: expected JSON: {error.msg}")
    except (ValueError, RecursionError) as error:
        return Error(f"{name}: expected JSON: {error}")
    try:
        return Ok(model.model_validate_json(json.dumps(value)))
    except pydantic.ValidationError as error:
        return Error(f"{name}: {_first_error(error)}")


def _refuse_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f"key {key!r} appears twice")
        result[key] = value
    return result


def _first_error(error: pydantic.ValidationError) -> str:
    first = error.errors(include_url=False)[0]
    path = ".".join(str(part) for part in first["loc"]) or "(top level)"
    if first["type"] == "extra_forbidden":
        return f"{path}: unknown key, expected one of the documented settings"
    if first["type"] == "missing":
        return f"{path}: missing, expected a value"
    message = first["msg"][0].lower() + first["msg"][1:]
    return f"{path}: {message}, found {json.dumps(first['input'])[:80]}"
