"""Steps about the replicas that the store names."""

import behave
from routing_scene import arrive
from routing_scene import reply_to
from routing_scene import SERVICE
from routing_world import build_replica

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import NodeUnlisted
from bluebellbay.protocol.registry import ReplicaUnlisted
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.protocol.registry import StoreLost
from bluebellbay.protocol.registry import StoreRegained


@behave.when('replica "{replica}" drains')
def step_drain(context, replica):
    entry = build_replica(replica, SERVICE, draining=True, sequence=5)
    context.world.see(entry)


@behave.when('an older entry of "{replica}" says that it is ready')
def step_old_entry(context, replica):
    context.world.see(build_replica(replica, SERVICE, sequence=4))
    context.world.see(build_replica(replica, SERVICE, started_ms=900))


@behave.when('"{replica}" starts anew at another address')
def step_restart(context, replica):
    context.new_address = "10.0.0.2:9999"
    context.world.see(
        build_replica(
            replica, SERVICE, started_ms=2000, address=context.new_address
        )
    )


@behave.then("it was sent to the new address")
def step_new_address(context):
    (sent,) = context.world.list_sent(context.exchange)
    assert sent.replica.address == context.new_address


@behave.when('the entry of "{replica}" is gone')
def step_unlist(context, replica):
    context.world.feed(ReplicaUnlisted(replica_id=replica))


@behave.when('"{replica}" is written again')
def step_rewrite(context, replica):
    context.world.see(build_replica(replica, SERVICE, sequence=9))


@behave.when("the store is lost")
def step_store_lost(context):
    context.world.feed(StoreLost(reason="silent"))


@behave.when("the store is regained")
def step_store_regained(context):
    context.world.feed(StoreRegained())


@behave.then("{count:d} replica is known")
@behave.then("{count:d} replicas are known")
def step_known(context, count):
    assert len(context.world.core.state.replicas) == count


@behave.then('none of them went to "{replica}"')
def step_avoided(context, replica):
    for exchange in range(context.first, context.exchange + 1):
        sent = context.world.list_sent(exchange)
        assert sent
        assert sent[0].replica.replica_id != replica


@behave.when("a request to one replica stays without an answer")
def step_silence(context):
    arrive(context)
    (sent,) = context.world.list_sent(context.exchange)
    context.avoided = sent.replica.replica_id
    context.world.advance(0.08)
    reply_to(context, skip_replica=context.avoided)


@behave.when("2 s later one replica takes 0.2 s for a reply")
def step_slow_once(context):
    context.world.advance(2.0)
    arrive(context)
    (sent,) = context.world.list_sent(context.exchange)
    context.avoided = sent.replica.replica_id
    context.world.advance(0.1)
    reply_to(context, skip_replica=context.avoided)
    context.world.advance(0.1)
    reply_to(context)


@behave.when("one replica refuses each attempt of 5 requests")
def step_refusals(context):
    context.avoided = "r1"
    for _ in range(5):
        arrive(context)
        for number in context.world.list_open():
            arrival = context.world.arrivals[number]
            if arrival.command.replica.replica_id == "r1":
                context.world.refuse(number)
        reply_to(context)


@behave.then("none of them went to that replica")
def step_avoided_it(context):
    step_avoided(context, context.avoided)


@behave.when("6 nodes besides this one are listed")
def step_nodes(context):
    nodes = tuple(
        NodeEntry(name=f"other-{number}", address="", failure_domain="")
        for number in range(6)
    )
    context.world.feed(NodesListed(nodes=nodes))


@behave.when("3 of these nodes are gone")
def step_nodes_gone(context):
    for number in range(3):
        context.world.feed(NodeUnlisted(name=f"other-{number}"))


@behave.then("this node may open {limit:d} connections to it")
def step_connections(context, limit):
    commands = [
        command
        for command in context.world.commands
        if isinstance(command, SetConnectionLimit)
    ]
    assert commands[-1].limit == limit, commands[-1]
