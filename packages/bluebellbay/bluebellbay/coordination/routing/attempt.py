"""One request under way at one replica."""

import dataclasses
from typing import TYPE_CHECKING

from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.state.replica import ReplicaRecord

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.leg import Leg


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class Attempt:
    """A request that was handed to the transport for one replica.

    :param number: Number of the attempt.
    :param leg: What it is an attempt of.
    :param record: The replica.
    :param sent_at: Time in seconds.
    :param due_at: Time in seconds when it is unusually late.
    :param repeat: Whether it was taken from the retry budget.
    :param wanted: Whether its reply would still be used.
    """

    number: int
    leg: "Leg"
    record: ReplicaRecord
    sent_at: float
    due_at: float
    repeat: bool
    wanted: bool = True


class Overdue(TimerTarget):
    """Asks another replica too once an attempt is late.

    :param attempt: The attempt.
    """

    __slots__ = ("_attempt",)

    def __init__(self, *, attempt: Attempt) -> None:
        self._attempt = attempt

    @property
    def is_finished(self) -> bool:
        """Whether the attempt has ended or is no longer wanted."""
        return not self._attempt.wanted

    def handle_timeout(self, now: float) -> None:
        """Hedge the attempt.

        :param now: Present time in seconds.
        """
        self._attempt.leg.hedge(self._attempt, now)
