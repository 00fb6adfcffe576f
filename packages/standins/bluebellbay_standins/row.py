"""The rows that backend servers give, known in advance to the tests."""

from collections.abc import Iterable
import dataclasses

from bluebellbay.protocol.answer import Row
from bluebellbay.protocol.key_range import KeyRange

ROW_STRIDE = 2**26


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowValue:
    """What a row holds, so that a wrong one is found out.

    :param index: Name of the index.
    :param snapshot: The snapshot it was read from.
    :param request_id: The request that it was read for.
    """

    index: str
    snapshot: int
    request_id: str


def list_rows(
    *, key_range: KeyRange, index: str, snapshot: int, request_id: str
) -> tuple[Row, ...]:
    """List the rows of a range: one at each multiple of the stride.

    :param key_range: The range.
    :param index: Name of the index.
    :param snapshot: The snapshot read.
    :param request_id: The request that they are read for.
    :returns: The rows, by key.
    """
    value = RowValue(index=index, snapshot=snapshot, request_id=request_id)
    first = -(-key_range.start // ROW_STRIDE) * ROW_STRIDE
    return tuple(
        Row(key=key, value=value)
        for key in range(first, key_range.end, ROW_STRIDE)
    )


def list_rows_of_ranges(
    *,
    ranges: Iterable[KeyRange],
    index: str,
    snapshot: int,
    request_id: str,
) -> tuple[Row, ...]:
    """List the rows that a merged answer over disjoint ranges must hold.

    :param ranges: Disjoint ranges, in order.
    :param index: Name of the index.
    :param snapshot: The snapshot read.
    :param request_id: The request that they are read for.
    :returns: The rows, by key.
    """
    return tuple(
        row
        for key_range in ranges
        for row in list_rows(
            key_range=key_range,
            index=index,
            snapshot=snapshot,
            request_id=request_id,
        )
    )
