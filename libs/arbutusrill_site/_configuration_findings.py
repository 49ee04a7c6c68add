"""Findings about a configuration that can be decoded but does not do what its author may expect."""

from __future__ import annotations

import abc
import enum
import json
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from ._configuration import Route, SiteConfiguration

__all__ = [
    "CHECKS",
    "Check",
    "Finding",
    "Severity",
    "VersionCheck",
    "check_configuration",
    "place_of",
    "printable",
    "routes_of",
]

_MAX_NAMES = 5  # listed in one finding


class Severity(enum.Enum):
    """Whether a configuration is refused or part of it is without effect, or it may be meant as it is."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(slots=True, frozen=True)
class Finding:
    """Something wrong at one place of a configuration, such as ``route "text"``."""

    severity: Severity
    place: str
    text: str

    @property
    def sort_key(self) -> tuple[bool, str, str]:
        """Key that puts errors first, and each severity in the order of places."""
        return self.severity is not Severity.ERROR, self.place, self.text

    def line(self) -> str:
        """Returns the finding as one line.

        >>> Finding(Severity.WARNING, place_of("service", "desk"), "no route uses it").line()
        'warning: service "desk": no route uses it'
        """
        return printable(f"{self.severity.value}: {self.place}: {self.text}")


def place_of(kind: str, name: str) -> str:
    """Returns the place of a named element; control characters of the name are escaped."""
    return f"{kind} {json.dumps(name, ensure_ascii=False)}"


def printable(text: str) -> str:
    r"""Escapes the characters that would break a line or change the terminal.

    >>> printable("a\nb")
    'a\\nb'
    """
    return "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode() for character in text
    )


class Check(abc.ABC):
    """Search for one kind of mistake; it neither reads nor writes anything."""

    @abc.abstractmethod
    def findings(self, configuration: SiteConfiguration) -> Iterator[Finding]:
        """Yields what is wrong with a configuration."""


class _RouteCheck(Check):
    """Check that looks at one route at a time."""

    severity = Severity.WARNING

    def findings(self, configuration: SiteConfiguration) -> Iterator[Finding]:
        for route in routes_of(configuration):
            for text in self.faults(route):
                yield Finding(self.severity, place_of("route", route.name), text)

    @abc.abstractmethod
    def faults(self, route: Route) -> Iterator[str]:
        """Yields what is wrong with a route."""


class _UnmatchableRoutes(_RouteCheck):
    """Routes whose host or prefix no request can have."""

    severity = Severity.ERROR

    def faults(self, route: Route) -> Iterator[str]:
        if ":" in route.host:
            yield f"never matches: host {route.host!r} has a colon, and requests are matched without their port"
        elif not _is_visible_ascii(route.host):
            yield f"never matches: host {route.host!r} has a character that no host name of a request has"
        if not _is_visible_ascii(route.prefix) or "#" in route.prefix:
            yield f"never matches: prefix {route.prefix!r} has a character that paths have in percent-encoded form only"


class _TimeLimits(_RouteCheck):
    """Routes whose requests are ended before their answers are late."""

    def faults(self, route: Route) -> Iterator[str]:
        if route.timeout_s < route.objective_s:
            yield f"the timeout of {route.timeout_s:g} s is below the objective of {route.objective_s:g} s"


class _OnceOnlyAttempts(_RouteCheck):
    """Routes with more attempts than their requests may run."""

    def faults(self, route: Route) -> Iterator[str]:
        if not route.repeatable and route.max_attempts > 1:
            yield f"allows {route.max_attempts} attempts, but its requests run at most once"


class _TargetsWithoutWeight(_RouteCheck):
    """Services that a route names but never chooses."""

    def faults(self, route: Route) -> Iterator[str]:
        weight_by_service: dict[str, float] = defaultdict(float)
        for target in route.targets:
            weight_by_service[target.service] += target.weight
        for service, weight in weight_by_service.items():
            if weight == 0:
                yield f"never chooses service {json.dumps(service, ensure_ascii=False)}, whose weight is 0"


class _UnusedServices(Check):
    """Services that get no request."""

    def findings(self, configuration: SiteConfiguration) -> Iterator[Finding]:
        targets = [target for route in routes_of(configuration) for target in route.targets]
        named = {target.service for target in targets}
        used = {target.service for target in targets if target.weight > 0}
        for name in configuration.services_by_name.keys() - used:
            text = "its weight is 0 in every route that names it" if name in named else "no route uses it"
            yield Finding(Severity.WARNING, place_of("service", name), text)


class _WorkspaceKeys(Check):
    """Workspaces without keys, and keys that no request can carry."""

    def findings(self, configuration: SiteConfiguration) -> Iterator[Finding]:
        unusable_by_workspace: dict[str, int] = defaultdict(int)
        for key, workspace in configuration.workspace_by_key.items():
            unusable_by_workspace[workspace.name] += not _is_visible_ascii(key)
        for name in configuration.workspaces_by_name:
            place = place_of("workspace", name)
            if name not in unusable_by_workspace:
                yield Finding(Severity.WARNING, place, "has no key, so that no request can belong to it")
            elif unusable_by_workspace[name]:
                text = "of its keys can never match: a key is visible ASCII characters without spaces"
                yield Finding(Severity.ERROR, place, f"{unusable_by_workspace[name]} {text}")


class _Allowances(Check):
    """Workspaces whose burst is less than one request is charged."""

    def findings(self, configuration: SiteConfiguration) -> Iterator[Finding]:
        for workspace in configuration.workspaces_by_name.values():
            limits, charge = workspace.limits, workspace.plain_tokens
            if limits is not None and limits.burst < charge:
                text = (
                    f"a request without token counts is charged {charge:g}, above the burst of {limits.burst:g}: it is "
                    f"only admitted while all of the burst is unused, at most one every {charge / limits.rate:.3g} s"
                )
                yield Finding(Severity.WARNING, place_of("workspace", workspace.name), text)


class _CallerLimits(Check):
    """Limits on callers that refuse every request."""

    def findings(self, configuration: SiteConfiguration) -> Iterator[Finding]:
        limits = configuration.client_limits
        if not limits.header_bytes or not limits.header_s:
            yield Finding(Severity.ERROR, "limits", "no request can be read: the size or the time of a header is 0")
        if not limits.body_bytes:
            yield Finding(Severity.WARNING, "limits", "every request with a body is refused: the size of a body is 0")


class _Homes(Check):
    """Routes and workspaces whose homes have no region in common, so that a request of both may run nowhere."""

    def findings(self, configuration: SiteConfiguration) -> Iterator[Finding]:
        names_by_homes: dict[frozenset[str], list[str]] = defaultdict(list)
        for workspace in configuration.workspaces_by_name.values():
            if workspace.homes:
                names_by_homes[workspace.homes].append(workspace.name)
        for route in routes_of(configuration):
            if not route.homes or route.public:
                continue
            excluded = [name for homes, names in names_by_homes.items() if not homes & route.homes for name in names]
            if excluded:
                is_unusable = len(excluded) == len(configuration.workspaces_by_name)
                text = f"has no region in common with {_listed('workspace', excluded)}: their requests may run nowhere"
                severity = Severity.ERROR if is_unusable else Severity.WARNING
                yield Finding(severity, place_of("route", route.name), text)


class VersionCheck(Check):
    """Version that is not above the one in force, so that the configuration would change nothing."""

    def __init__(self, version_in_force: int):
        self._version_in_force = version_in_force

    def findings(self, configuration: SiteConfiguration) -> Iterator[Finding]:
        """Yields an error if the version is not above the one in force."""
        if configuration.version <= self._version_in_force:
            text = f"version {configuration.version} is not above {self._version_in_force}, which is in force"
            yield Finding(Severity.ERROR, "configuration", f"{text}: it would be acknowledged and change nothing")


CHECKS: tuple[Check, ...] = (
    _UnmatchableRoutes(),
    _TimeLimits(),
    _OnceOnlyAttempts(),
    _TargetsWithoutWeight(),
    _UnusedServices(),
    _WorkspaceKeys(),
    _Allowances(),
    _CallerLimits(),
    _Homes(),
)


def check_configuration(configuration: SiteConfiguration, checks: tuple[Check, ...] = CHECKS) -> list[Finding]:
    """Returns the findings of all checks, errors first, each severity by place.

    >>> from arbutusrill_site import Service
    >>> configuration = SiteConfiguration.build(1, [], [Service("desk")], {}, [])
    >>> [finding.line() for finding in check_configuration(configuration)]
    ['warning: service "desk": no route uses it']
    """
    findings = [finding for check in checks for finding in check.findings(configuration)]
    return sorted(findings, key=lambda finding: finding.sort_key)


def routes_of(configuration: SiteConfiguration) -> Iterator[Route]:
    """Yields all routes, by host."""
    for host_routes in configuration.routes_by_host.values():
        yield from host_routes.by_prefix.values()


def _is_visible_ascii(text: str) -> bool:
    return text != "" and all("!" <= character <= "~" for character in text)


def _listed(kind: str, names: list[str]) -> str:
    shown = ", ".join(json.dumps(name, ensure_ascii=False) for name in sorted(names)[:_MAX_NAMES])
    more = f" and {len(names) - _MAX_NAMES} more" if len(names) > _MAX_NAMES else ""
    return f"{kind} {shown}{more}"
