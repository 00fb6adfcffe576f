"""Checks of the answers that the callers of a soak test got."""

from run_log import NOT_EXECUTED_STATUSES

# A record has 16 bytes, and the route's ``top-k`` is 5.
RECORD_BYTES = 16
RECORDS = 5


def check_posts(posts, servers):
    """Check that posts ran at most once, and that answers about it are true.

    :param posts: Path, body, status and answered body of each post.
    :param servers: The replicas that ran them.
    """
    bodies_by_path = {}
    for server in servers:
        for _, path, body in server.ran:
            bodies_by_path.setdefault(path, []).append(body)
    for path, body, status, echo in posts:
        ran = bodies_by_path.get(path, [])
        assert len(ran) <= 1, f"{path} was executed {len(ran)} times"
        assert ran in ([], [body]), (
            f"{path} was executed with a body that was not sent"
        )
        assert not (ran and status in NOT_EXECUTED_STATUSES), (
            f"{path} was executed but answered with status {status}"
        )
        if status == 200 and body:
            assert echo == body, f"{path} was answered with another body"


def check_queries(queries, shard_sets):
    """Check that answers are whole, of one set, and count missing shards.

    :param queries: Status, headers and body of each answer.
    :param shard_sets: The sets of shards, each of which holds the index.
    """
    shard_by_digest = {
        f"digest-{shard.replica_id}": shard
        for shard_set in shard_sets
        for shard in shard_set
    }
    for status, headers, body in queries:
        if status == 200:
            _check_query_answer(headers, body, shard_by_digest, shard_sets)


def _check_query_answer(headers, body, shard_by_digest, shard_sets):
    digests = headers["Bluebellbay-Shard-Signatures"].split(", ")
    missing = int(headers["Bluebellbay-Missing-Shards"])
    assert len(set(digests)) == len(digests), digests
    shards = [shard_by_digest[digest] for digest in digests]
    (shard_set,) = [
        shard_set for shard_set in shard_sets if shards[0] in shard_set
    ]
    assert all(shard in shard_set for shard in shards), digests
    assert len(shards) + missing == len(shard_set), (digests, missing)
    records = sorted(
        (
            shard.records[offset : offset + RECORD_BYTES]
            for shard in shards
            for offset in range(0, len(shard.records), RECORD_BYTES)
        ),
        reverse=True,
    )
    assert body == b"".join(records[:RECORDS])
