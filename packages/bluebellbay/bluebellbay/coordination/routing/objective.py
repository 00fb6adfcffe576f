"""Decides when a query over shards is due, and when it is answered."""

import enum
import math

from bluebellbay.state.decaying_average import DecayingAverage
from bluebellbay.state.lateness import LatenessWindow

# Time for a timer to fire late, and for an answer to be merged, written and
# transmitted.
ANSWER_DELAY_S = 0.006
# The part of it for an answer to be merged, written and transmitted.
WRITE_ANSWER_S = 0.003
# Time for a peer to notice its objective and to write its answer.
PEER_ANSWER_DELAY_S = 0.002
# Time to read an answer. Those of late peers all come at the objective.
READ_ANSWER_S = 0.0004
# Part of the objective by which lateness makes a query due earlier at most.
MAX_LATENESS_SHARE = 1 / 3

# From this share of queries with shards pending on, shards are hedged early.
MIN_PENDING_RATE = 0.3


class Decision(enum.Enum):
    """What to do with a query at its present state."""

    ANSWER = "answer"
    WAIT = "wait"
    GIVE_UP = "give up"


class AnswerTiming:
    """Learns how late answers are, and makes them due earlier by it.

    A node with little processor time handles its timers late, and its peers'
    answers reach it late. It learns both from its own queries.
    """

    def __init__(self) -> None:
        self._timers = LatenessWindow()
        self._peers = LatenessWindow()
        # Share of the recent queries with shards pending when due, by route.
        self._pending_rates: dict[str, DecayingAverage] = {}

    def record_objective(self, late_s: float, now: float) -> None:
        """Record when a query was first handled after it was due.

        :param late_s: Seconds since it was due.
        :param now: Current Unix time in seconds.
        """
        self._timers.add(late_s, now)

    def record_peer(self, late_s: float, now: float) -> None:
        """Record when the answer came of a peer that waited until it was due.

        :param late_s: Seconds since the peer was asked to answer.
        :param now: Current Unix time in seconds.
        """
        self._peers.add(late_s, now)

    def record_completeness(
        self, route: str, *, pending: bool, now: float
    ) -> None:
        """Record whether a query had shards pending when it was due.

        :param route: Name of its route.
        :param pending: Whether it had.
        :param now: Current Unix time in seconds.
        """
        rate = self._pending_rates.get(route)
        if rate is None:
            rate = self._pending_rates[route] = DecayingAverage()
        rate.add(float(pending), now)

    def is_often_incomplete(self, route: str, now: float) -> bool:
        """Tell whether queries of a route are often due with shards pending.

        :param route: Name of the route.
        :param now: Current Unix time in seconds.
        """
        rate = self._pending_rates.get(route)
        return rate is not None and rate.read(now) >= MIN_PENDING_RATE

    def compute_answer_delay(self, objective_s: float, now: float) -> float:
        """Compute how long before the objective a query is due.

        :param objective_s: Latency objective in seconds.
        :param now: Current Unix time in seconds.
        :returns: Seconds; at least ``ANSWER_DELAY_S``.
        """
        delay_s = WRITE_ANSWER_S + self._timers.estimate(now)
        delay_s = min(delay_s, MAX_LATENESS_SHARE * objective_s)
        return max(ANSWER_DELAY_S, delay_s)

    def compute_timer_delay(self, left_s: float, now: float) -> float:
        """Compute how long before its due time a peer's query is answered.

        :param left_s: Seconds until then.
        :param now: Current Unix time in seconds.
        """
        return min(
            self._timers.estimate(now), MAX_LATENESS_SHARE * max(0.0, left_s)
        )

    def compute_peer_delay(
        self, answers: int, left_s: float, now: float
    ) -> float:
        """Compute how long before a query is due its peers are to answer.

        :param answers: Number of peers that answer.
        :param left_s: Seconds until the query is due.
        :param now: Current Unix time in seconds.
        :returns: Seconds; at least those to notice, write and read an answer.
        """
        least_s = PEER_ANSWER_DELAY_S + answers * READ_ANSWER_S
        late_s = min(
            self._peers.estimate(now), MAX_LATENESS_SHARE * max(0.0, left_s)
        )
        return max(least_s, late_s)


def count_required_shards(shards: int, min_coverage: float) -> int:
    """Count the shards that an answer needs.

    :param shards: Number of shards of the query.
    :param min_coverage: Smallest fraction of them in an answer, 0 to 1.
    :returns: The number of shards; at least one.
    """
    tolerance = 1e-9
    return max(1, math.ceil(shards * min_coverage - tolerance))


def decide_answer(
    *,
    shards: int,
    replied: int,
    pending: int,
    expected: int,
    required: int,
    objective_reached: bool,
) -> Decision:
    """Decide whether a query is answered, given up or left to wait.

    Until the objective a complete answer is preferred. After it, a further
    shard adds little to an answer, and each delay costs more. Replicas that
    have been failing are waited for only if the answer needs them, and not
    past the objective.

    :param shards: Number of shards of the query.
    :param replied: Shards that have replied.
    :param pending: Shards that may still reply.
    :param expected: Pending shards that are queried at healthy replicas.
    :param required: Smallest number of shards in an answer.
    :param objective_reached: Whether the latency objective has passed.
    """
    if replied == shards:
        return Decision.ANSWER
    if replied + pending < required:
        return Decision.GIVE_UP
    if objective_reached and replied + expected < required:
        return Decision.GIVE_UP
    if replied >= required and (objective_reached or not expected):
        return Decision.ANSWER
    return Decision.WAIT
