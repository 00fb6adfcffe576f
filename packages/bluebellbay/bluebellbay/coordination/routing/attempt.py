"""One attempt to get a request served by one replica."""

import dataclasses
from typing import TYPE_CHECKING

from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.state.replica import ReplicaRecord

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.leg import Leg


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class Attempt:
    """A request that was handed to the transport for one replica.

    :param number: Identifies the attempt on this node.
    :param leg: The sub-request that the attempt belongs to.
    :param record: The replica that it was sent to.
    :param sent_at: Unix time in seconds.
    :param overdue_at: Unix time in seconds from which its lateness counts
        against the replica.
    :param is_retry: Whether it was charged to the retry budget.
    :param active: Whether its reply would still be used.
    """

    number: int
    leg: "Leg"
    record: ReplicaRecord
    sent_at: float
    overdue_at: float
    is_retry: bool
    active: bool = True


class HedgeTimer(TimerTarget):
    """Hedges an attempt that has no reply by the time of its hedge."""

    __slots__ = ("_attempt",)

    def __init__(self, *, attempt: Attempt) -> None:
        self._attempt = attempt

    @property
    def is_finished(self) -> bool:
        """Whether the attempt has ended or its reply is no longer used."""
        return not self._attempt.active

    def handle_timeout(self, now: float) -> None:
        """Send the request to a second replica.

        :param now: Current Unix time in seconds.
        """
        self._attempt.leg.hedge(self._attempt, now)
