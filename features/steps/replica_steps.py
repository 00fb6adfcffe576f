"""Steps about replicas that the store lists."""

import behave
from routing_harness import build_replica
from routing_helpers import reply_to_attempts
from routing_helpers import send_request
from routing_helpers import SERVICE

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.protocol.registry import StoreAnswered
from bluebellbay.protocol.registry import StoreConfirmed
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored


@behave.when('replica "{replica}" starts to drain')
def step_drain(context, replica):
    entry = build_replica(replica, SERVICE, draining=True, sequence=5)
    context.harness.add_replicas(entry)


@behave.when('an older entry of "{replica}" says that it is ready')
def step_old_entry(context, replica):
    context.harness.add_replicas(build_replica(replica, SERVICE, sequence=4))
    context.harness.add_replicas(
        build_replica(replica, SERVICE, started_ms=900)
    )


@behave.when('"{replica}" restarts at another address')
def step_restart(context, replica):
    context.new_address = "10.0.0.2:9999"
    context.harness.add_replicas(
        build_replica(
            replica, SERVICE, started_ms=2000, address=context.new_address
        )
    )


@behave.then("it was sent to the new address")
def step_new_address(context):
    (sent,) = context.harness.list_sent_attempts(context.exchange)
    assert sent.replica.address == context.new_address


@behave.when('the entry of "{replica}" is removed')
def step_unlist(context, replica):
    context.harness.feed(ReplicaRemoved(replica_id=replica))


@behave.when('the entry of "{replica}" is written again')
def step_entry_rewritten(context, replica):
    context.harness.add_replicas(build_replica(replica, SERVICE, sequence=9))


@behave.when("the store confirms that all its changes are known")
def step_store_confirms(context):
    context.harness.feed(StoreAnswered())
    context.harness.feed(StoreConfirmed(confirmed_at=context.harness.now))


@behave.when("a call to the store fails")
def step_store_lost(context):
    feed_store_lost(context, 0.0)


@behave.when("a call to the store fails that was made {seconds:g} s before")
def step_store_call_failed(context, seconds):
    feed_store_lost(context, seconds)


def feed_store_lost(context, duration_s):
    asked_at = context.harness.now - duration_s
    context.harness.feed(
        StoreConnectionLost(reason="silent", asked_at=asked_at)
    )


@behave.when("the store is available again")
def step_store_regained(context):
    context.harness.feed(StoreAnswered())
    context.harness.feed(StoreConnectionRestored())


@behave.then("{count:d} replica is known")
@behave.then("{count:d} replicas are known")
def step_known(context, count):
    assert len(context.harness.core.state.replicas) == count


@behave.then('none of them went to "{replica}"')
def step_avoided(context, replica):
    for exchange in range(context.first, context.exchange + 1):
        sent = context.harness.list_sent_attempts(exchange)
        assert sent
        assert sent[0].replica.replica_id != replica


@behave.when("one replica does not answer a request")
def step_no_reply(context):
    send_request(context)
    (sent,) = context.harness.list_sent_attempts(context.exchange)
    context.avoided = sent.replica.replica_id
    context.harness.advance(0.08)
    reply_to_attempts(context, skip_replica=context.avoided)


@behave.when("2 s later one replica takes 0.2 s for a reply")
def step_one_slow_reply(context):
    context.harness.advance(2.0)
    send_request(context)
    (sent,) = context.harness.list_sent_attempts(context.exchange)
    context.avoided = sent.replica.replica_id
    context.harness.advance(0.1)
    reply_to_attempts(context, skip_replica=context.avoided)
    context.harness.advance(0.1)
    reply_to_attempts(context)


@behave.when("one replica refuses each attempt of 5 requests")
def step_refusals(context):
    context.avoided = "r1"
    for _ in range(5):
        send_request(context)
        for number in context.harness.list_open_attempts():
            attempt = context.harness.attempts[number]
            if attempt.command.replica.replica_id == "r1":
                context.harness.refuse(number)
        reply_to_attempts(context)


@behave.then("none of them went to that replica")
def step_avoided_replica(context):
    step_avoided(context, context.avoided)


@behave.when("6 nodes besides this one are listed")
def step_nodes(context):
    nodes = tuple(
        NodeEntry(name=f"other-{number}", address="", failure_domain="")
        for number in range(6)
    )
    context.harness.feed(NodesListed(nodes=nodes))


@behave.when("3 of these nodes are no longer listed")
def step_nodes_gone(context):
    for number in range(3):
        context.harness.feed(NodeLeaseEnded(name=f"other-{number}"))


@behave.then("this node may open {limit:d} connections to it")
def step_connections(context, limit):
    commands = [
        command
        for command in context.harness.commands
        if isinstance(command, SetConnectionLimit)
    ]
    assert commands[-1].limit == limit, commands[-1]
