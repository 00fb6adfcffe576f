"""A small cluster of separate processes, shared by several step files."""

import concurrent.futures
import json
import time
import uuid

from bluebellbay.protocol.claim import build_bucket_key
from bluebellbay.protocol.claim import decode_bucket
from bluebellbay.protocol.profile import Profile
from bluebellbay_standins.client import call
from bluebellbay_standins.client import Reply
from bluebellbay_standins.cluster import Cluster
from bluebellbay_standins.cluster import ClusterShape
from bluebellbay_standins.fleet import MAZOWSZE
from bluebellbay_standins.fleet import SMALL
from bluebellbay_standins.load import Query
from bluebellbay_standins.load import send_queries
from bluebellbay_standins.process import wait_until
from bluebellbay_standins.row import ROW_STRIDE

SEED = 17
POSTING_EXPIRY_S = 60.0
STORE_TIMEOUT_S = 2.5
POSTING_KEY = 7 * ROW_STRIDE
POSTING_SERVERS = ("ledgerrun-a", "ledgerrun-b", "ledgerrun-c")
ENTRY_NAMES = ("entry-1", "entry-2", "entry-3", "entry-4")
PROFILES = (
    Profile(name="whole", coverage_floor=1.0, delay_ms=5000, extra_load=0.2),
    Profile(name="some", coverage_floor=0.0, delay_ms=2000, extra_load=0.05),
    Profile(name="settlement", delay_ms=4000, extra_load=0.0),
)


def start_cluster(context):
    """Start platform, servers and daemons; wait until all entries answer."""
    shape = ClusterShape(
        fleets=(SMALL,),
        entry_domains=(*MAZOWSZE, MAZOWSZE[0]),
        alone=("press-desk-02-a",),
        links=True,
        seed=SEED,
        settings={
            "log": {"form": "json", "decisions": True},
            "policy": {"health_poll_s": 0.5},
            "platform": {"store_timeout_s": STORE_TIMEOUT_S},
        },
    )
    cluster = Cluster(shape=shape)
    context.add_cleanup(cluster.close)
    cluster.start_platform()
    cluster.seed_profiles(PROFILES)
    cluster.start_daemons()
    cluster.wait_until_healthy()
    wait_until(
        lambda: all_entries_answer(cluster, ENTRY_NAMES),
        "every entry to answer",
    )
    return cluster


def all_entries_answer(cluster, entries):
    queries = [
        Query(entry=entry, index=index, profile="whole", coverage_floor=1.0)
        for entry in entries
        for index in ("press-desk", "ledgerrun")
    ]
    samples = send_queries(cluster, queries, callers=2)
    return all(sample.outcome == "answered" for sample in samples)


class Posting:
    """One non-repeatable request and the replies to each time it is sent.

    :param expires_in_s: Seconds until the request expires.
    """

    def __init__(self, cluster, expires_in_s=POSTING_EXPIRY_S):
        self.cluster = cluster
        self.request_id = f"posting-{uuid.uuid4().hex}"
        self.expires_at = time.time() + expires_in_s
        self.replies = []
        self.pending = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(8)

    def send(self, entry):
        try:
            reply = self.cluster.query(
                entry,
                "ledgerrun",
                request_id=self.request_id,
                profile="settlement",
                query={"lot": 7},
                key=POSTING_KEY,
                repeatable=False,
                expires_at=self.expires_at,
            )
        except OSError:
            reply = Reply(status=0, body={"outcome": "broken"})
        self.replies.append(reply)
        return reply

    def send_in_background(self, entry):
        self.pending[entry] = self._pool.submit(self.send, entry)

    def send_concurrently(self, entries):
        for entry in entries:
            self.send_in_background(entry)
        return [self.pending[entry].result() for entry in entries]

    @property
    def outcomes(self):
        return [reply.body["outcome"] for reply in self.replies]

    def count_executions(self):
        return self.cluster.count_executions(self.request_id)

    def is_claimed(self):
        keys = call(self.cluster.store, "GET", "/control/keys").body
        bucket_key = build_bucket_key(self.request_id)
        buckets = [
            decode_bucket(entry["value"].encode()).ok
            for entry in keys
            if entry["key"] == bucket_key and entry["value"] is not None
        ]
        return any(
            claim.request_id == self.request_id
            for bucket in buckets
            for claim in bucket.claims
        )

    def describe(self):
        answers = [json.dumps(reply.body) for reply in self.replies]
        return f"{self.request_id}: {answers}"


def list_unexpected_errors(cluster):
    """List log lines of unhandled exceptions, with the daemon's name."""
    return [
        f"{name}: {line}"
        for name, daemon in cluster.daemons.items()
        for line in daemon.child.read_log().splitlines()
        if "Processing an event failed" in line or "Traceback" in line
    ]
