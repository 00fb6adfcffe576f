"""Sets of keys as disjoint ranges, and the coverage they amount to."""

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
    for item in sorted(ranges):
        if not merged or item.start > merged[-1].end:
            merged.append(item)
            continue
        if item.end > merged[-1].end:
            merged[-1] = KeyRange(start=merged[-1].start, end=item.end)
    return tuple(merged)


def subtract_ranges(
    whole: KeyRange, covered: Iterable[KeyRange]
) -> tuple[KeyRange, ...]:
    """Find the holes that ranges leave in a whole.

    :param whole: The range to be covered.
    :param covered: Ranges, which may overlap and may reach outside.
    :returns: The holes, in order.
    """
    holes: list[KeyRange] = []
    position = whole.start
    for item in merge_ranges(covered):
        if item.end <= position:
            continue
        if item.start >= whole.end:
            break
        if item.start > position:
            holes.append(KeyRange(start=position, end=item.start))
        position = item.end
    if position < whole.end:
        holes.append(KeyRange(start=position, end=whole.end))
    return tuple(holes)


def measure_coverage(covered: Iterable[KeyRange]) -> Coverage:
    """State how much of the key space ranges cover.

    :param covered: Ranges, which may overlap.
    :returns: The coverage; 1 only if no key is missing.
    """
    merged = merge_ranges(covered)
    size = sum(item.end - item.start for item in merged)
    complete = size == KEY_SPACE_END
    whole = KeyRange(start=0, end=KEY_SPACE_END)
    return Coverage(
        fraction=size / KEY_SPACE_END,
        complete=complete,
        missing=() if complete else subtract_ranges(whole, merged),
    )
