"""Merging of the greatest records of many replies."""

from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest records, compared byte by byte.

    Trailing bytes of a body that are fewer than a record are ignored.

    :param bodies: Unsorted records of ``RECORD_BYTES`` bytes, for each shard.
    :param limit: Largest number of records to return.
    :returns: The records, the greatest first.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:limit])
