"""When a caller is served best by what is in."""

import enum
import math

# Time for a request to come from the caller, and for its answer to be
# written and to reach the caller.
CALLER_ROUND_TRIP_S = 0.010


class Decision(enum.Enum):
    """What to do with the shards that are in."""

    ANSWER = "answer"
    WAIT = "wait"
    GIVE_UP = "give up"


def count_required_shards(shards: int, least_coverage: float) -> int:
    """Count the shards without which there is no answer.

    :param shards: Shards of the query.
    :param least_coverage: Least fraction of them in an answer.
    :returns: How many; at least one.
    """
    tolerance = 1e-9
    return max(1, math.ceil(shards * least_coverage - tolerance))


def decide_answer(
    *,
    shards: int,
    replied: int,
    pending: int,
    expected: int,
    required: int,
    objective_reached: bool,
) -> Decision:
    """Decide on a query over shards.

    A whole answer is best before the objective; after it, an answer is
    worth little more with each shard, and less with each moment. Replicas
    that have been failing are waited for only if the answer needs them, and
    not past the objective.

    :param shards: Shards of the query.
    :param replied: Shards that are in.
    :param open_: Shards that may still come.
    :param hopeful: Those of them that are asked of sound replicas.
    :param least: Shards without which there is no answer.
    :param due: Whether the objective is reached.
    :returns: The verdict.
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
