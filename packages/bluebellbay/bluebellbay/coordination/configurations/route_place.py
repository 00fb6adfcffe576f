"""Places in a route configuration, by their meaning."""

import dataclasses
import enum


class Part(enum.Enum):
    """A part of a route configuration."""

    VERSION = "version"
    ROUTE = "route"
    SERVICE = "service"
    ACCOUNT = "client account"
    LIMITS = "limits on callers"


class Field(enum.Enum):
    """A field of an entry; the value names it in reports."""

    NAME = "name"
    HOST = "host"
    PREFIX = "prefix"
    IDEMPOTENCY = "may run more than once"
    TIMEOUT = "time-out"
    OBJECTIVE = "latency objective"
    ATTEMPTS = "attempts"
    RANK = "priority"
    SERVICES = "services"
    SPLIT = "split"
    SHARDS = "shards"
    MOST_RECORDS = "records of an answer"
    COVERAGE = "share of shards in an answer"
    PUBLIC = "public"
    CONNECTIONS = "connections to a replica"
    WARMUP_TIME = "warm-up time"
    WARMUP_RATE = "requests per second while cold"
    KEYS = "keys"
    RATE = "rate"
    BURST = "burst"
    HEADER_BYTES = "bytes of a head"
    BODY_BYTES = "bytes of a body"
    HEADER_TIMEOUT = "time-out of a head"
    IDLE_TIMEOUT = "time-out of an idle connection"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """A place in a route configuration.

    :param part: The part.
    :param index: Number of the entry, from 0; ``None`` for the whole part.
    :param field: Field of the entry; ``None`` for the whole entry.
    :param item: Number of the item in the field, from 0; ``None`` for the
        whole field.
    """

    part: Part
    index: int | None = None
    field: Field | None = None
    item: int | None = None
