"""Routes from requests to services, and the limits that apply."""

import dataclasses
import enum

from bluebellbay.protocol.account import ClientAccount


class Idempotency(enum.Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NOT_IDEMPOTENT = "not idempotent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One of the services that a route distributes its requests over.

    :param service: Name of the service.
    :param weight: Weight of the service, relative to the others.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScatterRule:
    """How a query is sent to all shards and the replies are merged.

    :param shards: Names of the services, one for each shard.
    :param most_records: Maximum number of records in an answer; the greatest
        of all shards are kept.
    :param min_coverage: Minimum fraction of the shards that an answer must
        include, 0 to 1.
    """

    shards: tuple[str, ...]
    most_records: int
    min_coverage: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How the requests for one host and path prefix are handled.

    Either ``scatter`` is set or ``services`` names at least one service.

    :param name: Name of the route.
    :param host: Value of the ``Host`` header, in lower case.
    :param prefix: Path prefix, which begins and ends with a slash.
    :param idempotency: Whether its requests may be executed more than once.
    :param timeout_s: Maximum time in seconds until a caller is answered.
    :param objective_s: Latency objective in seconds.
    :param most_attempts: Maximum number of replicas of a service that one
        request is sent to.
    :param rank: Priority; 0 is the highest.
    :param services: Services that the requests are distributed over.
    :param scatter: Set if a request is a query over shards.
    :param public: Whether its requests need no API key although client
        accounts are configured.
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
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may be resent after it may have been executed."""
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLimits:
    """Limits of one service.

    :param name: Name of the service.
    :param connections: Maximum number of connections to one replica, over all
        nodes.
    :param warmup_s: Seconds for which a replica is cold after it started.
    :param warmup_per_s: Requests per second that a cold replica takes, over
        all nodes; 0 for no limit.
    """

    name: str
    connections: int
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size and time limits of callers' requests.

    :param header_bytes: Maximum size of a request's head in bytes.
    :param body_bytes: Maximum size of a request's body in bytes.
    :param header_timeout_s: Maximum time in seconds until a request's head is
        read.
    :param idle_timeout_s: Maximum time in seconds between two requests of a
        connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteConfiguration:
    """One complete version of the operators' configuration.

    :param version: Version number; a higher one replaces a lower one.
    :param routes: All routes.
    :param services: Limits of each service, by name.
    :param limits: Limits on callers.
    :param accounts: Client accounts; ``None`` if callers need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: CallerLimits
    accounts: tuple[ClientAccount, ...] | None = None
