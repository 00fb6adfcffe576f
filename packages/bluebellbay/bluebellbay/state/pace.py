"""What is known of a replica that started or came back."""

import dataclasses


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class PaceRecord:
    """Progress of a replica on its way to its whole share of the work.

    :param changed_at: Time in seconds of the last change of the level, or when
        the replica gets its first requests.
    :param level: Steps that its share has been raised.
    :param good: Good answers to requests sent since the change.
    :param bad: Bad answers since the last good one.
    """

    changed_at: float
    level: int = 0
    good: int = 0
    bad: int = 0
