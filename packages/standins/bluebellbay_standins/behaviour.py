"""What a backend server is told to do, and what it has seen."""

import dataclasses

from bluebellbay.protocol.leg import Holding


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendBehaviour:
    """What a backend server does; each field may be set while it runs.

    :param holdings: The ranges that it holds.
    :param slots: Legs that it runs at once.
    :param queue_limit: Legs that it lets wait for a slot.
    :param connection_limit: Connections that it accepts at once.
    :param connect_ms: Time in ms before a new connection is served.
    :param median_ms: Median time in ms that a leg runs.
    :param spread: Standard deviation of the logarithm of that time.
    :param straggle_factor: Factor on the time that a leg runs.
    :param cold_s: Time in seconds from the start until it is warm.
    :param cold_factor: Factor on the time that a leg runs while cold.
    :param shed_share: Share of legs refused as overloaded.
    :param leaving: Whether it refuses new legs as leaving.
    :param down: Whether it has closed its port and all connections.
    :param said_holdings: Holdings that its health endpoint states instead.
    :param said_load: Load that its answers and health state instead.
    :param said_leaving: Leaving mark that its health states instead.
    :param health_hangs: Whether its health endpoint never answers.
    :param lose_replies: Next legs run whose reply is lost.
    :param truncate_replies: Next legs run whose reply is cut short.
    :param foreign_replies: Next legs run that reply for another attempt.
    :param failed_replies: Next legs run that are answered 500.
    """

    holdings: tuple[Holding, ...] = ()
    slots: int = 2
    queue_limit: int = 64
    connection_limit: int = 25
    connect_ms: float = 6.0
    median_ms: float = 2.0
    spread: float = 0.3
    straggle_factor: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 1.0
    shed_share: float = 0.0
    leaving: bool = False
    down: bool = False
    said_holdings: tuple[Holding, ...] | None = None
    said_load: float | None = None
    said_leaving: bool | None = None
    health_hangs: bool = False
    lose_replies: int = 0
    truncate_replies: int = 0
    foreign_replies: int = 0
    failed_replies: int = 0


@dataclasses.dataclass(kw_only=True)
class BackendCounts:
    """What a backend server has seen since its start.

    :param legs: Legs that arrived.
    :param executions: Legs that began to run.
    :param executions_by_request: The same by the caller's request id.
    :param refused: Legs refused, by reason.
    :param cancelled_queued: Legs cancelled before they ran.
    :param cancelled_running: Legs cancelled while they ran.
    :param overdue: Legs stopped while they ran, at their deadline.
    :param running: Legs running now.
    :param most_running: Most legs that ran at once.
    :param connections: Connections open now.
    :param most_connections: Most connections open at once.
    :param connections_made: Connections accepted.
    :param connections_refused: Connections closed for the limit.
    :param polls: Reads of the health endpoint.
    :param legs_while_leaving: Legs that arrived while it was leaving.
    :param last_leg_after_leaving_s: Time in seconds from the start of
        leaving to the last leg that arrived since.
    """

    legs: int = 0
    executions: int = 0
    executions_by_request: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    cancelled_queued: int = 0
    cancelled_running: int = 0
    overdue: int = 0
    running: int = 0
    most_running: int = 0
    connections: int = 0
    most_connections: int = 0
    connections_made: int = 0
    connections_refused: int = 0
    polls: int = 0
    legs_while_leaving: int = 0
    last_leg_after_leaving_s: float = 0.0
