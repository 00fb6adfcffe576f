"""Steps about delegated queries that are answered in parts."""

import behave
from ownership_steps import build_harness
from ownership_steps import list_nodes
from ownership_steps import ROUTE
from routing_harness import build_replica
from routing_harness import build_request
from routing_harness import build_route
from routing_harness import DOMAIN
from routing_harness import RoutingHarness

from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import MergedAnswer

FIRST = 1
SECOND = 2
THIRD = 3
FOURTH = 4
OBJECTIVE_S = 0.1
PEER_EXCHANGE = 7
PEERS_ANSWER_S = 0.08


def open_delegated(context, exchange, shards, *, resumes=None, number=FIRST):
    terms = DelegationTerms(
        shards=tuple(shards),
        objective_s=OBJECTIVE_S,
        most_records=5,
        most_attempts=2,
        resumes=resumes,
    )
    request = build_request(ROUTE, number=number, delegation=terms)
    context.harness.feed(
        ExchangeOpened(exchange=exchange, request=request, age_s=0.0)
    )


def reply_to(context, count=None):
    harness = context.harness
    for number in harness.list_open_attempts()[:count]:
        service = harness.attempts[number].command.replica.service
        harness.reply(number, digest=service)


@behave.given("a node that a peer asks for 4 shards within 100 ms")
def step_asked(context):
    context.shards = [f"shard-{number}" for number in range(4)]
    harness = context.harness = RoutingHarness(nodes=3)
    harness.configure(5, build_route(ROUTE, shards=context.shards))
    harness.add_replicas(
        *(build_replica(f"r-{shard}", shard) for shard in context.shards)
    )
    open_delegated(context, FIRST, context.shards)


@behave.when("2 shards reply and 100 ms pass")
def step_part(context):
    reply_to(context, 2)
    context.harness.advance(OBJECTIVE_S)
    context.pending = context.harness.answers[FIRST].pending


@behave.when("{wait:d} ms pass")
def step_wait(context, wait):
    context.harness.advance(wait / 1000)


@behave.when("the peer resumes the query")
def step_resume(context):
    open_delegated(context, SECOND, context.pending, resumes=FIRST)


@behave.when("the pending shards reply")
def step_pending_reply(context):
    reply_to(context)


@behave.then("the peer got 2 shards, with the names of the 2 pending ones")
def step_part_answered(context):
    answer = context.harness.answers[FIRST]
    assert answer.missing == 2, answer
    assert sorted(answer.digests + answer.pending) == context.shards, answer


@behave.then("the peer got the other 2 shards")
def step_rest_answered(context):
    answer = context.harness.answers[SECOND]
    assert sorted(answer.digests) == sorted(context.pending), answer
    assert not answer.missing, answer
    assert not answer.pending, answer


@behave.then("each shard was sent the query once")
def step_sent_once(context):
    sent = [
        attempt.command.replica.service
        for attempt in context.harness.attempts.values()
    ]
    assert sorted(sent) == context.shards, sent


@behave.then("the pending attempts were cancelled")
def step_cancelled(context):
    harness = context.harness
    still_open = harness.list_open_attempts()
    assert len(still_open) == len(context.pending), still_open
    for number in still_open:
        assert harness.attempts[number].cancelled, number


@behave.then("it is told that the query has failed and may have run")
def step_told_ended(context):
    answer = context.harness.answers[SECOND]
    assert isinstance(answer, ErrorAnswer), answer
    assert answer.ran


@behave.given("a query over 48 shards that was sent to their owners")
def send_query(context):
    context.shards = [f"shard-{number}" for number in range(48)]
    context.accepted = 67
    context.replicas = [
        build_replica(f"r-{shard}", shard) for shard in context.shards
    ]
    context.nodes = list_nodes(12)
    local = [
        node.name for node in context.nodes if node.failure_domain == DOMAIN
    ]
    harness = context.harness = build_harness(context, local[0])
    harness.open_exchange(FIRST, ROUTE)
    context.asked = dict(harness.delegations)
    return harness


@behave.given(
    "a query over 48 shards of which {count:d} are pending at peers at its "
    "objective"
)
def step_query(context, count):
    harness = send_query(context)
    reply_to(context)
    harness.advance(PEERS_ANSWER_S)
    left = count
    for number, command in context.asked.items():
        shards = command.terms.shards
        pending = shards[:left]
        left -= len(pending)
        answer_part(context, number, shards[len(pending) :], pending)
    harness.advance(0.02)
    context.resumed = {
        number: command
        for number, command in harness.delegations.items()
        if number not in context.asked
    }


def answer_part(context, number, digests, pending):
    answer = MergedAnswer(
        exchange=PEER_EXCHANGE,
        records=b"",
        digests=tuple(digests),
        missing=len(pending),
        pending=tuple(pending),
    )
    context.harness.feed(DelegationAnswered(attempt=number, answer=answer))


@behave.then("it was answered with {count:d} shards at its objective")
def step_answered_in_time(context, count):
    step_answered(context, count)
    took_s = (
        context.harness.answered_at[FIRST] - context.harness.arrived_at[FIRST]
    )
    assert took_s <= OBJECTIVE_S, took_s


@behave.then("it was answered as soon as its peers had")
def step_answered_with_peers(context):
    harness = context.harness
    took_s = harness.answered_at[FIRST] - harness.arrived_at[FIRST]
    assert abs(took_s - PEERS_ANSWER_S) < 1e-6, took_s


@behave.then("it was answered with {count:d} shards")
def step_answered(context, count):
    answer = context.harness.answers[FIRST]
    assert len(answer.digests) == count, answer
    assert answer.missing == 48 - count, answer


@behave.then("it is not answered at its objective")
def step_not_answered(context):
    assert FIRST not in context.harness.answers


@behave.then("no peer was asked again")
def step_not_resumed(context):
    assert not context.resumed


@behave.then("each peer with pending shards was asked again, for these alone")
def step_resumed(context):
    asked = [
        shard
        for command in context.resumed.values()
        for shard in command.terms.shards
    ]
    assert len(asked) == len(set(asked)) == 20, asked
    assert all(
        item.terms.resumes == PEER_EXCHANGE
        for item in context.resumed.values()
    )


@behave.then(
    "it was answered once the minimum coverage of {count:d} shards was met"
)
def step_answered_late(context, count):
    answer = context.harness.answers[FIRST]
    assert len(answer.digests) >= count, answer
    assert len(answer.digests) + answer.missing == 48, answer


@behave.when("the peers give the pending shards")
def step_give_pending(context):
    for number, command in context.resumed.items():
        answer_part(context, number, command.terms.shards, ())


@behave.when("the peers fail before any byte was sent")
def step_resumed_fail(context):
    context.sent = len(context.harness.attempts)
    for number in context.resumed:
        context.harness.feed(
            AttemptFailed(attempt=number, sent=False, reason="refused")
        )


@behave.then('it was answered "too few shards" as maybe run')
def step_too_few(context):
    answer = context.harness.answers[FIRST]
    assert answer.kind.value == "too few shards", answer
    assert answer.ran


@behave.then("no shard pending at a peer was queried from here")
def step_no_direct(context):
    assert len(context.harness.attempts) == context.sent


@behave.given("a query with the same id for 2 of the shards")
def step_same_id(context):
    open_delegated(context, THIRD, context.shards[:2])


@behave.when("a shard of each query replies and 100 ms pass")
def step_one_each(context):
    harness = context.harness
    for number in harness.list_open_attempts():
        if harness.attempts[number].command.replica.service == "shard-0":
            harness.reply(number, digest="shard-0")
    harness.advance(OBJECTIVE_S)


@behave.when("the peer resumes both queries")
def step_resume_both(context):
    harness = context.harness
    for exchange, resumed in ((SECOND, FIRST), (FOURTH, THIRD)):
        pending = harness.answers[resumed].pending
        open_delegated(context, exchange, pending, resumes=resumed)


@behave.then("each query got its own shards")
def step_own_shards(context):
    answers = context.harness.answers
    assert sorted(answers[SECOND].digests) == context.shards[1:]
    assert answers[FOURTH].digests == ("shard-1",), answers[FOURTH]


@behave.when("one owner's answer has {fault} and the others answer whole")
def step_faulty_owner(context, fault):
    reply_to(context)
    for number, command in context.asked.items():
        shards = list(command.terms.shards)
        if number != min(context.asked):
            answer_part(context, number, shards, ())
            continue
        context.lost = len(shards)
        digests, pending = {
            "a digest twice": ([shards[0], *shards[:-1]], ()),
            "a shard too many": ([*shards, "other"], ()),
            "a shard too few": (shards[:-1], ()),
            "a shard not asked": (shards[:-1], ["other"]),
        }[fault]
        answer_part(context, number, digests, pending)
    context.harness.advance(OBJECTIVE_S)


@behave.then("the answer misses the shards of that owner alone")
def step_lost_alone(context):
    answer = context.harness.answers[FIRST]
    assert answer.missing == context.lost, answer
    assert len(answer.digests) == 48 - context.lost, answer
