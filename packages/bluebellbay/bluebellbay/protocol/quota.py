"""Messages by which nodes lend each other requests of a client account."""

import dataclasses

from bluebellbay.protocol.node import NodeEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaAsk:
    """A node asks a lender for requests of a client account.

    :param account: Name of the client account.
    :param count: Number of requests that it would run.
    """

    account: str
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AskLender:
    """Ask a peer to lend requests.

    ``LenderAnswered`` or ``LenderFailed`` reports how it ended.

    :param attempt: Number of the ask.
    :param peer: The lender.
    :param ask: What is asked for.
    :param timeout_s: Seconds after which the transport gives up.
    """

    attempt: int
    peer: NodeEntry
    ask: QuotaAsk
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LenderAnswered:
    """A lender has answered an ask.

    :param attempt: Number of the ask.
    :param granted: Number of requests lent.
    :param room_s: Seconds until the lender has room again; 0 if it granted.
    """

    attempt: int
    granted: int
    room_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LenderFailed:
    """A lender has not answered an ask.

    :param attempt: Number of the ask.
    :param reason: Short description of the failure.
    """

    attempt: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaAsked:
    """A peer asks this node to lend requests.

    :param exchange: Unique number of the exchange.
    :param ask: What it asks for.
    """

    exchange: int
    ask: QuotaAsk


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaAnswer:
    """Answer a peer's ask.

    :param exchange: Number of the exchange.
    :param granted: Number of requests lent.
    :param room_s: Seconds until there is room again; 0 if granted.
    """

    exchange: int
    granted: int
    room_s: float = 0.0
