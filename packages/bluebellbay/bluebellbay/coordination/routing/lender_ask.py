"""An ask of a lender that is in flight, whatever it lends."""

import abc

from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.state.peer import PeerRecord

# An answer later than this is not read, not even for the round trip.
CALL_TIMEOUT_S = 0.5


class LenderAsk(TimerTarget, abc.ABC):
    """Counts as refused if the lender does not answer in time.

    :param peer: The lender.
    :param asked_at: Time in seconds of the ask.
    :param late_at: Time in seconds from which it counts as refused.
    :ivar ended: Whether the ask was answered, or counts as refused.
    """

    __slots__ = ("asked_at", "ended", "late_at", "peer")

    def __init__(
        self, *, peer: PeerRecord, asked_at: float, late_at: float
    ) -> None:
        self.peer = peer
        self.asked_at = asked_at
        self.late_at = late_at
        self.ended = False

    @property
    def is_finished(self) -> bool:
        """Whether the ask was answered, or counts as refused."""
        return self.ended

    def handle_timeout(self, now: float) -> None:
        """Count the ask as refused.

        :param now: Current time in seconds.
        """
        self.handle_late("no answer in time", now)

    @abc.abstractmethod
    def handle_late(self, reason: str, now: float) -> None:
        """Count the ask as refused, and go on without it.

        :param reason: Short phrase for the log.
        :param now: Current time in seconds.
        """
