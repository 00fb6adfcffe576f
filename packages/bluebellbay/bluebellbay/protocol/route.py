"""Routes: which requests go to which services, and under what limits."""

import dataclasses
import enum


class Idempotency(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NOT_IDEMPOTENT = "not idempotent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One of the services that share a route's requests.

    :param service: Name of the service.
    :param weight: Its share, relative to the others.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScatterRule:
    """How a query over shards is answered.

    :param shards: Names of the services that hold a shard each.
    :param most_records: Records in an answer, the greatest of all.
    :param least_coverage: Least fraction of the shards in an answer.
    """

    shards: tuple[str, ...]
    most_records: int
    least_coverage: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """What happens to the requests of one host and path prefix.

    Either ``scatter`` is set or ``services`` names at least one service.

    :param name: Name of the route.
    :param host: Value of the ``Host`` header, in lower case.
    :param prefix: Beginning of the path, from slash to slash.
    :param repeatability: Whether its requests may run more than once.
    :param timeout_s: Longest time in seconds that a caller is kept waiting.
    :param objective_s: Latency objective in seconds.
    :param most_attempts: Most replicas of a service that one request goes to.
    :param rank: Priority; 0 is the most urgent.
    :param services: Services that share the requests.
    :param scatter: How a query over shards is answered, if it is one.
    """

    name: str
    host: str
    prefix: str
    idempotency: Idempotency
    timeout_s: float
    objective_s: float
    most_attempts: int
    rank: int
    services: tuple[WeightedService, ...] = ()
    scatter: ScatterRule | None = None

    @property
    def idempotent(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLimits:
    """What is configured for one service.

    :param name: Name of the service.
    :param connections: Connections that one replica accepts, from all nodes.
    """

    name: str
    connections: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    :param header_bytes: Most bytes of a request's head.
    :param body_bytes: Most bytes of a request's body.
    :param header_timeout_s: Most seconds until the head is read.
    :param idle_timeout_s: Most seconds between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteConfiguration:
    """One version of the operators' configuration, whole.

    :param version: Its version; a higher one replaces a lower one.
    :param routes: All routes.
    :param services: Limits of each service, by name.
    :param limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: CallerLimits
