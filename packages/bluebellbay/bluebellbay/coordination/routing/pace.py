"""Pace at which a replica that started or came back gets its work again.

The share of the work doubles with each step. Answers raise it, at the earliest
a round after the last change; without any it rises with time. A bad answer
halves it. Only answers to requests that were sent after the last change count,
as others tell nothing of the present share.
"""

import enum
import math

from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.state.pace import PaceRecord

# Steps from the least share, a sixteenth, to the whole.
MAX_LEVEL = 4
# As long as a slow answer usually takes, so that a bad one comes first.
MIN_ROUND_S = 0.2
# Time without a bad answer that raises the share by itself.
IDLE_ROUND_S = 0.5
# Each bad answer in a row doubles that time, up to this many.
MAX_DOUBLINGS = 3
# Good answers of a replica to all nodes together that raise its share; each
# node sees its part of them.
ANSWERS_PER_ROUND = 8
# Others on a replica's machine make work take 2.5 times as long, which is no
# sign that the replica has too much of it.
BAD_LATENCY_FACTOR = 4.0
GOOD_LATENCY_FACTOR = 2.0
# After a shorter time without requests a replica is used as before.
MIN_IDLE_S = 1.0
# After this time at its whole share a replica is like all others.
PROBATION_S = 5.0


class Verdict(enum.Enum):
    """What an answer says of the present share of a replica."""

    GOOD = "good"
    NEUTRAL = "neutral"
    BAD = "bad"


def judge_reply(
    seconds: float, usual_s: float, condition: ReplicaCondition
) -> Verdict:
    """Judge a reply by its time and by the load that the replica reports.

    :param seconds: Time from the sending of the request to its reply.
    :param usual_s: Usual time of the route; 0 if not known.
    :param condition: What the reply tells of the replica.
    """
    load = condition.load
    if load is not None and load.waiting > load.slots:
        return Verdict.BAD
    if usual_s and seconds > BAD_LATENCY_FACTOR * usual_s:
        return Verdict.BAD
    if usual_s and seconds > GOOD_LATENCY_FACTOR * usual_s:
        return Verdict.NEUTRAL
    return Verdict.GOOD


def note_answer(
    pace: PaceRecord,
    verdict: Verdict,
    *,
    sent_at: float,
    now: float,
    nodes: int,
) -> None:
    """Raise or lower the share of a replica after an answer.

    :param pace: The replica's progress, which is updated.
    :param verdict: What the answer says.
    :param sent_at: Time in seconds when its request was sent.
    :param now: Current time in seconds.
    :param nodes: Number of nodes that send requests to the replica.
    """
    if sent_at < pace.changed_at:
        return
    if verdict is Verdict.BAD:
        _set_level(pace, max(0, pace.level - 1), now)
        pace.bad += 1
        return
    if verdict is Verdict.NEUTRAL or pace.level >= MAX_LEVEL:
        return
    pace.good += 1
    if pace.bad:
        # The time without a good answer must not count by the shorter rounds.
        pace.bad = 0
        pace.changed_at = now
    needed = math.ceil(ANSWERS_PER_ROUND / max(1, nodes))
    if pace.good >= needed and now >= pace.changed_at + MIN_ROUND_S:
        _set_level(pace, pace.level + 1, now)


def compute_share(pace: PaceRecord, now: float) -> float:
    """Compute the share of the work that a replica may get.

    :param pace: The replica's progress, which is updated.
    :param now: Current time in seconds.
    :returns: The share, above 0 and at most 1.
    """
    round_s = IDLE_ROUND_S * 2 ** min(pace.bad, MAX_DOUBLINGS)
    if pace.level < MAX_LEVEL and now >= pace.changed_at + round_s:
        rounds = int((now - pace.changed_at) / round_s)
        level = min(MAX_LEVEL, pace.level + rounds)
        passed_s = (level - pace.level) * round_s
        _set_level(pace, level, pace.changed_at + passed_s)
    return float(2.0 ** (pace.level - MAX_LEVEL))


def is_over(pace: PaceRecord, now: float) -> bool:
    """Tell whether a replica is like all others again.

    :param pace: The replica's progress.
    :param now: Current time in seconds.
    """
    return pace.level >= MAX_LEVEL and now >= pace.changed_at + PROBATION_S


def _set_level(pace: PaceRecord, level: int, at: float) -> None:
    pace.level = level
    pace.changed_at = at
    pace.good = 0
