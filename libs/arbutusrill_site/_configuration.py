"""Configuration of a site: routes, services, workspaces and the limits on callers."""

from __future__ import annotations

import enum
import random
from collections import Counter
from dataclasses import dataclass, field

from arbutusrill_limits import Limits

__all__ = [
    "ClientLimits",
    "ConfigurationError",
    "Engine",
    "HostRoutes",
    "Route",
    "RouteKind",
    "Service",
    "SiteConfiguration",
    "Target",
    "Workspace",
]


_MAX_RANK = 1_000_000  # messages hold 32 bits
_ROUTE_RANKS = 10  # ranks of routes that are told apart within one rank of workspaces


class ConfigurationError(ValueError):
    """Inconsistent configuration; the message names the route and the fault."""


class RouteKind(enum.Enum):
    """Retry semantics of the requests of a route; see `Route.repeatable`."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Target:
    """Service that receives a share of the requests of a route; weights are relative."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Handling of the requests with one host and path prefix. Times are in seconds.

    `max_attempts` bounds the number of backend servers that may run one request. A `resumable` stream may continue
    at another backend server. Requests of a `public` route need no API key. `event_gap_s` is the longest pause between
    events that callers accept. `homes` are the regions in which its requests may run, empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    targets: tuple[Target, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    event_gap_s: float = 0.0
    priority: int = 5
    homes: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (self.kind is RouteKind.STREAM and self.resumable)

    def pick_service(self) -> str:
        """Returns a service at random, by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return random.choices(self.targets, weights)[0].service


@dataclass(slots=True, frozen=True)
class Engine:
    """Capacity of each model engine of a service.

    `kv_tokens` is the size of its KV cache, whose handles expire after `kv_cache_ttl_s` seconds.
    """

    slots: int
    kv_tokens: int
    kv_cache_ttl_s: float


@dataclass(slots=True, frozen=True)
class Service:
    """Group of backend servers; `engine` is None for a service without model engines.

    `max_connections` is the number of connections that each server accepts from all callers, 0 if it is not stated.
    A server is cold for `cold_s` seconds after its start, and bears `cold_rate` requests a second meanwhile; 0 for no
    such limit.
    """

    name: str
    engine: Engine | None = None
    cold_s: float = 0.0
    cold_rate: float = 0.0
    max_connections: int = 0


@dataclass(slots=True, frozen=True)
class Workspace:
    """Customer to which callers belong.

    `limits` is None for an unlimited rate. `plain_tokens` is the charge for a request without token counts. `priority`
    is the rank of its requests, where 0 is the most urgent, or None if the route decides. `homes` are as for a route.
    """

    name: str
    limits: Limits | None = None
    plain_tokens: float = 1.0
    priority: int | None = None
    homes: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on requests and connections of callers; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class HostRoutes:
    """Routes of one host by their prefix.

    >>> route = Route("r", "a.example", "/x/", RouteKind.IDEMPOTENT, 1.0, 0.1, (Target("s", 1.0),))
    >>> HostRoutes({"/x/": route}).find("/x/y").name
    'r'
    """

    __slots__ = ("_count_by_length", "_lengths", "by_prefix")

    def __init__(self, by_prefix: dict[str, Route]):
        self.by_prefix = dict(by_prefix)
        self._count_by_length = Counter(map(len, by_prefix))
        self._lengths = sorted(self._count_by_length, reverse=True)

    def copy(self) -> HostRoutes:
        """Returns a copy, whose `add` and `remove` do not change this one."""
        copied = HostRoutes.__new__(HostRoutes)
        copied.by_prefix, copied._lengths = dict(self.by_prefix), self._lengths
        copied._count_by_length = Counter(self._count_by_length)
        return copied

    def add(self, route: Route) -> bool:
        """Adds a route; returns False if there is one with its prefix."""
        if route.prefix in self.by_prefix:
            return False
        self.by_prefix[route.prefix] = route
        self._count(len(route.prefix), 1)
        return True

    def remove(self, route: Route) -> None:
        """Removes a route."""
        del self.by_prefix[route.prefix]
        self._count(len(route.prefix), -1)

    def _count(self, length: int, change: int) -> None:
        self._count_by_length[length] += change
        if self._count_by_length[length] in (0, change):  # the first or the last of this length
            self._count_by_length = +self._count_by_length
            self._lengths = sorted(self._count_by_length, reverse=True)

    def find(self, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`."""
        for length in self._lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclass(slots=True, frozen=True)
class SiteConfiguration:
    """One version of the configuration of a site. Without workspaces, requests need no API key.

    Values are shared between versions and never changed.

    >>> route = Route("r", "a.example", "/x/", RouteKind.IDEMPOTENT, 1.0, 0.1, (Target("s", 1.0),))
    >>> configuration = SiteConfiguration.build(1, [route], [Service("s")], {}, [])
    >>> configuration.route_of("A.example:80", "/x/y").name
    'r'
    >>> configuration.route_of("a.example", "/xy") is None
    True
    """

    version: int
    routes_by_host: dict[str, HostRoutes]
    services_by_name: dict[str, Service]
    workspace_by_key: dict[str, Workspace]
    workspaces_by_name: dict[str, Workspace] = field(default_factory=dict)
    client_limits: ClientLimits = ClientLimits()

    @classmethod
    def build(
        cls,
        version: int,
        routes: list[Route],
        services: list[Service],
        workspace_by_key: dict[str, Workspace],
        workspaces: list[Workspace],
        client_limits: ClientLimits | None = None,
    ) -> SiteConfiguration:
        """Validates the parts and builds the indexes; raises `ConfigurationError` when they are inconsistent."""
        empty = cls(version, {}, {}, {}, {}, client_limits or ClientLimits())
        return empty.with_changes(version, [], routes, services, workspace_by_key, workspaces, empty.client_limits)

    def with_changes(
        self,
        version: int,
        removed: list[Route],
        added: list[Route],
        services: list[Service] | None,
        workspace_by_key: dict[str, Workspace] | None,
        workspaces: list[Workspace] | None,
        client_limits: ClientLimits,
    ) -> SiteConfiguration:
        """Returns a later version; None keeps services or workspaces. Raises `ConfigurationError` as `build` does.

        The cost grows with the routes that change, apart from copies of the indexes of their hosts.
        """
        services_by_name = self.services_by_name
        if services is not None:
            services_by_name = {service.name: service for service in services}
        routes_by_host = self._with_changed_routes(removed, added, services_by_name)
        if not self.services_by_name.keys() <= services_by_name.keys():
            for host_routes in routes_by_host.values():
                for route in host_routes.by_prefix.values():
                    _check_route(route, services_by_name)
        return SiteConfiguration(
            version,
            routes_by_host,
            services_by_name,
            self.workspace_by_key if workspace_by_key is None else workspace_by_key,
            self.workspaces_by_name if workspaces is None else {workspace.name: workspace for workspace in workspaces},
            client_limits,
        )

    def _with_changed_routes(
        self, removed: list[Route], added: list[Route], services_by_name: dict[str, Service]
    ) -> dict[str, HostRoutes]:
        changed_by_host: dict[str, HostRoutes] = {}

        def changed(host: str) -> HostRoutes:
            if host not in changed_by_host:
                current = self.routes_by_host.get(host)
                changed_by_host[host] = current.copy() if current else HostRoutes({})
            return changed_by_host[host]

        for route in removed:
            changed(route.host).remove(route)
        for route in added:
            _check_route(route, services_by_name)
            if not changed(route.host).add(route):
                raise ConfigurationError(f"route {route.name!r}: another route has host {route.host} and its prefix")
        routes_by_host = {**self.routes_by_host, **changed_by_host}
        for host, host_routes in changed_by_host.items():
            if not host_routes.by_prefix:
                del routes_by_host[host]
        return routes_by_host

    @staticmethod
    def rank_of(route: Route, workspace: Workspace | None) -> int:
        """Returns the rank of a request, where 0 is the most urgent.

        That of its workspace goes before its route's, which decides among workspaces of the same rank.

        >>> route = Route("r", "h", "/", RouteKind.STREAM, 1.0, 0.1, (Target("s", 1.0),), priority=2)
        >>> [SiteConfiguration.rank_of(route, Workspace("w", priority=priority)) for priority in (None, 1, 2)]
        [22, 12, 22]
        """
        first = route.priority if workspace is None or workspace.priority is None else workspace.priority
        return min(first, _MAX_RANK) * _ROUTE_RANKS + min(route.priority, _ROUTE_RANKS - 1)

    @staticmethod
    def homes_of(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
        """Returns the regions in which a request may run, None for any; those of route and workspace both bind."""
        homes = [each.homes for each in (route, workspace) if each is not None and each.homes]
        return frozenset.intersection(*homes) if homes else None

    def homes_of_host(self, host: str) -> frozenset[str] | None:
        """Returns the regions in which the requests of all routes of a host may run, None if none of them has homes."""
        routes = self.routes_by_host.get(host.partition(":")[0].lower())
        homes = [route.homes for route in routes.by_prefix.values() if route.homes] if routes is not None else []
        return frozenset.intersection(*homes) if homes else None

    def route_of(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path` among those of `host`."""
        hostname = host.partition(":")[0].lower()
        routes = self.routes_by_host.get(hostname)
        return None if routes is None else routes.find(path)


def _check_route(route: Route, services_by_name: dict[str, Service]) -> None:
    for target in route.targets:
        if target.service not in services_by_name:
            raise ConfigurationError(f"route {route.name!r}: unknown service {target.service!r}")
        if target.weight < 0:
            raise ConfigurationError(f"route {route.name!r}: a weight is negative")
    if sum(target.weight for target in route.targets) <= 0:
        raise ConfigurationError(f"route {route.name!r}: the weights add up to 0")
    if route.timeout_s <= 0:
        raise ConfigurationError(f"route {route.name!r}: the time limit must be above 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise ConfigurationError(f"route {route.name!r}: prefix {route.prefix!r} must begin and end with a slash")
