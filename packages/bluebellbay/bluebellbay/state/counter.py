"""Counters of what the query decisions did, for the metrics."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class QueryCounters:
    """What has happened since the node started.

    :param first_legs: Legs that were the first for their keys.
    :param hedges: Legs sent while another one for their keys ran.
    :param retries: Legs sent after one for their keys had failed.
    :param replacements: Legs sent after one positively did not run.
    :param restarts: Queries started anew on another snapshot.
    :param cancelled: Legs that were told to stop.
    :param dropped: Replies and refusals that fitted no leg in flight.
    :param ejections: Servers set aside.
    """

    first_legs: int = 0
    hedges: int = 0
    retries: int = 0
    replacements: int = 0
    restarts: int = 0
    cancelled: int = 0
    dropped: int = 0
    ejections: int = 0
