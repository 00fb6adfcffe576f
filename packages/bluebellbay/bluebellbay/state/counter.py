"""Counters of query decisions, for the metrics."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class QueryCounters:
    """Number of events since the node started.

    :param first_legs: First legs for their keys.
    :param hedges: Legs sent while another leg for the same keys was running.
    :param retries: Legs sent after another leg for the same keys failed.
    :param replacements: Legs sent in place of a leg that was certainly not
        executed.
    :param restarts: Queries restarted on another snapshot.
    :param cancelled: Legs cancelled by this node.
    :param dropped: Replies and refusals discarded because they matched no
        leg in flight.
    :param ejections: Ejections of servers.
    """

    first_legs: int = 0
    hedges: int = 0
    retries: int = 0
    replacements: int = 0
    restarts: int = 0
    cancelled: int = 0
    dropped: int = 0
    ejections: int = 0
