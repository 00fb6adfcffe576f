"""Sets of keys as disjoint ranges, and the coverage they amount to."""

import bisect
from collections.abc import Iterable

from bluebellbay.protocol.answer import Coverage
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.key_range import KeyRange


def merge_ranges(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Join ranges into the fewest disjoint ones, in order.

    :param ranges: Ranges, which may overlap.
    :returns: Disjoint ranges that hold the same keys.
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
    """Find the gaps that ranges leave in a target range.

    :param target_range: The range to be covered.
    :param covered: Ranges, which may overlap and may reach outside.
    :returns: The gaps, in order.
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
    """State how much of the key space ranges cover.

    :param covered: Ranges, which may overlap.
    :returns: The coverage; 1 only if no key is missing.
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
    """A growing set of keys, kept as disjoint ranges in order."""

    __slots__ = ("_ends", "_starts", "size")

    def __init__(self) -> None:
        self._starts: list[int] = []
        self._ends: list[int] = []
        self.size = 0

    def list_gaps(self, start: int, end: int) -> list[tuple[int, int]]:
        """Find the parts of a range that are not in the set.

        :param start: First key of the range.
        :param end: First key after the range.
        :returns: The parts, in order, as start and end.
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
        """Add a range, which may overlap what is there.

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
        """State how much of the key space the set covers.

        :returns: The coverage; 1 only if no key is missing.
        """
        return Coverage(
            fraction=self.size / KEY_SPACE_END,
            complete=self.size == KEY_SPACE_END,
            missing=tuple(
                KeyRange(start=start, end=end)
                for start, end in self.list_gaps(0, KEY_SPACE_END)
            ),
        )
