"""Steps for following the store and maintaining the node's lease."""

import random

import behave
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import StoreAnswered
from bluebellbay.protocol.registry import StoreConfirmed
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored
from bluebellbay.protocol.registry import StoreListed
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.protocol.store_allowance import StoreAllowance
from bluebellbay.transport.follower import StoreFollower
from bluebellbay.transport.store import HistoryCompacted
from bluebellbay.transport.store import LeaseExpired
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.store import StoreItems
from bluebellbay.transport.store import StorePage
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.store_era import StoreEras
from bluebellbay.transport.store_pace import StorePace
from bluebellbay.transport.watch_guard import ANSWER_GRACE_S

LEASE_RENEWAL_TIME_S = 60.0
CALL_TIMEOUT_S = 1.5
MAX_FIRST_BACKOFF_S = 0.15
SINGLE_CHANGE = (StoreItem(key="key", value=b"value"),)


class FakeStore(StoreClient):
    def __init__(self, revision):
        self.eras = StoreEras()
        self.revision = revision
        self.listed_revisions = []
        self.watched_revisions = []
        self.watch_durations = []
        self.pending_watch = None
        self.read_failure = None
        self.reads = 0
        self.puts = []
        self.fails_next_put = False
        self.fails_next_page = False
        self.lease = 0
        self.lease_expired = False
        self.renewal_failure = None
        self.renewals = 0

    async def read_page(self, after):
        self.listed_revisions.append(self.revision)
        if self.fails_next_page:
            self.fails_next_page = False
            raise StoreUnavailable("refused")
        return StorePage(items=(), revision=self.revision)

    async def read_item(self, key):
        raise NotImplementedError

    async def read_prefix(self, prefix):
        raise NotImplementedError

    async def watch(self, after, wait_s):
        self.watched_revisions.append(after)
        self.watch_durations.append(wait_s)
        self.pending_watch = Deferred()
        return await self.pending_watch

    async def read_revision(self):
        self.reads += 1
        if self.read_failure is not None:
            raise self.read_failure
        return self.revision

    async def open_lease(self, ttl_s):
        self.lease += 1
        return self.lease

    async def renew_lease(self, lease):
        if self.renewal_failure is not None:
            failure, self.renewal_failure = self.renewal_failure, None
            raise failure
        self.renewals += 1
        if self.lease_expired:
            self.lease_expired = False
            raise LeaseExpired

    async def put(self, key, value, lease):
        if self.fails_next_put:
            self.fails_next_put = False
            raise StoreUnavailable("refused")
        self.puts.append((key, lease))


class FakeSchema(StoreSchema):
    first_key = "first"

    def decode_items(self, items, *, complete):
        return ()

    def decode_change(self, item):
        if item.value is None:
            raise ZeroDivisionError
        return (NodeLeaseEnded(name=item.key),)

    def encode_node(self, node):
        return StoreItem(key=node.name, value=b"x")


@behave.given("a follower of a store at revision {revision:d}")
def start_follower(context, revision):
    context.clock = Clock()
    context.store = FakeStore(revision)
    context.store.fails_next_put = getattr(context, "fails_next_put", False)
    context.events = []
    context.lines = []
    core = RoutingCore(
        rules=RouterRules(node="n", failure_domain=""), rng=random.Random(1)
    )

    def report(event):
        context.events.append(event)
        context.lines += [
            command
            for command in core.step(event, context.clock.seconds())
            if isinstance(command, LogDecision)
        ]

    context.exceptions = []
    context.nodes = 1
    context.follower = StoreFollower(
        reactor=context.clock,
        client=context.store,
        schema=FakeSchema(),
        node=NodeEntry(name="n", address="", failure_domain=""),
        report=report,
        report_exception=context.exceptions.append,
        rng=random.Random(1),
        pace=StorePace(allowance=StoreAllowance()),
        count_nodes=lambda: context.nodes,
        read_version=lambda: 0,
    )
    context.follower.start()


def advance_clock(context, seconds=1.0):
    for _ in range(round(seconds / 0.05)):
        context.clock.advance(0.05)


def deliver_change(context, revision, value):
    item = StoreItem(key=f"key-{revision}", value=value)
    pending_watch = context.store.pending_watch
    pending_watch.callback(StoreItems(items=(item,), revision=revision))
    advance_clock(context)


@behave.then("it has read all items and watches after {revision:d}")
def check_listed_and_watching(context, revision):
    advance_clock(context, 2.0)
    assert context.store.listed_revisions[-1] == revision
    assert context.store.watched_revisions[-1] == revision


@behave.when("a change arrives at revision {revision:d}")
def deliver_readable_change(context, revision):
    deliver_change(context, revision, b"value")


@behave.when("a change arrives whose handling raises an exception")
def deliver_failing_change(context):
    before = len(context.store.listed_revisions)
    deliver_change(context, 6, None)
    assert isinstance(context.exceptions[0], ZeroDivisionError)
    advance_clock(context)
    assert len(context.store.listed_revisions) == before + 1


@behave.then("the change is reported and it watches after {revision:d}")
def check_change_reported(context, revision):
    changes = find_events(context, NodeLeaseEnded)
    assert changes[-1] == NodeLeaseEnded(name=f"key-{revision}")
    assert context.store.watched_revisions[-1] == revision


@behave.when(
    "the history is compacted and the store is at revision {revision:d}"
)
def compact_history(context, revision):
    context.store.revision = revision
    context.store.pending_watch.errback(HistoryCompacted())
    advance_clock(context)


@behave.when("the history is gone and the next page is refused")
def refuse_page(context):
    context.store.fails_next_page = True
    context.listings = len(context.store.listed_revisions)
    context.store.pending_watch.errback(HistoryCompacted())


@behave.then("the page is read again within {seconds:g} s")
def check_page_read_again(context, seconds):
    context.clock.advance(seconds)
    listings = len(context.store.listed_revisions) - context.listings
    assert listings == 2, listings


@behave.then("the store was not reported as lost")
def check_not_lost(context):
    assert not any(
        isinstance(item, StoreConnectionLost) for item in context.events
    )


@behave.when("the watch fails {count:d} times")
def fail_watch(context, count):
    for _ in range(count):
        context.store.pending_watch.errback(StoreUnavailable("silent"))
        advance_clock(context, 2.0)


@behave.then("each watch since then lasts at most {seconds:g} s")
def check_short_watches(context, seconds):
    assert context.store.watch_durations[0] > seconds, (
        context.store.watch_durations
    )
    assert max(context.store.watch_durations[1:]) <= seconds, (
        context.store.watch_durations
    )


@behave.then("the next watch lasts as long as the first")
def check_usual_watch(context):
    assert (
        context.store.watch_durations[-1] == context.store.watch_durations[0]
    )


@behave.then("the store was reported as lost")
def check_lost(context):
    assert any(
        isinstance(item, StoreConnectionLost) for item in context.events
    )


@behave.then("the store is reported as regained before the change")
def check_regained_first(context):
    kinds = [type(event) for event in context.events]
    assert kinds[-4:] == [
        StoreAnswered,
        StoreConnectionRestored,
        NodeLeaseEnded,
        StoreConfirmed,
    ], kinds


@behave.then("the node's key was written under a lease")
def check_key_under_lease(context):
    assert context.store.puts == [("n", 1)]


@behave.given("a store that fails the next write")
def fail_next_write(context):
    context.fails_next_put = True


@behave.when("the lease is due for renewal")
def wait_for_renewal(context):
    advance_clock(context, LEASE_RENEWAL_TIME_S)


@behave.when("its lease expires")
def expire_lease(context):
    context.store.lease_expired = True
    advance_clock(context, LEASE_RENEWAL_TIME_S)


@behave.then("the node's key was written under another lease")
def check_key_under_new_lease(context):
    assert context.store.puts == [("n", 1), ("n", 2)]


@behave.then("the delay after a change is 0.1 s with 1 node and 1.2 s with 36")
def check_batch_delays(context):
    for nodes, batch_delay_s in ((1, 0.1), (36, 1.2)):
        context.nodes = nodes
        deliver_change(context, 98, b"value")
        calls = len(context.store.watched_revisions)
        item = StoreItem(key="key", value=b"value")
        context.store.pending_watch.callback(
            StoreItems(items=(item,), revision=99)
        )
        context.clock.advance(batch_delay_s - 0.01)
        assert len(context.store.watched_revisions) == calls
        context.clock.advance(0.02)
        assert len(context.store.watched_revisions) == calls + 1


@behave.then(
    "with limits of {apply_limit_s:g} s to apply and {catch_up_limit_s:g} s "
    "to catch up, a node of {nodes:d} reads a change in time although an "
    "outage has cut off its watch"
)
def check_change_in_time(context, apply_limit_s, catch_up_limit_s, nodes):
    pace = StorePace(
        allowance=StoreAllowance(
            change_limit_s=apply_limit_s, recovery_limit_s=catch_up_limit_s
        )
    )
    batch_delay_s = pace.compute_batch_delay(nodes, SINGLE_CHANGE)
    assert batch_delay_s + CALL_TIMEOUT_S < apply_limit_s, pace
    # In the worst outage a check was answered just before the watch was lost;
    # the next one tells, as it reads no copy.
    next_call_s = pace.check_interval_s + ANSWER_GRACE_S + MAX_FIRST_BACKOFF_S
    assert next_call_s < min(apply_limit_s, catch_up_limit_s), next_call_s
    play_outage(context, pace, nodes)


@behave.then(
    "with limits of {apply_limit_s:g} s to apply and {catch_up_limit_s:g} s "
    "to catch up, a node of {nodes:d} notices in time that its connections "
    "went silent after a change"
)
def check_silence_noticed(context, apply_limit_s, catch_up_limit_s, nodes):
    start_follower(context, 5)
    context.nodes = nodes
    context.follower.pace = StorePace(
        allowance=StoreAllowance(
            change_limit_s=apply_limit_s, recovery_limit_s=catch_up_limit_s
        )
    )
    # The nodes are counted before a watch.
    deliver_change(context, 5, b"value")
    # The watch since then, and each check, is on a silent connection.
    context.store.pending_watch.callback(
        StoreItems(items=SINGLE_CHANGE, revision=6)
    )
    silent_at = context.clock.seconds()
    reads = context.store.reads
    while context.store.reads == reads:
        context.clock.advance(0.01)
    check_s = context.clock.seconds() - silent_at
    next_call_s = check_s + CALL_TIMEOUT_S + MAX_FIRST_BACKOFF_S
    assert next_call_s <= catch_up_limit_s, next_call_s


def play_outage(context, pace, nodes):
    """The watch's answer is lost; copies are old by most of an interval."""
    start_follower(context, 5)
    context.nodes = nodes
    context.follower.pace = pace
    lost_at = context.clock.seconds()
    copy_age_s = 0.9 * pace.check_interval_s
    watches = len(context.store.watched_revisions)
    while len(context.store.watched_revisions) == watches:
        if context.clock.seconds() - lost_at >= copy_age_s:
            context.store.revision = 6
        context.clock.advance(0.05)
        late_s = context.clock.seconds() - lost_at
        assert late_s <= pace.allowance.recovery_limit_s, late_s


@behave.when("the answer of the watch to revision {revision:d} is lost")
def lose_answer(context, revision):
    context.store.revision = revision


@behave.then("within {seconds:g} s it watches again after {revision:d}")
def check_watches_again(context, seconds, revision):
    watches = len(context.store.watched_revisions)
    advance_clock(context, seconds)
    assert len(context.store.watched_revisions) > watches
    assert context.store.watched_revisions[watches] == revision


@behave.when("the store fails to answer checks")
def fail_checks(context):
    context.store.read_failure = StoreUnavailable("silent")


@behave.when("a check meets an unexpected error")
def break_checks(context):
    context.store.read_failure = ZeroDivisionError("unexpected")


@behave.when("a renewal meets an unexpected error")
def break_renewal(context):
    context.store.renewal_failure = ZeroDivisionError("unexpected")
    advance_clock(context, LEASE_RENEWAL_TIME_S)


@behave.then("the error was reported and the lease is renewed later")
def check_lease_kept(context):
    assert len(context.exceptions) == 1, context.exceptions
    assert context.store.renewals >= 2, context.store.renewals
    assert len(context.store.puts) == 1, context.store.puts


@behave.when("{seconds:g} s pass without a change")
def wait_without_change(context, seconds):
    advance_clock(context, seconds)


@behave.then("it has made {watches:d} watch and {checks:d} checks")
def check_call_counts(context, watches, checks):
    assert len(context.store.watched_revisions) == watches
    assert context.store.reads == checks, context.store.reads


@behave.when("the watch is answered as a check finds revision {revision:d}")
def answer_after_check(context, revision):
    context.store.revision = revision
    interval_s = context.follower.pace.check_interval_s
    advance_clock(context, interval_s + 0.1)
    deliver_change(context, revision, b"value")


@behave.when("the node stops following the store")
def stop_follower(context):
    context.follower.stop()
    advance_clock(context, 5.0)


@behave.then("no call was made since and no exception was reported")
def check_stopped(context):
    assert not context.exceptions, context.exceptions
    assert context.store.reads == 0


@behave.when("{count:d} changes arrive at once, as after an outage")
def deliver_small_changes(context, count):
    deliver_changes(context, count, b"value")


@behave.when("{count:d} changes of {size:d} KB each arrive at once")
def deliver_large_changes(context, count, size):
    deliver_changes(context, count, bytes(size * 1024))


def deliver_changes(context, count, value):
    context.nodes = 36
    items = tuple(
        StoreItem(key=f"key-{number}", value=value) for number in range(count)
    )
    context.calls = len(context.store.watched_revisions)
    context.store.pending_watch.callback(StoreItems(items=items, revision=505))


@behave.then("what the store had accepted by then is not taken for known")
def check_not_confirmed(context):
    context.confirmed = len(find_events(context, StoreConfirmed))
    assert context.confirmed == 1, context.confirmed


@behave.then("what the store had accepted by then is taken for known")
def check_confirmed(context):
    confirmed = len(find_events(context, StoreConfirmed))
    assert confirmed == context.confirmed + 1, confirmed


@behave.then("the next watch starts without a delay")
def check_no_batch_delay(context):
    assert len(context.store.watched_revisions) == context.calls + 1
    assert context.store.watched_revisions[-1] == 505


@behave.then(
    "under steady change a node of {many:d} makes at most a third of the "
    "calls that one of {few:d} makes"
)
def check_call_rates(context, many, few):
    pace = StorePace(
        allowance=StoreAllowance(change_limit_s=5.0, recovery_limit_s=5.0)
    )
    few_s = pace.compute_batch_delay(few, SINGLE_CHANGE)
    many_s = pace.compute_batch_delay(many, SINGLE_CHANGE)
    assert 3 * few_s <= many_s, pace


@behave.then("the loss and the return tell for how long the store was silent")
def check_silence_told(context):
    deliver_change(context, 9, b"value")
    lost_s, restored_s = (
        field.value
        for sentence in ("Lost the store", "Regained the store")
        for line in context.lines
        if line.sentence.startswith(sentence)
        for field in line.fields
        if field.name == "silent_s"
    )
    assert lost_s is not None
    assert restored_s > lost_s, (lost_s, restored_s)


@behave.then(
    "the listing at the start is reported with its pages and failures"
)
def check_listing_told(context):
    (listed,) = find_events(context, StoreListed)
    assert (listed.cause, listed.pages, listed.failures) == ("start", 1, 0)


def find_events(context, kind):
    return [event for event in context.events if isinstance(event, kind)]
