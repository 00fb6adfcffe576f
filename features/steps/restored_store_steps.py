"""Steps about a store that comes back from a copy."""

import base64
import dataclasses
import json
import time

import behave
from following_node import FollowingNode
from platform_world import wait_for
from query_history_steps import hold_for_all
from restored_store import RestoredStore
from restoring_history import RestoringHistory
from routing_harness import RoutingHarness
from routing_history_steps import SEEDS
from store_age_steps import check_reported_in_time
from store_age_steps import ENTRY
from store_age_steps import write_configuration

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import NodeRegistered
from bluebellbay.protocol.registry import NodesListed

EVACUATION_KEY = "op/evacuate/z"
NODE_KEY = "nodes/node-0"
REPLICA_KEY = "servers/r0"
# Entries lapse after three heartbeats.
LAPSE_S = 3.6


@behave.given("a node that follows a store with {count:d} replicas")
def start_node(context, count):
    store = context.store = RestoredStore()
    context.add_cleanup(store.stop)
    context.empty_copy = store.take_copy()
    for number in range(count):
        store.put(f"servers/r{number}", ENTRY)
    context.version = 1
    write_configuration(context)
    context.node = FollowingNode(store)
    context.add_cleanup(context.node.stop)
    assert wait_for(lambda: len(context.node.replicas) == count)
    assert wait_for(lambda: context.node.version == context.version)
    assert wait_for(lambda: NODE_KEY in store.items)


def has_in_force(context):
    return context.node.version == context.version


@behave.when(
    "a copy is taken, and {count:d} configurations are written and in force"
)
def step_write_configurations(context, count):
    context.copy = context.store.take_copy()
    context.copied_version = context.version
    for _ in range(count):
        write_configuration(context)
        assert wait_for(lambda: has_in_force(context))
    context.read_revision = context.store.revision


@behave.when("a copy is taken, and 1 replica goes and is forgotten")
def step_remove_replica(context):
    context.copy = context.store.take_copy()
    context.store.remove(REPLICA_KEY)
    assert wait_for(lambda: "r0" not in context.node.replicas)


@behave.when("a copy is taken, and a replica is added and known")
def step_add_replica(context):
    context.copy = context.store.take_copy()
    context.store.put("servers/new", ENTRY)
    assert wait_for(lambda: "new" in context.node.replicas)


@behave.when("a copy is taken, and an evacuation is {change} and in force")
def step_evacuate(context, change):
    store = context.store
    if change == "written":
        context.copy = store.take_copy()
        store.put(EVACUATION_KEY, {})
    else:
        store.put(EVACUATION_KEY, {})
        assert wait_for(lambda: is_evacuated(context))
        context.copy = store.take_copy()
        store.remove(EVACUATION_KEY)
    assert wait_for(lambda: is_evacuated(context) == (change == "written"))


def is_evacuated(context):
    return "z" in context.node.core.state.evacuated_domains


@behave.when("copies of the store are of the former era for {seconds:g} s")
def step_former_copies(context, seconds):
    context.former_s = seconds


@behave.when("the store comes back from the copy while the watch is {watch}")
def step_restore(context, watch):
    store = context.store
    store.holds_watches = watch == "kept waiting"
    former_s = getattr(context, "former_s", 0.0)
    store.shows_former = former_s > 0
    store.refuses_all = watch == "cut"
    store.restore(context.copy)
    if former_s:
        context.node.call_later(former_s, set_shows_former, store)
    context.restored_at = time.monotonic()


def set_shows_former(store):
    store.shows_former = False


@behave.when("it accepts {count:d} other writes before the node asks again")
def step_other_writes(context, count):
    for number in range(count):
        context.store.put(f"other/{number}", {})
    assert context.store.revision > context.read_revision


@behave.when(
    "a configuration with a later version is written under a revision that "
    "was read before"
)
def step_later_configuration(context):
    store = context.store
    # The write is the first one of the era, before what else was accepted.
    with store._changed:
        write_configuration(context)
        item = store.items["op/config"]
        item["revision"] = context.copy.revision + 1
    assert item["revision"] <= context.read_revision
    store.refuses_all = False
    context.changed_at = time.monotonic()


@behave.then("that version is in force within {seconds:g} s")
def check_in_force(context, seconds):
    check_reported_in_time(context, seconds)


def hold(seconds, condition):
    """Check that a condition holds for some time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert condition()
        time.sleep(0.02)


@behave.then(
    "for {seconds:g} s the last version stays in force, and the log tells"
)
def check_stays(context, seconds):
    context.store.refuses_all = False
    hold(seconds, lambda: has_in_force(context))
    assert context.node.core.state.store.era == 2
    lines = [line.sentence for line in context.node.lines]
    for words in ("came back from a copy", "older than the one in force"):
        assert any(words in line for line in lines), lines


@behave.when("the configurations are written again, and one more")
def step_write_again(context):
    last = context.version
    context.version = context.copied_version
    while context.version <= last:
        write_configuration(context)


def is_used(context):
    node = context.node
    record = node.core.state.replicas.find("r0")
    return record is not None and record.unlisted_at is None


@behave.then("the replica is not used until its entry is removed again")
def check_not_used(context):
    context.store.refuses_all = False
    hold(LAPSE_S - 0.6, lambda: not is_used(context))
    context.store.remove(REPLICA_KEY)
    hold(5.0, lambda: not is_used(context))


@behave.then(
    "the replica is used within {seconds:g} s if its entry doesn't lapse"
)
def check_used(context, seconds):
    context.store.refuses_all = False
    assert wait_for(lambda: context.node.core.state.store.era == 2)
    assert wait_for(lambda: is_used(context), seconds)


@behave.when("the replica writes its entry again after {seconds:g} s")
def step_written_again(context, seconds):
    context.store.refuses_all = False
    context.written_at = time.monotonic() + seconds


@behave.then("the replica stays known throughout")
def check_known(context):
    def is_known():
        return "new" in context.node.replicas

    hold(context.written_at - time.monotonic(), is_known)
    context.store.put("servers/new", {**ENTRY, "sequence": 2})
    hold(3.0, is_known)
    record = context.node.core.state.replicas.find("new")
    assert record.unlisted_at is None


@behave.then("for {seconds:g} s the evacuation stays {change}")
def check_evacuation(context, seconds, change):
    context.store.refuses_all = False
    hold(seconds, lambda: is_evacuated(context) == (change == "written"))
    assert context.node.core.state.store.era == 2


@behave.when("the operator writes again that it is {change}")
def step_evacuation_again(context, change):
    if change == "written":
        context.store.put(EVACUATION_KEY, {})
    else:
        context.store.remove(EVACUATION_KEY)


@behave.then("it follows the operator from then on")
def check_follows(context):
    store = context.store
    for _ in range(2):
        evacuated = EVACUATION_KEY not in store.items
        if evacuated:
            store.put(EVACUATION_KEY, {})
        else:
            store.remove(EVACUATION_KEY)
        assert wait_for(
            lambda wanted=evacuated: is_evacuated(context) == wanted
        )


@behave.when(
    "the store comes back from a copy of before the node, and gives its "
    "lease away"
)
def step_lose_node(context):
    store = context.store
    with store._changed:
        copy = context.empty_copy
        items = {key: store.items[key] for key in store.items}
        items.pop(NODE_KEY)
        store.restore(
            type(copy)(
                items=items,
                events=copy.events,
                revision=store.revision - 1,
                leases=copy.leases,
                next_lease=copy.next_lease,
            )
        )
        context.foreign = store.open_foreign_lease()
        store.owners.clear()


@behave.then(
    "the node is registered within {seconds:g} s under a lease of its own"
)
def check_registered(context, seconds):
    store = context.store
    assert wait_for(lambda: NODE_KEY in store.items, seconds + 2.5)
    assert store.owners[NODE_KEY] != context.foreign, store.owners


@behave.then("{count:d} nodes that write their entries again change nothing")
def check_registered_again(context, count):
    harness = context.harness = RoutingHarness(nodes=count)
    context.nodes = [
        NodeEntry(name=f"n{number}", address=f"a{number}", failure_domain="z")
        for number in range(count)
    ]
    harness.feed(NodesListed(nodes=tuple(context.nodes)))
    before = harness.core.state.node_changes
    for node in context.nodes:
        again = dataclasses.replace(node, version=7)
        harness.feed(NodeRegistered(node=again))
    assert harness.core.state.node_changes == before


@behave.then("one of them that comes back elsewhere, or after its lease, does")
def check_node_changes(context):
    harness = context.harness
    node = context.nodes[0]
    moved = dataclasses.replace(node, address="elsewhere")
    for events in (
        (NodeRegistered(node=moved),),
        (NodeLeaseEnded(name=node.name), NodeRegistered(node=moved)),
    ):
        before = harness.core.state.node_changes
        for event in events:
            harness.feed(event)
        assert harness.core.state.node_changes == before + len(events)
    assert harness.core.state.peers[node.name].is_registered


@behave.when("the node has registered anew, and another one starts")
def step_start_other(context):
    store = context.store
    store.refuses_all = False

    def is_registered():
        return read_node(store).get("version") == context.version

    assert wait_for(is_registered), read_node(store)
    context.other = FollowingNode(store, name="node-1")
    context.add_cleanup(context.other.stop)
    assert wait_for(lambda: context.other.replicas)


def read_node(store):
    item = store.items.get(NODE_KEY)
    return json.loads(base64.b64decode(item["value"])) if item else {}


@behave.then("for {seconds:g} s the other one has no configuration in force")
def check_waits(context, seconds):
    hold(seconds, lambda: context.other.version == 0)


@behave.then("it has the older one in force within {seconds:g} s")
def check_older(context, seconds):
    assert wait_for(
        lambda: context.other.version == context.copied_version, seconds
    )


@behave.then("that version is in force at both within {seconds:g} s")
def check_both(context, seconds):
    check_reported_in_time(context, seconds)
    context.node = context.other
    check_reported_in_time(context, seconds)


@behave.then(
    "over random histories with restores no change is late or taken back"
)
def check_histories(context):
    del context

    @hold_for_all(SEEDS, examples=80)
    def check(seed):
        history = RestoringHistory(seed)
        history.add_random_restores()
        history.add_random_changes()
        history.add_random_removals()
        history.add_random_arrivals()
        history.run(history.check)
        history.check_end()

    check()
