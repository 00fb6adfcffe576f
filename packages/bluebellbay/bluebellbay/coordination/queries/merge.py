"""Merges leg replies from one snapshot into rows and coverage."""

from bluebellbay.protocol.answer import Coverage
from bluebellbay.protocol.answer import Row
from bluebellbay.protocol.leg import LegReply
from bluebellbay.state.coverage import RangeSet


def matches_leg(
    reply: LegReply, *, snapshot: int, start: int, end: int
) -> bool:
    """Check whether a reply is a valid one for a leg.

    :param reply: The reply.
    :param snapshot: The snapshot that the leg reads.
    :param start: First key that the leg reads.
    :param end: First key after the range that the leg reads.
    :returns: Whether the snapshot is the leg's, the range lies within the
        leg's, and all rows lie within the reply's range.
    """
    if reply.snapshot != snapshot:
        return False
    first = reply.start
    last = reply.end
    if not start <= first < last <= end:
        return False
    return all(first <= row.key < last for row in reply.rows)


class ReplyMerger:
    """Merges replies of one snapshot; keys in overlaps are taken once.

    :param snapshot: The snapshot that every reply has to be from.
    """

    __slots__ = ("_covered", "_rows", "snapshot")

    def __init__(self, *, snapshot: int) -> None:
        self.snapshot = snapshot
        self._covered = RangeSet()
        self._rows: list[Row] = []

    def add(self, reply: LegReply) -> None:
        """Add the rows of a reply for keys that are not covered yet.

        :param reply: A reply whose rows lie inside its range.
        :raises ValueError: If the reply is from another snapshot.
        """
        if reply.snapshot != self.snapshot:
            raise ValueError(
                f"reply is from snapshot {reply.snapshot}, "
                f"expected {self.snapshot}"
            )
        gaps = self._covered.list_gaps(reply.start, reply.end)
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
        """List the parts of a range that are not covered yet.

        :param start: First key of the range.
        :param end: First key after the range.
        :returns: The parts in key order, as (first key, first key after).
        """
        return self._covered.list_gaps(start, end)

    def list_rows(self) -> tuple[Row, ...]:
        """Return the rows in key order."""
        return tuple(sorted(self._rows, key=lambda row: row.key))

    def compute_coverage(self) -> Coverage:
        """Compute which part of the key space the replies cover."""
        return self._covered.measure()

    @property
    def is_empty(self) -> bool:
        """Whether no key is covered."""
        return self._covered.size == 0
