"""Steps about delegation to peers, and isolation."""

import collections
import dataclasses

import behave
from routing_harness import build_replica
from routing_harness import build_request
from routing_harness import build_route
from routing_harness import DOMAIN
from routing_helpers import build_records
from routing_helpers import find_answer
from routing_helpers import find_last_command
from routing_helpers import list_shards
from routing_helpers import reply_to_attempts
from routing_helpers import ROUTE
from routing_helpers import send_request
from routing_helpers import start

from bluebellbay.coordination.routing.top_records import RECORD_BYTES
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbeReplica
from bluebellbay.protocol.delegation import ReplicaProbed
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.registry import NodeRegistered
from bluebellbay.protocol.registry import SetKeepAlive

UNKNOWN_SHARDS = ("new-0", "new-1")


@behave.given(
    'a query route over 6 shards, {remote:d} of them only in "{domain}"'
)
def step_query_remote(context, remote, domain):
    shards = list_shards(6)
    start(
        context,
        build_route(ROUTE, shards=shards),
        replicas=[
            build_replica(
                f"r-{shard}",
                shard,
                failure_domain=domain if number < remote else DOMAIN,
            )
            for number, shard in enumerate(shards)
        ],
    )


@behave.given('a peer in "{domain}"')
def step_peer(context, domain):
    node = NodeEntry(
        name="peer", address="10.0.0.9:7000", failure_domain=domain
    )
    context.harness.feed(NodeRegistered(node=node))


@behave.then("4 shards are delegated to the peer and 2 are queried directly")
def step_delegated(context):
    (command,) = context.harness.delegations.values()
    assert len(command.terms.shards) == 4
    assert len(context.harness.list_sent_attempts(context.exchange)) == 2


@behave.when("the peer answers with 3 shards and the others reply")
def step_peer_answers(context):
    (number,) = context.harness.delegations
    answer = MergedAnswer(
        exchange=0,
        records=build_records("shard-0"),
        digests=("shard-0", "shard-1", "shard-2"),
        missing=1,
    )
    context.harness.feed(DelegationAnswered(attempt=number, answer=answer))
    reply_to_attempts(context)


@behave.when("the peer can't be reached")
def step_peer_unreached(context):
    fail_delegation(context, sent=False)


@behave.when("the connection to the peer fails")
def step_peer_fails(context):
    fail_delegation(context, sent=True)


def fail_delegation(context, *, sent):
    (number,) = context.harness.delegations
    context.harness.feed(
        AttemptFailed(attempt=number, sent=sent, reason="connection")
    )


@behave.given("each of these shards has 3 replicas")
def step_more_replicas(context):
    state = context.harness.core.state
    first = [
        record.entry
        for record in state.replicas
        if record.entry.failure_domain != DOMAIN
    ]
    for entry in first:
        context.harness.add_replicas(
            *(
                dataclasses.replace(
                    entry, replica_id=f"{entry.replica_id}-{number}"
                )
                for number in range(2)
            )
        )


@behave.then("each shard of the peer is queried directly, as a retry")
def step_queried_again(context):
    harness = context.harness
    sent = harness.list_sent_attempts(context.exchange)
    assert sorted(item.replica.service for item in sent) == list_shards(6)
    (terms,) = (item.terms for item in harness.delegations.values())
    for shard in list_shards(6):
        assert count_repeats(harness, shard) == (shard in terms.shards), shard


def count_repeats(harness, shard):
    budget = harness.core.context.budgets.get(shard, harness.now)
    return budget._retries.total


@behave.when(
    "{count:d} requests arrive within {seconds:g} s, and the connection to "
    "the peer fails each time"
)
def step_peer_fails_always(context, count, seconds):
    harness = context.harness
    context.queried = collections.Counter()
    for _ in range(count):
        before = set(harness.delegations)
        send_request(context)
        direct = harness.list_sent_attempts(context.exchange)
        (number,) = set(harness.delegations) - before
        harness.feed(
            AttemptFailed(attempt=number, sent=True, reason="connection")
        )
        harness.feed(PeerProbed(name="peer", answered=True))
        sent = harness.list_sent_attempts(context.exchange)[len(direct) :]
        context.queried.update(item.replica.service for item in sent)
        reply_to_attempts(context)
        harness.advance(seconds / count)


@behave.then("the repeated queries of each shard stay within its budget")
def step_repeats_bounded(context):
    slack = context.harness.rules.retries.slack
    assert context.queried
    assert max(context.queried.values()) <= slack, context.queried


@behave.then("nothing of the next request is delegated")
def step_not_delegated(context):
    before = len(context.harness.delegations)
    send_request(context)
    assert len(context.harness.delegations) == before
    assert len(context.harness.list_sent_attempts(context.exchange)) == 6


@behave.when("a peer delegates 2 shards")
def step_peer_delegates(context):
    send_delegated_query(context, ROUTE, ("shard-0", "shard-1"))


@behave.when(
    "a peer delegates 2 shards of a route that this node does not know"
)
def step_peer_delegates_unknown_route(context):
    send_delegated_query(context, "other", ("shard-0", "shard-1"))


@behave.when("a peer delegates 2 shards of a set that this node does not know")
def step_peer_delegates_unknown_set(context):
    context.harness.add_replicas(
        *(build_replica(f"r-{shard}", shard) for shard in UNKNOWN_SHARDS)
    )
    send_delegated_query(context, ROUTE, UNKNOWN_SHARDS)


def send_delegated_query(context, route, shards):
    context.exchange += 1
    terms = DelegationTerms(
        shards=shards, objective_s=0.1, most_records=2, most_attempts=1
    )
    request = build_request(route, number=context.exchange, delegation=terms)
    context.harness.feed(
        ExchangeOpened(exchange=context.exchange, request=request, age_s=0.0)
    )


@behave.then("only these shards are queried, one replica each, for 2 records")
def step_peer_terms(context):
    harness = context.harness
    harness.advance(0.09)
    sent = harness.list_sent_attempts(context.exchange)
    assert sorted(item.replica.service for item in sent) == [*UNKNOWN_SHARDS]
    reply_to_attempts(context)
    answer = find_answer(context)
    assert sorted(answer.digests) == [*UNKNOWN_SHARDS]
    assert len(answer.records) == 2 * RECORD_BYTES


@behave.when("the node is told to shut down")
def step_shut_down(context):
    context.harness.feed(ShutdownRequested())


@behave.given("the node is ready")
@behave.then("the node is ready")
def step_node_ready(context):
    assert find_last_command(context, ReportHealth).healthy
    assert find_last_command(context, SetKeepAlive).allowed


@behave.when("a probe of the peer fails")
def step_probe_fails(context):
    context.harness.now += 0.001
    context.harness.feed(PeerProbed(name="peer", answered=False))


@behave.when("the probes of replicas there fail")
def step_replica_probe_fails(context):
    context.harness.feed(ReplicaProbed(answered=False))


@behave.when("a probe of a replica there succeeds")
def step_replica_probe_answers(context):
    context.harness.now += 0.001
    context.harness.feed(ReplicaProbed(answered=True))


@behave.when("40 requests arrive in 0.4 s and get no reply")
def step_no_replies(context):
    for _ in range(40):
        send_request(context)
        context.harness.advance(0.01)


@behave.then("at most {count:d} probes of replicas were sent")
def step_probes(context, count):
    probes = [
        command
        for command in context.harness.commands
        if isinstance(command, ProbeReplica)
    ]
    assert 0 < len(probes) <= count, len(probes)


@behave.when("the peer answers a probe")
def step_probe_answers(context):
    context.harness.feed(PeerProbed(name="peer", answered=True))


@behave.when('the replicas in "{domain}" reply')
def step_remote_replies(context, domain):
    harness = context.harness
    for number in harness.list_open_attempts():
        replica = harness.attempts[number].command.replica
        if replica.failure_domain == domain:
            harness.reply(number)


@behave.then("the node is not ready and closes its connections")
def step_node_not_ready(context):
    assert not find_last_command(context, ReportHealth).healthy
    assert not find_last_command(context, SetKeepAlive).allowed


@behave.then("the answer allows a retry within 20 ms")
def step_retry_at_once(context):
    assert find_answer(context).retry_after_s <= 0.02
