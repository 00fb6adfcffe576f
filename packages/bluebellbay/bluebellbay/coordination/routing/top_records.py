"""Merging of the greatest records of many replies."""

from collections.abc import Collection
from collections.abc import Iterable

from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.route import ScatterRule

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


def merge_answers(
    replies: Collection[ReplicaReply],
    peer_answers: Collection[MergedAnswer],
    *,
    exchange: int,
    rule: ScatterRule,
) -> MergedAnswer:
    """Merge the replies of shards and the answers of peers into one answer.

    :param replies: Replies of the shards that this node queried.
    :param peer_answers: Answers of peers for the others.
    :param exchange: Number of the exchange that is answered.
    :param rule: Shards and size of the answer.
    """
    bodies = [reply.body for reply in replies]
    bodies.extend(answer.records for answer in peer_answers)
    digests = [reply.digest for reply in replies]
    for answer in peer_answers:
        digests.extend(answer.digests)
    return MergedAnswer(
        exchange=exchange,
        records=merge_records(bodies, rule.most_records),
        digests=tuple(digests),
        missing=len(rule.shards) - len(digests),
    )
