"""Steps for the age of what a node knows of the store."""

import json
import random
import time

from _reactor_thread import call_in_reactor
import behave
from faulty_store import FaultyStore
from platform_world import LOOPBACK
from platform_world import wait_for
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.transport.follower import StoreFollower
from bluebellbay.transport.store_pace import StorePace
from bluebellbay_platform.schema import PlatformSchema
from bluebellbay_platform.store import PlatformStore

ODD_KEY = "servers/odd"
LISTING_TIMEOUT_S = 300
SLOW_ANSWER_S = 0.3
LONGEST_REASON = 200
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "z",
    "max-concurrency": 2,
    "state": "ready",
    "sequence": 1,
    "born": 1000,
}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 262144,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
PLAIN_ENTRY = json.dumps(ENTRY)
ODD_ENTRIES = {
    "2000 nested objects": PLAIN_ENTRY[:-1]
    + ', "x": '
    + '{"x": ' * 2000
    + "1"
    + "}" * 2001,
    "100000 nested lists": PLAIN_ENTRY[:-1]
    + ', "x": '
    + "[" * 100_000
    + "]" * 100_000
    + "}",
    "an integer of 400 digits": PLAIN_ENTRY.replace("1000", "9" * 400),
    "an integer of 5000 digits": PLAIN_ENTRY.replace("1000", "9" * 5000),
    "a fraction of 400 digits": PLAIN_ENTRY.replace(
        '"born"', f'"warmup-remaining-ms": {"9" * 400}.5, "born"'
    ),
    "a number out of range": PLAIN_ENTRY.replace(
        '"max-concurrency": 2', '"max-concurrency": 1e400'
    ),
    "a port out of range": PLAIN_ENTRY.replace(":80", ":65536"),
    "a port of 5000 digits": PLAIN_ENTRY.replace(":80", ":" + "8" * 5000),
    "no text": "\ud800",
    "text that is not Base64": None,
}


class FollowingNode:
    """A follower whose events reach a routing core, as in the program."""

    def __init__(self, store):
        self.core = RoutingCore(
            rules=RouterRules(node="node-0", failure_domain="z"),
            rng=random.Random(1),
        )
        self.unreadable = []
        self.client = PlatformStore(
            reactor=reactor, address=f"{LOOPBACK}:{store.server.port}"
        )
        self._follower = StoreFollower(
            reactor=reactor,
            client=self.client,
            schema=PlatformSchema(
                report_unreadable=lambda key, reason: self.unreadable.append(
                    (key, reason)
                )
            ),
            node=NodeEntry(
                name="node-0", address="127.0.0.1:1", failure_domain="z"
            ),
            report=lambda event: self.core.step(event, time.time()),
            report_exception=lambda error: None,
            rng=random.Random(1),
            pace=StorePace(apply_limit_s=3.0, catch_up_limit_s=4.0),
            count_nodes=lambda: 4,
        )
        call_in_reactor(self._follower.start)

    @property
    def version(self):
        return self.core.state.routes.version

    @property
    def replicas(self):
        return {record.entry.replica_id for record in self.core.state.replicas}

    def stop(self):
        call_in_reactor(self._follower.stop)


def write_configuration(context):
    context.version += 1
    value = {
        "version": context.version,
        "routes": [],
        "services": [],
        "limits": LIMITS,
    }
    context.store.put("op/config", value)
    context.changed_at = time.monotonic()


@behave.given(
    "a follower of a faulty store with {entries:d} entries in pages of "
    "{page:d}"
)
def start_node(context, entries, page):
    context.store = FaultyStore()
    context.add_cleanup(context.store.stop)
    context.store.page_items = page
    for number in range(entries):
        context.store.put(f"servers/r{number:04d}", ENTRY)
    context.version = 1
    write_configuration(context)
    context.node = FollowingNode(context.store)
    context.add_cleanup(context.node.stop)
    assert wait_for(lambda: len(context.node.replicas) == entries)
    assert context.node.version == context.version


@behave.given("three calls were answered at the same time")
def open_three_connections(context):
    context.store.delay_s = SLOW_ANSWER_S
    client = context.node.client
    calls = (client.renew_lease(1), client.read_revision(), client.watch(1, 0))
    call_in_reactor(
        lambda: DeferredList([Deferred.fromCoroutine(call) for call in calls])
    )
    context.store.delay_s = 0.0


@behave.when(
    "the open connections go silent just after a check and a configuration "
    "is written"
)
def silence_and_write(context):
    checks = context.store.checks
    assert wait_for(lambda: context.store.checks > checks)
    time.sleep(0.05)
    context.store.silence_connections()
    write_configuration(context)


@behave.when(
    "every second call is refused, the history is gone and a configuration "
    "is written"
)
def refuse_and_write(context):
    store = context.store
    with store._changed:
        store.refuses_every_second = True
        write_configuration(context)
        store.forget_history()


@behave.when("another writer leaves an entry with {odd}")
def write_odd_entry(context, odd):
    text = ODD_ENTRIES[odd]
    if text is None:
        context.store.put_bytes(ODD_KEY, b"", encoded="*not Base64*")
    else:
        context.store.put_bytes(ODD_KEY, text.encode("utf-8", "surrogatepass"))


@behave.when("a configuration is written")
def write_next_configuration(context):
    write_configuration(context)


@behave.then("the configuration is reported within {seconds:g} s")
def check_reported_in_time(context, seconds):
    left_s = context.changed_at + seconds - time.monotonic()
    assert wait_for(lambda: context.node.version == context.version, left_s), (
        f"version {context.node.version} is in force, not {context.version}"
    )


@behave.then("all {entries:d} entries are reported")
def check_entries(context, entries):
    assert wait_for(
        lambda: len(context.node.replicas) == entries, LISTING_TIMEOUT_S
    ), len(context.node.replicas)


@behave.then(
    "a follower that starts now reports the configuration within {seconds:g} s"
)
def check_restarted(context, seconds):
    context.node.stop()
    context.changed_at = time.monotonic()
    context.node = FollowingNode(context.store)
    context.add_cleanup(context.node.stop)
    check_reported_in_time(context, seconds)


@behave.then("the odd entry was logged and names no replica")
def check_odd_entry(context):
    assert wait_for(lambda: context.node.unreadable)
    for key, reason in context.node.unreadable:
        assert key == ODD_KEY, key
        assert 0 < len(reason) <= LONGEST_REASON, reason
    assert "odd" not in context.node.replicas
