"""Decides whether a request to a service is sent, waits or is refused.

The decision rests on what the requests of this node met: a service counts as
full only while every replica that may be used has refused lately.
"""

import dataclasses
import enum
import random

# Share of the latency objective that a request waits at most, from its
# arrival.
WAIT_SHARE = 0.25
# Time for a timer to fire late and for the refusal to be written.
WAIT_MARGIN_S = 0.002
# A request is sent this long before its wait ends at the latest, as a refusal
# by a replica comes faster than that.
LAST_SEND_MARGIN_S = 0.008
# Each level that a request gives way by leaves this share of the limit.
LEVEL_SHARE = 0.9
# Each level doubles the time from a refusal to the next request.
LEVEL_FACTOR = 2.0
# Below this limit the requests of a node are too few to tell that there will
# be no room.
SMALL_LIMIT = 2.0
# Share of the requests that is refused at once for each higher rank and for a
# surge, as a multiple of the share of requests that met no room. As that falls
# while others are refused, it settles where the room suffices. A higher gain
# for ranks leaves room unused.
RANK_GAIN = 2.0
SURGE_GAIN = 6.0
MAX_REFUSED_SHARE = 0.6
MIN_RETRY_AFTER_S = 0.02
# Callers that return sooner than this while room is further away make the
# shortage last.
SHORTAGE_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 1.0
# Callers follow a value up to a third of the time that they have left.
FOLLOWED_SHARE = 1 / 3
MIN_SPREAD = 0.75
MAX_SPREAD = 1.5
# Who returns before the end of a pause is refused again.
MAX_PAUSE_SPREAD = 1.25


class Action(enum.Enum):
    """What to do with a request."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestStanding:
    """A request that asks for room.

    :param level: Higher ranks that it gives way to.
    :param surging: Whether it gives way as its account surges.
    :param ahead: Waiting requests that go before it.
    :param left_s: Seconds until its wait ends; negative after that.
    :param draw: Random number, 0 to 1, evenly spread.
    """

    level: int
    surging: bool
    ahead: int
    left_s: float
    draw: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The last answer of a replica, which was a refusal.

    :param age_s: Seconds since it.
    :param gap_s: Seconds from it until the replica is expected to have room.
    """

    age_s: float
    gap_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCondition:
    """What this node knows of the room at a service.

    :param in_flight: Requests of this node that replicas have.
    :param limit: Limit on these; infinite if there were no refusals lately.
    :param refusals: Last refusal of each replica that may be used; empty if
        one of them has not refused lately.
    :param shortage: Share of the recent requests that met no room.
    :param end_interval_s: Expected seconds between the ends of requests of
        this node.
    """

    in_flight: int
    limit: float
    refusals: tuple[Refusal, ...]
    shortage: float
    end_interval_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueDecision:
    """The decision on a request.

    :param action: What to do.
    :param wait_s: Seconds until room is expected; 0 if it is sent.
    """

    action: Action
    wait_s: float = 0.0


SEND = QueueDecision(action=Action.SEND)


def decide(
    standing: RequestStanding, condition: ServiceCondition
) -> QueueDecision:
    """Decide on a request.

    A node with few requests seldom has two to put in order. Therefore a
    request that gives way to others may be refused at once, the more likely
    the more requests met no room, so that those others meet less shortage.

    A request that gives way to no other is sent before its wait ends also if
    no room is expected by then, as this is a guess from few answers.

    :param standing: The request.
    :param condition: What is known of the service.
    """
    place_s = _compute_place_wait(standing, condition)
    wait_s = max(place_s, _compute_hold(standing, condition))
    if standing.draw < _compute_refused_share(standing, condition):
        return QueueDecision(action=Action.REFUSE, wait_s=wait_s)
    if wait_s <= 0:
        return SEND
    left_s = standing.left_s
    if wait_s < left_s:
        return QueueDecision(action=Action.WAIT, wait_s=wait_s)
    small = condition.limit < SMALL_LIMIT
    gives_way = standing.level > 0 or standing.surging
    if gives_way or not (small or place_s <= 0):
        return QueueDecision(action=Action.REFUSE, wait_s=wait_s)
    last_send_s = left_s - LAST_SEND_MARGIN_S
    if last_send_s > 0:
        return QueueDecision(action=Action.WAIT, wait_s=last_send_s)
    return SEND


def compute_room(condition: ServiceCondition, *, ahead: int) -> float:
    """Estimate the time until a caller that returns finds room.

    :param condition: What is known of the service.
    :param ahead: Requests that are expected to go first.
    :returns: Seconds.
    """
    standing = RequestStanding(level=0, surging=False, ahead=ahead, left_s=0.0)
    hold_s = _compute_hold(standing, condition)
    return max(hold_s, _compute_place_wait(standing, condition))


def compute_retry_after(
    room_s: float, left_s: float, rng: random.Random
) -> float:
    """Compute when a refused caller is to return.

    Values are spread, so that callers which were refused together don't
    return together. None is longer than what callers follow, unless
    they have too little time left to be served.

    :param room_s: Seconds until room is expected.
    :param left_s: Seconds until the caller gives up.
    :param rng: Source of randomness.
    :returns: Seconds.
    """
    seconds = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, room_s))
    followed_s = max(0.0, left_s) * FOLLOWED_SHARE / MAX_SPREAD
    if seconds > followed_s:
        seconds = max(followed_s, min(seconds, SHORTAGE_RETRY_AFTER_S))
    return spread(seconds, rng)


def compute_pause_retry_after(pause_s: float, rng: random.Random) -> float:
    """Compute when a caller is to return as all replicas are quiet.

    :param pause_s: Seconds until the first of them can be used.
    :param rng: Source of randomness.
    :returns: Seconds, no fewer than those and at most a quarter more.
    """
    return pause_s * rng.uniform(1.0, MAX_PAUSE_SPREAD)


def spread(seconds: float, rng: random.Random) -> float:
    """Vary a time, so that callers don't return together.

    :param seconds: The time in seconds.
    :param rng: Source of randomness.
    """
    return seconds * rng.uniform(MIN_SPREAD, MAX_SPREAD)


def _compute_refused_share(
    standing: RequestStanding, condition: ServiceCondition
) -> float:
    """Compute the share of such requests that is refused at once."""
    gain = RANK_GAIN * standing.level
    if standing.surging:
        gain += SURGE_GAIN
    return min(MAX_REFUSED_SHARE, gain * condition.shortage)


def _compute_place_wait(
    standing: RequestStanding, condition: ServiceCondition
) -> float:
    """Compute the seconds until the limit is expected to have a place."""
    limit = max(1.0, condition.limit * LEVEL_SHARE**standing.level)
    missing = condition.in_flight + 1 - limit + standing.ahead
    return max(0.0, missing) * condition.end_interval_s


def _compute_hold(
    standing: RequestStanding, condition: ServiceCondition
) -> float:
    """Compute the seconds until a replica is expected to have room."""
    factor = LEVEL_FACTOR ** (standing.level + standing.surging)
    return max(
        0.0,
        min(
            (
                refusal.gap_s * factor - refusal.age_s
                for refusal in condition.refusals
            ),
            default=0.0,
        ),
    )
