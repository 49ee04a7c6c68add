"""Defaults that operators can change, with their types, initial values and ranges."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from expression import Result

__all__ = ["DEFAULT_SPEC_BY_NAME", "SCOPE_KINDS", "DefaultSpec", "parse_value"]

MAX_NUMBER = 1e15  # sums of floats up to this value are exact to one token
_MAX_JSON_CHARACTERS = 1000
SCOPE_KINDS = ("workspace", "model", "service", "data_centre")


@dataclass(slots=True, frozen=True)
class DefaultSpec:
    """Type, initial value, allowed range and meaning of one default."""

    name: str
    kind: type
    initial: object
    help: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()


_SPECS = (
    DefaultSpec("limits.rate", float, 2000.0, "tokens/s of a workspace without a rate of its own", 0.001),
    DefaultSpec("limits.burst", float, 20000.0, "burst in tokens of a workspace without one of its own", 1),
    DefaultSpec("limits.plain_call_tokens", float, 1.0, "tokens charged for a call to a plain service", 0, 1e9),
    DefaultSpec("targets.first_token_s", float, 2.0, "target for the first token, seconds", 0.001),
    DefaultSpec("targets.token_gap_s", float, 0.031, "target for the time between tokens, seconds", 0.0001),
    DefaultSpec("targets.quantile", float, 0.95, "part of the requests that must meet a target", 0.5, 0.99999),
    DefaultSpec(
        "policy.name",
        str,
        "reserving",
        "placement policy",
        choices=("round_robin", "least_loaded", "prefill_first", "reserving"),
    ),
    DefaultSpec("retry.budget", float, 0.1, "retries as a fraction of requests", 0, 1),
    DefaultSpec("entries.max_age_s", int, 5, "time for which callers may keep the list of entry VMs, seconds", 1, 3600),
    DefaultSpec(
        "journal.retention_s", int, 86400, "time for which answers of once-only calls are kept, seconds", 60, 2_592_000
    ),
    DefaultSpec("journal.answer_bytes", int, 65536, "largest recorded answer body, bytes", 0, 1048576),
    DefaultSpec("orders.parallel", int, 4, "orders to load from the weight store that run at once", 1, 1000),
    DefaultSpec("orders.timeout_s", int, 900, "time after which a started order has failed, seconds", 10, 86400),
    DefaultSpec("queue.max_wait_s.lookup", float, 1.0, "longest wait in the queue of a lookup, seconds", 0, 3600),
    DefaultSpec("queue.max_wait_s.interactive", float, 5.0, "longest wait of an interactive request, seconds", 0, 3600),
    DefaultSpec("queue.max_wait_s.briefing", float, 120.0, "longest wait of a briefing, seconds", 0, 3600),
)

DEFAULT_SPEC_BY_NAME = {spec.name: spec for spec in _SPECS}


def parse_value(name: str, value_json: str) -> Result[Any, str]:
    """Parses and checks a JSON value for the default `name`; returns the value or an error message.

    >>> parse_value("limits.rate", "3").ok
    3.0
    >>> parse_value("limits.rate", "-1").error
    'limits.rate must be at least 0.001'
    """
    from expression import Error, Ok

    spec = DEFAULT_SPEC_BY_NAME.get(name)
    if spec is None:
        return Error(f"unknown default {str(name)[:80]!r}")
    if len(value_json) > _MAX_JSON_CHARACTERS:
        return Error(f"{name} must be shorter")
    try:
        value = json.loads(value_json, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return Error(f"{name} must be a JSON value without NaN and infinities")
    if spec.kind is float and type(value) is int and abs(value) <= MAX_NUMBER:
        value = float(value)
    if type(value) is not spec.kind:
        return Error(f"{name} must be of type {spec.kind.__name__}")
    if spec.choices and value not in spec.choices:
        return Error(f"{name} must be one of {', '.join(spec.choices)}")
    if spec.minimum is not None and value < spec.minimum:
        return Error(f"{name} must be at least {spec.minimum:g}")
    if spec.kind is not str and value > (MAX_NUMBER if spec.maximum is None else spec.maximum):
        return Error(f"{name} must be at most {MAX_NUMBER if spec.maximum is None else spec.maximum:g}")
    return Ok(value)


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a number")
