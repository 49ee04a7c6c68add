"""Decoding of successive versions of the configuration at the cost of what has changed between them."""

from __future__ import annotations

import abc
import threading
from typing import Any

from arbutusrill_base import load_json
from arbutusrill_state import UNDIVIDED, changed_blocks, join_parts

from ._configuration import ClientLimits, ConfigurationError, Route, Service, SiteConfiguration, Workspace
from ._document_splitter import GLUE, DocumentSplitter

__all__ = ["ConfigurationDecoder", "ConfigurationFormat"]

_ROUTE, _SERVICE, _WORKSPACE = b"r", b"s", b"t"  # kinds of parts of a document, beside `GLUE`
_SEPARATORS = b", \t\r\n"  # what may stand between two elements of a list


class ConfigurationFormat(abc.ABC):
    """Format of the operator's documents: a JSON object with lists of routes, services and workspaces.

    The decoding methods raise `ConfigurationError`, which names the location of the error.
    """

    route_list: str
    service_list: str
    workspace_list: str  # may be missing in a document, unlike the other lists

    @abc.abstractmethod
    def decode_route(self, json_object: dict[str, Any]) -> Route:
        """Decodes an element of the list of routes."""

    @abc.abstractmethod
    def decode_service(self, json_object: dict[str, Any]) -> Service:
        """Decodes an element of the list of services."""

    @abc.abstractmethod
    def decode_workspace(self, json_object: dict[str, Any]) -> tuple[Workspace, list[str]]:
        """Decodes an element of the list of workspaces; returns the workspace and its keys."""

    @abc.abstractmethod
    def decode_rest(self, json_object: dict[str, Any]) -> tuple[int, ClientLimits]:
        """Decodes what a document holds beside the lists; returns the version and the limits on callers."""


class ConfigurationDecoder:
    """Divides documents into parts and decodes them, one for each element of a list.

    The cost of a version grows with the parts that differ from the version decoded before. Whatever cannot be decoded
    part by part is decoded as a whole, which also finds the error to report.
    """

    def __init__(self, format_: ConfigurationFormat):
        self._format = format_
        self._kind_by_list = {
            format_.route_list: _ROUTE,
            format_.service_list: _SERVICE,
            format_.workspace_list: _WORKSPACE,
        }
        self._decode_by_kind = {
            _ROUTE: format_.decode_route,
            _SERVICE: format_.decode_service,
            _WORKSPACE: format_.decode_workspace,
        }
        self._splitter = DocumentSplitter(self._kind_by_list)
        self._lock = threading.Lock()
        self._configuration = SiteConfiguration.build(1, [], [], {}, [])
        # The version decoded last: its parts, the positions of the text between the lists, and the decoded elements.
        self._parts: tuple[bytes, ...] = ()
        self._glue_positions: list[int] = []
        self._value_by_part: dict[bytes, Any] = {}

    def split(self, body: bytes) -> tuple[bytes, ...]:
        """Divides a document into parts for `decode`."""
        return self._splitter.split(body)

    def decode(self, parts: tuple[bytes, ...]) -> SiteConfiguration:
        """Returns the configuration; raises `ConfigurationError` with the location of the first error."""
        if parts[0].startswith(UNDIVIDED):
            parts = self.split(parts[0][len(UNDIVIDED) :])
        with self._lock:
            try:
                return self._decode_changes(parts)
            except (ValueError, KeyError):
                return self.decode_whole(join_parts(parts))

    def decode_whole(self, body: bytes) -> SiteConfiguration:
        """Like `decode`, for a document that is not divided."""
        try:
            value = load_json(body)
        except ValueError as error:
            raise ConfigurationError(f"the configuration is not JSON: {error}") from None
        format_ = self._format
        _require(isinstance(value, dict), "the configuration must be an object")
        services = [format_.decode_service(element) for element in self._elements(value, format_.service_list)]
        routes = [format_.decode_route(element) for element in self._elements(value, format_.route_list)]
        workspaces, workspace_by_key = _collect_workspaces(
            [format_.decode_workspace(element) for element in self._elements(value, format_.workspace_list)]
        )
        version, client_limits = format_.decode_rest(value)
        return SiteConfiguration.build(version, routes, services, workspace_by_key, workspaces, client_limits)

    def _elements(self, value: dict[str, Any], name: str) -> list[dict[str, Any]]:
        elements = value.get(name)
        if elements is None and name == self._format.workspace_list:
            return []
        _require(
            isinstance(elements, list) and all(isinstance(element, dict) for element in elements),
            f"{name} must be a list of objects",
        )
        return elements

    def _decode_changes(self, parts: tuple[bytes, ...]) -> SiteConfiguration:
        blocks = changed_blocks(self._parts, parts)
        before = {part for start, end, _, _ in blocks for part in self._parts[start:end]}
        after = [part for _, _, start, end in blocks for part in parts[start:end]]
        added = [part for part in after if part not in before and not part.startswith(GLUE)]
        removed = [part for part in before.difference(after) if not part.startswith(GLUE)]
        is_any_equal = len(set(after)) < len(after) or any(part in self._value_by_part for part in added)
        _require(not is_any_equal, "some parts are equal")
        glue_positions = self._updated_glue_positions(parts, blocks)
        rest = load_json(b"".join([parts[position][1:] for position in glue_positions]))
        _require(isinstance(rest, dict), "the configuration must be an object")
        for name in self._kind_by_list:
            _require(not self._elements(rest, name), f"{name} is not divided")
        added_value_by_part = {part: self._decode_part(part) for part in added}
        changed_kinds = {part[:1] for part in (*added, *removed)}
        services = workspaces = workspace_by_key = None
        if _SERVICE in changed_kinds:
            services = self._values(parts, _SERVICE, added_value_by_part)
        if _WORKSPACE in changed_kinds:
            workspaces, workspace_by_key = _collect_workspaces(self._values(parts, _WORKSPACE, added_value_by_part))
        version, client_limits = self._format.decode_rest(rest)
        self._configuration = self._configuration.with_changes(
            version,
            [self._value_by_part[part] for part in removed if part.startswith(_ROUTE)],
            [value for part, value in added_value_by_part.items() if part.startswith(_ROUTE)],
            services,
            workspace_by_key,
            workspaces,
            client_limits,
        )
        self._parts, self._glue_positions = parts, glue_positions
        self._value_by_part.update(added_value_by_part)
        for part in removed:
            del self._value_by_part[part]
        return self._configuration

    def _updated_glue_positions(self, parts: tuple[bytes, ...], blocks: list[tuple[int, int, int, int]]) -> list[int]:
        """Returns the positions in `parts` of the text between the lists; looks only at the changed blocks."""
        positions, kept_from, shift = [], 0, 0
        for base_start, base_end, start, end in [*blocks, (len(self._parts), len(self._parts), len(parts), len(parts))]:
            positions += [position + shift for position in self._glue_positions if kept_from <= position < base_start]
            positions += [position for position in range(start, end) if parts[position][0] == GLUE[0]]
            kept_from, shift = base_end, end - base_end
        return positions

    def _values(self, parts: tuple[bytes, ...], kind: bytes, added_value_by_part: dict[bytes, Any]) -> list[Any]:
        """Returns the elements of one list in order."""
        values = {**self._value_by_part, **added_value_by_part}
        return [values[part] for part in parts if part[0] == kind[0]]

    def _decode_part(self, part: bytes) -> Any:
        json_object = load_json(part[1:].lstrip(_SEPARATORS), depth=2)
        _require(isinstance(json_object, dict), "an element must be an object")
        return self._decode_by_kind[part[:1]](json_object)


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ConfigurationError(message)


def _collect_workspaces(pairs: list[tuple[Workspace, list[str]]]) -> tuple[list[Workspace], dict[str, Workspace]]:
    """Returns the workspaces, and the workspace of each key."""
    workspace_by_key: dict[str, Workspace] = {}
    for workspace, keys in pairs:
        for key in keys:
            owner = workspace_by_key.setdefault(key, workspace)
            if owner.name != workspace.name:
                raise ConfigurationError(f"workspace {workspace.name!r}: a key belongs to {owner.name!r} too")
    return [workspace for workspace, _ in pairs], workspace_by_key
