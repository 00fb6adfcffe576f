"""Messages by which nodes share the rate limits that replicas name."""

import dataclasses

from bluebellbay.protocol.node import NodeEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateNews:
    """What a node heard of a replica's rate limit.

    :param per_s: Requests a second that the replica takes from all nodes;
        ``None`` if it names no limit any more.
    :param heard_s_ago: Seconds since a node heard this from the replica.
    """

    per_s: float | None
    heard_s_ago: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitAsk:
    """A node asks a lender whether it may send one request to a replica.

    :param node: Name of the node that asks.
    :param replica_id: Identity of the replica.
    :param started_ms: Start time of its incarnation in Unix milliseconds.
    :param news: What the node knows of the limit.
    :param wanted: Whether it would send a request; else it only tells.
    """

    node: str
    replica_id: str
    started_ms: int
    news: RateNews
    wanted: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AskForPermit:
    """Ask a peer whether this node may send one request to a replica.

    ``PermitAnswered`` or ``PermitFailed`` reports how it ended.

    :param attempt: Number of the ask.
    :param peer: The lender.
    :param ask: What is asked for.
    :param timeout_s: Seconds after which the transport gives up.
    """

    attempt: int
    peer: NodeEntry
    ask: PermitAsk
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitAnswered:
    """A lender has answered.

    :param attempt: Number of the ask.
    :param granted: Whether one request may be sent at once.
    :param room_s: Seconds until the lender has room; 0 if it granted.
    :param news: What the lender knows of the limit; ``None`` if nothing.
    """

    attempt: int
    granted: bool
    room_s: float
    news: RateNews | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitFailed:
    """A lender has not answered.

    :param attempt: Number of the ask.
    :param reason: Short description of the failure.
    """

    attempt: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitAsked:
    """A peer asks this node whether it may send a request to a replica.

    :param exchange: Unique number of the exchange.
    :param ask: What it asks for.
    """

    exchange: int
    ask: PermitAsk


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitAnswer:
    """Answer a peer's ask.

    :param exchange: Number of the exchange.
    :param granted: Whether the peer may send one request at once.
    :param room_s: Seconds until there is room; 0 if granted.
    :param news: What this node knows of the limit; ``None`` if nothing.
    """

    exchange: int
    granted: bool
    room_s: float = 0.0
    news: RateNews | None = None
