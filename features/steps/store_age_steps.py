"""Steps for the age of what a node knows of the store."""

import json
import random
import time

from _reactor_thread import call_in_reactor
import behave
from faulty_store import FaultyStore
from faulty_store import ThinLink
from following_node import FollowingNode
from platform_world import wait_for
from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import RoutingHarness
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList
from twisted.internet.task import Clock

from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.transport._backoff import Backoff
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.store_listing import StoreListing

ODD_KEY = "servers/odd"
GONE_KEY = "servers/r0000"
NEW_KEY = "servers/r9999"
LISTING_TIMEOUT_S = 300
SLOW_ANSWER_S = 0.3
LONGEST_REASON = 200
BYTES_PER_MEGABIT = 1_000_000 / 8
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
def start_node(context, entries, page, nodes=4):
    context.store = FaultyStore()
    context.add_cleanup(context.store.stop)
    context.store.page_items = page
    for number in range(entries):
        context.store.put(f"servers/r{number:04d}", ENTRY)
    context.version = 1
    write_configuration(context)
    context.node = FollowingNode(context.store, nodes=nodes)
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


def wait_for_check(context):
    """Wait until a check of the watch has been answered."""
    checks = context.store.checks
    assert wait_for(lambda: context.store.checks > checks)
    time.sleep(0.05)


@behave.when(
    "the open connections go silent just after a check and a configuration "
    "is written"
)
def silence_and_write(context):
    wait_for_check(context)
    context.store.silence_connections()
    write_configuration(context)


@behave.given("copies of the store are {age_s:g} s old")
def age_copies(context, age_s):
    context.store.copy_age_s = age_s


@behave.given("its link carries {megabits_per_s:g} Mbit/s")
def thin_link(context, megabits_per_s):
    # The pause after the changes at the start has passed then.
    wait_for_check(context)
    context.store.link = ThinLink(megabits_per_s * BYTES_PER_MEGABIT)


@behave.when("another writer leaves {count:d} entries of {size:d} bytes")
def write_large_entries(context, count, size):
    for number in range(count):
        context.store.put_bytes(f"servers/junk-{number:03d}", b"\xff" * size)


@behave.when("an entry of a replica is written")
def write_entry(context):
    context.store.put(NEW_KEY, ENTRY)


@behave.then("the log tells that changes were long on their way")
def check_lateness_told(context):
    lines = [
        line
        for line in context.node.lines
        if line.sentence.startswith("Changes of the store are long")
    ]
    assert 0 < len(lines) < 20, len(lines)


@behave.when("the answer of the watch is lost and a configuration is written")
def lose_and_write(context):
    # The pause after the changes at the start has passed then.
    wait_for_check(context)
    context.store.loses_next_change = True
    write_configuration(context)
    assert wait_for(lambda: not context.store.loses_next_change)


@behave.when(
    "every second call is refused, the history is gone and a configuration "
    "is written"
)
def refuse_and_write(context):
    store = context.store
    with store._changed:
        store.refuses_every_second = True
        store.items.pop(GONE_KEY)
        store.put(NEW_KEY, ENTRY)
        write_configuration(context)
        store.forget_history()


@behave.then("the listing tells which entry came and which one is gone")
def check_listing(context):
    def is_listed():
        gone = context.node.core.state.replicas.find(
            GONE_KEY.removeprefix("servers/")
        )
        is_gone = gone is None or gone.unlisted_at is not None
        return is_gone and "r9999" in context.node.replicas

    assert wait_for(is_listed, LISTING_TIMEOUT_S)


@behave.when("another writer leaves an entry with {odd}")
def write_odd_entry(context, odd):
    text = ODD_ENTRIES[odd]
    if text is None:
        context.store.put_text(ODD_KEY, "*not Base64*")
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


@behave.given("a routing core with a query route over {shards:d} shards")
def start_core(context, shards):
    context.harness = RoutingHarness()
    names = [f"s{number}" for number in range(shards)]
    context.entries = tuple(build_replica(name, name) for name in names)
    route = build_route("query", shards=names)
    context.harness.feed(
        ConfigurationReceived(configuration=build_configuration(1, route))
    )


@behave.when("{part:d} of the {shards:d} shards are listed as a part of all")
def list_part(context, part, shards):
    del shards
    context.harness.feed(
        ReplicasListed(entries=context.entries[:part], complete=False)
    )


@behave.when("all {shards:d} shards are listed")
def list_all(context, shards):
    context.harness.feed(ReplicasListed(entries=context.entries[:shards]))


@behave.then("the core does not report that it is ready")
def check_core_not_ready(context):
    assert not find_health_reports(context)


@behave.then("the core reports that it is ready")
def check_core_ready(context):
    assert find_health_reports(context) == [ReportHealth(healthy=True)]


def find_health_reports(context):
    return [
        command
        for command in context.harness.commands
        if isinstance(command, ReportHealth)
    ]


@behave.given(
    "a listing that has taken note of a removal at revision {revision:d}"
)
def start_listing(context, revision):
    clock = Clock()
    context.listing = StoreListing(
        reactor=clock,
        client=None,
        schema=None,
        report=lambda event: None,
        backoff=Backoff(reactor=clock, rng=random.Random(1)),
        cause="start",
    )
    removal = StoreItem(key="k", value=None, revision=revision)
    assert context.listing.add_changes([removal]) == (removal,)


@behave.then(
    "the item at revision {older:d} on a page is not newer, and at revision "
    "{newer:d} it is"
)
def check_newer(context, older, newer):
    for revision, is_newer in ((older, False), (newer, True)):
        item = StoreItem(key="k", value=b"x", revision=revision)
        assert bool(context.listing.add_changes([item])) is is_newer
