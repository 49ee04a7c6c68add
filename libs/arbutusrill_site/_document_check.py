"""Check of a whole document: what its decoder refuses, names that are repeated, and the findings of the checks."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from ._configuration import ClientLimits, ConfigurationError, Route, Service, SiteConfiguration, Workspace
from ._configuration_comparison import Difference, compare_configurations
from ._configuration_decoder import ConfigurationDecoder, ConfigurationFormat
from ._configuration_findings import (
    CHECKS,
    Finding,
    Severity,
    VersionCheck,
    check_configuration,
    place_of,
)

__all__ = ["DocumentReport", "check_document"]

_REFUSAL = re.compile(r"""(\w+)(?: (?:'(.*?)'|"(.*?)"))?: (.+)""", re.DOTALL)


@dataclass(slots=True, frozen=True)
class DocumentReport:
    """Findings about a document, and its differences from the version in force if that was given."""

    findings: list[Finding] = field(default_factory=list)
    differences: list[Difference] = field(default_factory=list)


class _RecordingFormat(ConfigurationFormat):
    """Passes on to another format and keeps the names and routes that it decodes, also those that are repeated."""

    def __init__(self, format_: ConfigurationFormat):
        self._format = format_
        self.route_list = format_.route_list
        self.service_list = format_.service_list
        self.workspace_list = format_.workspace_list
        self.routes: list[Route] = []
        self.count_by_place: Counter[str] = Counter()  # of services and workspaces

    def decode_route(self, json_object: dict[str, Any]) -> Route:
        route = self._format.decode_route(json_object)
        self.routes.append(route)
        return route

    def decode_service(self, json_object: dict[str, Any]) -> Service:
        service = self._format.decode_service(json_object)
        self.count_by_place[place_of("service", service.name)] += 1
        return service

    def decode_workspace(self, json_object: dict[str, Any]) -> tuple[Workspace, list[str]]:
        workspace, keys = self._format.decode_workspace(json_object)
        self.count_by_place[place_of("workspace", workspace.name)] += 1
        return workspace, keys

    def decode_rest(self, json_object: dict[str, Any]) -> tuple[int, ClientLimits]:
        return self._format.decode_rest(json_object)

    def findings(self) -> Iterator[Finding]:
        """Yields the routes that are shadowed and the names that are not unique."""
        routes_by_match: dict[tuple[str, str], list[Route]] = defaultdict(list)
        for route in self.routes:
            routes_by_match[route.host, route.prefix].append(route)
        for (host, prefix), (first, *others) in routes_by_match.items():
            for route in others:
                text = f"never matches: {place_of('route', first.name)} before it has host {host} and prefix {prefix}"
                yield Finding(Severity.ERROR, place_of("route", route.name), text)
        for name, count in Counter(route.name for route in self.routes).items():
            if count > 1:
                text = f"{count} routes have this name: logs and metrics cannot tell them apart"
                yield Finding(Severity.WARNING, place_of("route", name), text)
        for place, count in self.count_by_place.items():
            if count > 1:
                text = f"{count} entries have this name, so that their settings replace each other"
                yield Finding(Severity.ERROR, place, text)


def check_document(
    format_: ConfigurationFormat, body: bytes, in_force: SiteConfiguration | None = None
) -> DocumentReport:
    """Decodes a document once, and returns its findings and its differences from the version `in_force`.

    A document that the decoder refuses has no differences, and its findings are the refusal and repeated names; the
    other checks need a document that can be decoded.
    """
    recording = _RecordingFormat(format_)
    try:
        configuration = ConfigurationDecoder(recording).decode_whole(body)
    except ConfigurationError as error:
        return DocumentReport([_refusal(str(error)), *recording.findings()])
    checks = CHECKS if in_force is None else (VersionCheck(in_force.version), *CHECKS)
    findings = [*recording.findings(), *check_configuration(configuration, checks)]
    findings.sort(key=lambda finding: finding.sort_key)
    return DocumentReport(findings, compare_configurations(in_force, configuration) if in_force is not None else [])


def _refusal(message: str) -> Finding:
    """Returns the finding for a refusal of the decoder, whose messages begin with their place if they have one."""
    match = _REFUSAL.fullmatch(message)
    if match is None:
        return Finding(Severity.ERROR, "configuration", message)
    kind, name = match[1], match[2] or match[3]
    return Finding(Severity.ERROR, place_of(kind, name) if name else kind, match[4])
