"""Range arithmetic on the key space, and the coverage of answers."""

import bisect
from collections.abc import Iterable

from bluebellbay.protocol.answer import Coverage
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.key_range import KeyRange


def merge_ranges(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Merge overlapping and adjacent ranges.

    :param ranges: Ranges in any order; they may overlap.
    :returns: The fewest disjoint ranges with the same keys, in key order.
    """
    merged: list[KeyRange] = []
    for key_range in sorted(ranges):
        if not merged or key_range.start > merged[-1].end:
            merged.append(key_range)
            continue
        if key_range.end > merged[-1].end:
            merged[-1] = KeyRange(start=merged[-1].start, end=key_range.end)
    return tuple(merged)


def subtract_ranges(
    target_range: KeyRange, covered: Iterable[KeyRange]
) -> tuple[KeyRange, ...]:
    """Subtract ranges from a target range.

    :param target_range: The range to subtract from.
    :param covered: Ranges to subtract, in any order; they may overlap and
        extend beyond the target range.
    :returns: The parts of the target range that are not covered, in key
        order.
    """
    gaps: list[KeyRange] = []
    position = target_range.start
    for key_range in merge_ranges(covered):
        if key_range.end <= position:
            continue
        if key_range.start >= target_range.end:
            break
        if key_range.start > position:
            gaps.append(KeyRange(start=position, end=key_range.start))
        position = key_range.end
    if position < target_range.end:
        gaps.append(KeyRange(start=position, end=target_range.end))
    return tuple(gaps)


def measure_coverage(covered: Iterable[KeyRange]) -> Coverage:
    """Compute how much of the key space ranges cover.

    :param covered: Ranges in any order; they may overlap.
    :returns: The coverage. It is marked complete only if no key is missing.
    """
    merged = merge_ranges(covered)
    size = sum(key_range.end - key_range.start for key_range in merged)
    complete = size == KEY_SPACE_END
    key_space = KeyRange(start=0, end=KEY_SPACE_END)
    return Coverage(
        fraction=size / KEY_SPACE_END,
        complete=complete,
        missing=() if complete else subtract_ranges(key_space, merged),
    )


class RangeSet:
    """A mutable set of keys, stored as sorted disjoint ranges.

    :ivar size: Number of keys in the set.
    """

    __slots__ = ("_ends", "_starts", "size")

    def __init__(self) -> None:
        self._starts: list[int] = []
        self._ends: list[int] = []
        self.size = 0

    def list_gaps(self, start: int, end: int) -> list[tuple[int, int]]:
        """List the parts of a range that are not in the set.

        :param start: First key of the range.
        :param end: First key after the range.
        :returns: Pairs of start (included) and end (excluded), in key
            order.
        """
        gaps = []
        position = start
        index = bisect.bisect_right(self._ends, start)
        while index < len(self._starts) and self._starts[index] < end:
            if self._starts[index] > position:
                gaps.append((position, self._starts[index]))
            position = self._ends[index]
            index += 1
        if position < end:
            gaps.append((position, end))
        return gaps

    def add(self, start: int, end: int) -> None:
        """Add a range, which may overlap the set.

        :param start: First key of the range.
        :param end: First key after the range.
        """
        low = bisect.bisect_left(self._ends, start)
        high = bisect.bisect_right(self._starts, end)
        if low < high:
            start = min(start, self._starts[low])
            end = max(end, self._ends[high - 1])
        self.size += end - start
        for index in range(low, high):
            self.size -= self._ends[index] - self._starts[index]
        self._starts[low:high] = (start,)
        self._ends[low:high] = (end,)

    def measure(self) -> Coverage:
        """Compute how much of the key space the set covers.

        :returns: The coverage. It is marked complete only if no key is
            missing.
        """
        return Coverage(
            fraction=self.size / KEY_SPACE_END,
            complete=self.size == KEY_SPACE_END,
            missing=tuple(
                KeyRange(start=start, end=end)
                for start, end in self.list_gaps(0, KEY_SPACE_END)
            ),
        )
