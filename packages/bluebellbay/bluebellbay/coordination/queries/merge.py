"""Merges replies of one snapshot into one answer's rows and coverage."""

from bluebellbay.protocol.answer import Coverage
from bluebellbay.protocol.answer import Row
from bluebellbay.protocol.leg import LegReply
from bluebellbay.state.coverage import RangeSet


def matches_leg(
    reply: LegReply, *, snapshot: int, start: int, end: int
) -> bool:
    """Say whether a reply is one that the leg could have been given.

    :param reply: The reply.
    :param snapshot: The snapshot that the leg reads.
    :param start: First key that the leg wants.
    :param end: First key after the range that the leg wants.
    :returns: Whether snapshot, range and rows are all as they must be.
    """
    if reply.snapshot != snapshot:
        return False
    first = reply.start
    last = reply.end
    if not start <= first < last <= end:
        return False
    return all(first <= row.key < last for row in reply.rows)


class ReplyMerger:
    """Takes replies of one snapshot only; overlaps never count twice.

    :param snapshot: The snapshot of every row taken.
    """

    __slots__ = ("_covered", "_rows", "snapshot")

    def __init__(self, *, snapshot: int) -> None:
        self.snapshot = snapshot
        self._covered = RangeSet()
        self._rows: list[Row] = []

    def add(self, reply: LegReply) -> None:
        """Take the rows of a reply for keys that are not covered yet.

        :param reply: A reply whose rows lie inside its range.
        :raises ValueError: If the reply is of another snapshot.
        """
        if reply.snapshot != self.snapshot:
            raise ValueError("a merger takes replies of one snapshot only")
        gaps = self._covered.list_holes(reply.start, reply.end)
        if not gaps:
            return
        self._covered.add(reply.start, reply.end)
        if gaps == [(reply.start, reply.end)]:
            self._rows.extend(reply.rows)
            return
        self._rows.extend(
            row
            for row in reply.rows
            if any(start <= row.key < end for start, end in gaps)
        )

    def list_gaps(self, start: int, end: int) -> list[tuple[int, int]]:
        """Find the parts of a range that are not covered yet.

        :param start: First key of the range.
        :param end: First key after the range.
        :returns: The parts, in order, as start and end.
        """
        return self._covered.list_holes(start, end)

    def list_rows(self) -> tuple[Row, ...]:
        """List the rows taken, by key."""
        return tuple(sorted(self._rows, key=lambda row: row.key))

    def compute_coverage(self) -> Coverage:
        """State the coverage of the rows taken."""
        return self._covered.measure()

    @property
    def is_empty(self) -> bool:
        """Whether no key is covered."""
        return self._covered.size == 0
