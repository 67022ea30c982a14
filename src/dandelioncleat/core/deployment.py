"""The operator's configuration of a deployment."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from dandelioncleat.core.stable_hash import stable_hash

_HASH_RANGE = 2.0**64
_BITS_PER_BYTE = 8
_BITS_PER_MB = 1e6


class CallKind(StrEnum):
    """Whether a call may run more than once.

    A stream runs once unless its route lets it be resumed.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class WeightedService(NamedTuple):
    """A service and its weight in a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests of a host and path prefix go.

    ``timeout_s`` limits a request, ``objective_s`` is its latency objective.
    ``priority`` 0 is the most urgent. ``attempts`` is the maximum number of
    targets that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int
    attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        match self.kind:
            case CallKind.IDEMPOTENT:
                return True
            case CallKind.STREAM:
                return self.is_resumable
            case CallKind.ONCE:
                return False

    def service_for(self, request: str) -> str:
        """Return the service for a request, the same for equal requests."""
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return self.shares[0].service
        point = stable_hash(request) / _HASH_RANGE * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class RouteTable:
    """Finds the route of a request by its host and longest path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Index the routes."""
        self._by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        by_prefix = self._by_prefix_by_host.get(host.lower(), {})
        end = path.rfind('/') + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


class Engine(NamedTuple):
    """The capacity of a service's model engines.

    ``tokens_per_event`` is the most generated tokens in one stream event.
    ``token_bytes`` is the memory of a cached token, ``link_mbps`` the bandwidth
    of a target's link to the others in Mbit/s; both are 0 if unknown.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int
    token_bytes: int = 0
    link_mbps: float = 0

    @property
    def fetch_s_per_token(self) -> float | None:
        """Return how long a cached token takes to another target."""
        if self.token_bytes <= 0 or self.link_mbps <= 0:
            return None
        token_bits = self.token_bytes * _BITS_PER_BYTE
        return token_bits / (self.link_mbps * _BITS_PER_MB)


class ColdStart(NamedTuple):
    """How the targets of a service start.

    ``span_s`` is for how long a target is cold, ``rate_per_s`` how many
    requests a second it tolerates meanwhile, from all hosts together.
    """

    span_s: float
    rate_per_s: float


class Service(NamedTuple):
    """A service; ``engine`` is set if its targets run a model.

    ``cold_start`` is ``None`` if its targets bear all requests at once.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    cold_start: ColdStart | None = None


class Organisation(NamedTuple):
    """A customer; ``prepaid`` is its token total, ``None`` if unlimited.

    ``priority``, if set, overrides the priority of the route.
    """

    name: str
    priority: int | None = None
    prepaid: int | None = None


class CallerLimits(NamedTuple):
    """Limits on callers' requests, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Deployment(NamedTuple):
    """One version of the configuration, indexed for serving."""

    version: int
    routes: RouteTable
    services_by_name: Mapping[str, Service]
    organisations_by_name: Mapping[str, Organisation]
    organisations_by_key: Mapping[str, Organisation]
    limits: CallerLimits


class TargetEntry(NamedTuple):
    """One target in the platform's list.

    ``started_at`` distinguishes starts of a target under the same id;
    ``sequence`` rises with each entry that a start writes.
    ``software_version`` is ``None`` if the entry tells none; streams of two
    versions don't fit together. ``cold_s`` is for how long the target is still
    cold, in seconds from when the entry was written.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    started_at: int
    software_version: str | None = None
    sequence: int = 0
    cold_s: float = 0

    @property
    def start(self) -> str:
        """Return the id of this start of the target."""
        return f'{self.id}/{self.started_at}'
