"""Steps about following the store."""

import random

import behave
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored
from bluebellbay.transport.follower import StoreFollower
from bluebellbay.transport.store import HistoryGone
from bluebellbay.transport.store import LeaseGone
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.store import StoreItems
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.store_pace import StorePace

AMPLE_S = 60.0
CALL_TIMEOUT_S = 1.5
LONGEST_FIRST_PAUSE_S = 0.15
SHORT_OUTAGE_S = 0.8
CHANGE = (StoreItem(key="key", value=b"value"),)


class FakeStore(StoreClient):
    def __init__(self, revision):
        self.revision = revision
        self.lists = []
        self.watched = []
        self.waits = []
        self.waiting = None
        self.puts = []
        self.lease = 0
        self.lease_gone = False

    async def list_items(self):
        self.lists.append(self.revision)
        return StoreItems(items=(), revision=self.revision)

    async def watch(self, after, wait_s):
        self.watched.append(after)
        self.waits.append(wait_s)
        self.waiting = Deferred()
        return await self.waiting

    async def open_lease(self, ttl_s):
        self.lease += 1
        return self.lease

    async def renew_lease(self, lease):
        if self.lease_gone:
            self.lease_gone = False
            raise LeaseGone

    async def put(self, key, value, lease):
        self.puts.append((key, lease))


class FakeSchema(StoreSchema):
    def read_list(self, items):
        return ()

    def read_change(self, item):
        if item.value is None:
            raise ZeroDivisionError
        return (NodeLeaseEnded(name=item.key),)

    def write_node(self, node):
        return StoreItem(key=node.name, value=b"x")


@behave.given("a follower of a store at revision {revision:d}")
def step_follower(context, revision):
    context.clock = Clock()
    context.store = FakeStore(revision)
    context.events = []
    context.faults = []
    context.nodes = 1
    context.follower = StoreFollower(
        reactor=context.clock,
        client=context.store,
        schema=FakeSchema(),
        node=NodeEntry(name="n", address="", failure_domain=""),
        report=context.events.append,
        note_fault=context.faults.append,
        rng=random.Random(1),
        pace=StorePace(apply_s=3.0, contact_s=4.0),
        count_nodes=lambda: context.nodes,
    )
    context.follower.start()


def pass_time(context, seconds=1.0):
    for _ in range(round(seconds / 0.05)):
        context.clock.advance(0.05)


def change(context, revision, value):
    item = StoreItem(key=f"key-{revision}", value=value)
    waiting = context.store.waiting
    waiting.callback(StoreItems(items=(item,), revision=revision))
    pass_time(context)


@behave.then("it has read all keys and watches after {revision:d}")
def step_listed(context, revision):
    pass_time(context, 2.0)
    assert context.store.lists[-1] == revision
    assert context.store.watched[-1] == revision


@behave.when("a change comes at revision {revision:d}")
def step_change(context, revision):
    change(context, revision, b"value")


@behave.when("a change comes that can't be handled")
def step_bad_change(context):
    before = len(context.store.lists)
    change(context, 6, None)
    assert isinstance(context.faults[0], ZeroDivisionError)
    pass_time(context)
    assert len(context.store.lists) == before + 1


@behave.then("the change is reported and it watches after {revision:d}")
def step_changed(context, revision):
    assert context.events[-1] == NodeLeaseEnded(name=f"key-{revision}")
    assert context.store.watched[-1] == revision


@behave.when("the history is gone and the store is at revision {revision:d}")
def step_history(context, revision):
    context.store.revision = revision
    context.store.waiting.errback(HistoryGone())
    pass_time(context)


@behave.then("the store was not reported as lost")
def step_not_lost(context):
    assert not any(
        isinstance(item, StoreConnectionLost) for item in context.events
    )


@behave.when("the watch fails {count:d} times")
def step_fail(context, count):
    for _ in range(count):
        context.store.waiting.errback(StoreUnavailable("silent"))
        pass_time(context, 2.0)


@behave.then("each call since then waits for {seconds:g} s at most")
def step_short_waits(context, seconds):
    assert context.store.waits[0] > seconds, context.store.waits
    assert max(context.store.waits[1:]) <= seconds, context.store.waits


@behave.then("the next call waits as usual")
def step_usual_wait(context):
    assert context.store.waits[-1] == context.store.waits[0]


@behave.then("the store was reported as lost")
def step_lost(context):
    assert any(
        isinstance(item, StoreConnectionLost) for item in context.events
    )


@behave.then("the store is regained before the change is reported")
def step_regained(context):
    kinds = [type(event) for event in context.events]
    assert kinds[-2:] == [StoreConnectionRestored, NodeLeaseEnded], kinds


@behave.then("the node's key was written under a lease")
def step_lease(context):
    assert context.store.puts == [("n", 1)]


@behave.when("its lease ends")
def step_lease_ends(context):
    context.store.lease_gone = True
    pass_time(context, AMPLE_S)


@behave.then("the node's key was written under another lease")
def step_lease_again(context):
    assert context.store.puts == [("n", 1), ("n", 2)]


@behave.then("the pause after a change is 0.1 s with 1 node and 1.2 s with 36")
def step_pauses(context):
    for nodes, pause_s in ((1, 0.1), (36, 1.2)):
        context.nodes = nodes
        change(context, 98, b"value")
        calls = len(context.store.watched)
        item = StoreItem(key="key", value=b"value")
        context.store.waiting.callback(StoreItems(items=(item,), revision=99))
        context.clock.advance(pause_s - 0.01)
        assert len(context.store.watched) == calls
        context.clock.advance(0.02)
        assert len(context.store.watched) == calls + 1


@behave.then(
    "with {apply_s:g} s to apply and {contact_s:g} s of contact, a node of "
    "{nodes:d} hears of a change in time though an outage silenced its call"
)
def step_in_time(context, apply_s, contact_s, nodes):
    pace = StorePace(apply_s=apply_s, contact_s=contact_s)
    gather_s = pace.find_gather(nodes, CHANGE)
    assert gather_s + CALL_TIMEOUT_S < apply_s, pace
    # An outage begins with the wait, and all else is lost to it.
    asked_s = pace.find_wait(nodes) + CALL_TIMEOUT_S + LONGEST_FIRST_PAUSE_S
    assert asked_s - SHORT_OUTAGE_S <= contact_s, asked_s


@behave.when("{count:d} changes come at once, as after an outage")
def step_backlog(context, count):
    bring_backlog(context, count, b"value")


@behave.when("{count:d} changes of {size:d} KB each come at once")
def step_large_backlog(context, count, size):
    bring_backlog(context, count, bytes(size * 1024))


def bring_backlog(context, count, value):
    context.nodes = 36
    items = tuple(
        StoreItem(key=f"key-{number}", value=value) for number in range(count)
    )
    context.calls = len(context.store.watched)
    context.store.waiting.callback(StoreItems(items=items, revision=505))


@behave.then("the rest is read without a pause")
def step_no_pause(context):
    assert len(context.store.watched) == context.calls + 1
    assert context.store.watched[-1] == 505


@behave.then(
    "under steady change a node of {many:d} makes at most a third of the "
    "calls of one of {few:d}"
)
def step_calls(context, many, few):
    pace = StorePace(apply_s=5.0, contact_s=5.0)
    few_s = pace.find_gather(few, CHANGE)
    many_s = pace.find_gather(many, CHANGE)
    assert 3 * few_s <= many_s, pace
