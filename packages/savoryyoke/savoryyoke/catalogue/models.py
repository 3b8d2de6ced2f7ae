"""Define the accepted configuration as immutable values."""

import dataclasses
import enum
import functools

from savoryyoke.groups.rollout import models as rollout_models
from savoryyoke.intake import conf as intake_conf
from savoryyoke.scarcity import models as scarcity_models


class RequestKind(enum.Enum):
    """Define whether a request may run again and how it is answered."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Destination:
    """Name a service of a route and its relative share of the requests."""

    service_name: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Describe which requests go to which services, and with which limits.

    ``timeout_s`` limits the whole request. ``objective_s`` is the latency
    objective for the answer, or for the first event of a stream, and
    ``pause_limit_s`` the longest pause between two events of a stream that is
    on time; it is None for other routes and if none is configured. The
    ``priority`` 0 is the highest. ``attempts_limit`` is the number of targets
    that one request may be sent to. An empty ``regions`` allows every region.
    """

    name: str
    host: str
    path_prefix: str
    destinations: tuple[Destination, ...]
    kind: RequestKind
    timeout_s: float
    objective_s: float
    attempts_limit: int
    priority: int
    is_public: bool
    is_resumable: bool
    regions: frozenset[str]
    pause_limit_s: float | None = None

    @property
    def may_repeat(self):
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, kw_only=True)
class ColdLimit:
    """Limit the rate of requests that are sent to a cold target.

    ``rate_per_s`` is the total rate of all entries.
    """

    rate_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Describe the targets of a service.

    ``slots`` is the number of batch slots of each target, or None if each
    target reports its own. ``group_shape`` describes the groups that its
    targets form; it is None if they form none.
    """

    name: str
    slots: int | None
    cold_limit: ColdLimit | None
    group_shape: rollout_models.GroupShape | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Team:
    """Describe a team; its ``priority``, if any, overrides the route's."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limit the size of a caller's request and the time to send it."""

    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    header_bytes: int = intake_conf.HEADER_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True)
class Catalogue:
    """Hold one accepted version of the configuration.

    Routes are looked up by host and then by path prefix. ``teams_by_key`` is
    None if requests have no API key.
    """

    version: int
    routes_by_prefix_by_host: dict[str, dict[str, Route]]
    services_by_name: dict[str, Service]
    teams_by_key: dict[str, Team] | None
    caller_limits: CallerLimits

    def find_route(self, *, host, path):
        """Return the route with the longest prefix of ``path``, or None."""
        routes_by_prefix = self.routes_by_prefix_by_host.get(host)
        if routes_by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    @functools.cached_property
    def terms_by_service(self):
        """Return the ``Terms`` for scarce capacity of services with some.

        They are needed with each change of a target, and there may be more
        than a thousand routes.
        """
        return scarcity_models.find_terms_by_service(
            routes=self._routes(), teams=(self.teams_by_key or {}).values()
        )

    @functools.cached_property
    def service_names(self):
        """Return the names of the services, also of those only in routes."""
        return frozenset(self.services_by_name).union(
            destination.service_name
            for route in self._routes()
            for destination in route.destinations
        )

    def _routes(self):
        return [
            route
            for routes_by_prefix in self.routes_by_prefix_by_host.values()
            for route in routes_by_prefix.values()
        ]

    def find_team(self, *, key):
        """Return the team with the API key ``key``, or None."""
        if self.teams_by_key is None or key is None:
            return None
        return self.teams_by_key.get(key)


def index_routes(routes):
    """Return a dictionary by host of dictionaries of routes by prefix."""
    indexed = {}
    for route in routes:
        indexed.setdefault(route.host, {})[route.path_prefix] = route
    return indexed
