"""Differences between two versions of the configuration, by the names of their elements."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from ._configuration import Route, SiteConfiguration, Target
from ._configuration_findings import place_of, printable, routes_of

__all__ = ["Change", "Difference", "compare_configurations"]

_DIGEST_CHARACTERS = 8
_NONE = "none"


class Change(enum.Enum):
    """What has happened to an element."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(slots=True, frozen=True)
class Difference:
    """Element that only one version has, or that both have with different `fields`: name, value before and after."""

    change: Change
    place: str
    fields: tuple[tuple[str, str, str], ...] = ()

    def line(self) -> str:
        """Returns the difference as one line.

        >>> Difference(Change.CHANGED, place_of("route", "text"), (("timeout_s", "3", "2"),)).line()
        'changed: route "text": timeout_s 3 -> 2'
        """
        fields = "; ".join(f"{name} {before} -> {after}" for name, before, after in self.fields)
        return printable(f"{self.change.value}: {self.place}{': ' if fields else ''}{fields}")


@dataclass(slots=True, frozen=True)
class _Version:
    version: int


def compare_configurations(before: SiteConfiguration, after: SiteConfiguration) -> list[Difference]:
    """Returns what differs between two versions: version, limits, routes, services, workspaces and keys.

    API keys appear as the start of their SHA-256 digest.
    """
    repeated = _repeated_route_names(before) | _repeated_route_names(after)
    return [
        *_differences({"configuration": _Version(before.version)}, {"configuration": _Version(after.version)}),
        *_differences({"limits": before.client_limits}, {"limits": after.client_limits}),
        *_differences(_routes_by_place(before, repeated), _routes_by_place(after, repeated)),
        *_differences(_by_place("service", before.services_by_name), _by_place("service", after.services_by_name)),
        *_differences(
            _by_place("workspace", before.workspaces_by_name), _by_place("workspace", after.workspaces_by_name)
        ),
        *_differences(_keys_by_place(before), _keys_by_place(after)),
    ]


def _differences(before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[Difference]:
    for place in sorted(before.keys() | after.keys()):
        if place not in before:
            yield Difference(Change.ADDED, place)
        elif place not in after:
            yield Difference(Change.REMOVED, place)
        elif before[place] != after[place]:
            yield Difference(Change.CHANGED, place, tuple(_changed_fields(before[place], after[place])))


def _changed_fields(before: Any, after: Any) -> Iterator[tuple[str, str, str]]:
    old, new = dict(_fields("", before)), dict(_fields("", after))
    for name in old | new:
        values = old.get(name, _NONE), new.get(name, _NONE)
        if values[0] != values[1]:
            yield name, *values


def _fields(name: str, value: Any) -> Iterator[tuple[str, str]]:
    """Yields the fields of a data class by their names, those of nested ones with a dot."""
    if not dataclasses.is_dataclass(value):
        yield name, _text(value)
        return
    for field in dataclasses.fields(value):
        yield from _fields(f"{name}.{field.name}".lstrip("."), getattr(value, field.name))


def _text(value: Any) -> str:
    if value is None:
        return _NONE
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, float):
        return f"{value:.15g}"
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "any"
    if isinstance(value, tuple):
        return ", ".join(map(_text, value))
    if isinstance(value, Target):
        return f"{value.service} ({value.weight:.15g})"
    return str(value)


def _by_place(kind: str, value_by_name: Mapping[str, Any]) -> dict[str, Any]:
    return {place_of(kind, name): value for name, value in value_by_name.items()}


def _repeated_route_names(configuration: SiteConfiguration) -> set[str]:
    return {name for name, count in Counter(route.name for route in routes_of(configuration)).items() if count > 1}


def _routes_by_place(configuration: SiteConfiguration, repeated: set[str]) -> dict[str, Route]:
    """Returns the routes by their names; those of a repeated name are told apart by host and prefix."""
    return {
        place_of("route", route.name) + (f" at {route.host}{route.prefix}" if route.name in repeated else ""): route
        for route in routes_of(configuration)
    }


def _keys_by_place(configuration: SiteConfiguration) -> dict[str, None]:
    return {
        f"{place_of('workspace', workspace.name)} key {_digest(key)}": None
        for key, workspace in configuration.workspace_by_key.items()
    }


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()[:_DIGEST_CHARACTERS]
