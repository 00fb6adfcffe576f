"""Finds the greatest records of many replies."""

from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Merge the greatest records, compared byte by byte.

    A rest that is shorter than a record is left out.

    :param bodies: Records in no order, from each shard.
    :param limit: Most records wanted.
    :returns: The records, the greatest first.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:limit])
