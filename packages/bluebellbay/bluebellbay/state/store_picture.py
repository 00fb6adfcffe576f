"""How old a node's knowledge of the store is."""

import collections
import enum
import math

from bluebellbay.protocol.store_allowance import StoreAllowance

# A node that may act beside another one, as a lender, as the owner of a shard
# or towards a cold replica, does so by no older view of the store.
MAX_VIEW_AGE_S = 10.0
# A copy of the store may be this many seconds behind it, the time to act on
# what it tells included.
COPY_LAG_S = 5.5


# An operator has written again by then what a restored store had lost; what is
# missing still is taken for withdrawn.
OPERATOR_REWRITE_S = 30.0


class RestoredItem(enum.Enum):
    """What became of an item that a restored store shows as of before."""

    KEPT = "kept"
    DROPPED = "dropped"
    WRITTEN_AGAIN = "written again"


class StorePicture:
    """Bounds the age of what a node knows of the store.

    An answer of the store shows all that it had accepted by then, unless it
    comes from a copy. What the next one shows was accepted later, however long
    it took to get here. So a limit that counts from the former answer is kept
    without another call, and without the store's clock.

    :ivar confirmed_at: Time in seconds by which the store had accepted all
        that is known of it.
    :ivar era: Number of the store's era, if it has told one.
    :ivar restored_items: Items of earlier eras by what became of them.
    :ivar silent_s: Seconds between the last two answers; ``None`` until there
        are two.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.silent_s: float | None = None
        self.era: int | None = None
        self.restored_items: collections.Counter[RestoredItem] = (
            collections.Counter()
        )
        self._restored_at = -math.inf
        # Until when an entry of a gone replica may be shown as of before.
        self._proven_at = -math.inf
        # Until when replicas have time to write entries that a restore lost.
        self._rewritten_by = -math.inf
        self._answered_at: float | None = None
        # Failed calls since the last answer, and when the latest was made.
        self._failures = 0
        self._asked_at = -math.inf
        # Until when replicas have time to write lapsed entries again.
        self._kept_until = -math.inf

    def measure_silence(self, now: float) -> float | None:
        """Measure how long the store has not answered.

        :param now: Current time in seconds.
        :returns: Seconds since its last answer; ``None`` if it never did.
        """
        return None if self._answered_at is None else now - self._answered_at

    def note_failure(self, asked_at: float) -> None:
        """Note that a call has failed.

        :param asked_at: Time in seconds when it was made.
        """
        self._failures += 1
        self._asked_at = asked_at

    def note_answer(
        self, now: float, allowance: StoreAllowance, nodes: int
    ) -> None:
        """Note that the store has answered, be it from a copy.

        Entries may have lapsed in a silence as long as the shortest outage in
        which they do, or before the process started.

        :param now: Current time in seconds.
        :param allowance: Limits that apply.
        :param nodes: Number of nodes that call the store.
        """
        self.silent_s = self.measure_silence(now)
        if self.silent_s is None or self.silent_s > allowance.lapse_s:
            self._kept_until = min(
                now + allowance.compute_registration_grace(nodes),
                self._find_trouble(now) + allowance.recovery_delay_s,
            )
        self._answered_at = now
        self._failures = 0

    def _find_trouble(self, now: float) -> float:
        """Find a time that is no later than the end of the silence's cause.

        One call may fail on a connection that went silent just after the last
        answer. The next one is made on another connection, so its failure
        shows that the store was away when it was made.
        """
        if self._failures > 1:
            return self._asked_at
        return now if self._answered_at is None else self._answered_at

    def note_restore(
        self, era: int, now: float, allowance: StoreAllowance, nodes: int
    ) -> None:
        """Note that the store came back from a copy.

        :param era: Number of its present era.
        :param now: Current time in seconds.
        :param allowance: Limits that apply.
        :param nodes: Number of nodes that call the store.
        """
        self.era = era
        self._restored_at = now
        self._rewritten_by = now + allowance.compute_registration_grace(nodes)
        self._proven_at = now + allowance.compute_proof_delay(nodes)

    @property
    def restored_at(self) -> float:
        """Time in seconds when a restore was noticed last."""
        return self._restored_at

    @property
    def proven_at(self) -> float:
        """Time in seconds from which listed entries are of live replicas.

        Until then a restored store may show those of replicas that have gone.
        """
        return self._proven_at

    @property
    def rewritten_at(self) -> float:
        """Time in seconds when operators have written lost items again."""
        return self._restored_at + OPERATOR_REWRITE_S

    def confirm(self, at: float) -> None:
        """Note that all is known that the store had accepted by some time.

        :param at: The time in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, at)

    @property
    def viewed_at(self) -> float:
        """Time in seconds by which all is known that the store had accepted.

        A watch without changes confirms nothing for as long as it lasts. The
        copies that are asked meanwhile show that nothing was missed.
        """
        if self._answered_at is None:
            return self.confirmed_at
        return max(self.confirmed_at, self._answered_at - COPY_LAG_S)

    def compute_removal_time(self, allowance: StoreAllowance) -> float:
        """Compute until when a replica is kept whose entry is gone.

        The entry went after ``confirmed_at``. If it may have lapsed in an
        outage, or a restore has lost it, the replica is given the time to
        write it again.

        :param allowance: Limits that apply.
        :returns: Time in seconds; it may have passed.
        """
        return max(
            self.confirmed_at + allowance.removal_delay_s,
            self._kept_until,
            self._rewritten_by,
        )
