"""Steps about requests that wait for room at a service."""

import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import RoutingHarness
from shortage_world import SERVICE
from shortage_world import START

from bluebellbay.coordination.routing.admission import AdmissionLimit
from bluebellbay.coordination.routing.admission import AdmissionTable
from bluebellbay.coordination.routing.queueing import Action
from bluebellbay.coordination.routing.queueing import compute_retry_after
from bluebellbay.coordination.routing.queueing import decide
from bluebellbay.coordination.routing.queueing import Refusal
from bluebellbay.coordination.routing.queueing import RequestStanding
from bluebellbay.coordination.routing.queueing import ServiceCondition
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import ShutdownRequested

ORDER = (Action.SEND, Action.WAIT, Action.REFUSE)


def build_condition(**fields):
    values = {
        "in_flight": 0,
        "limit": 10.0,
        "refusals": (),
        "shortage": 0.0,
        "end_interval_s": 0.05,
    }
    return ServiceCondition(**{**values, **fields})


@behave.given(
    "a service whose replicas refused {age:d} ms ago, with room after 20 ms"
)
def step_condition(context, age):
    refusal = Refusal(age_s=age / 1000, gap_s=0.020)
    context.condition = build_condition(refusals=(refusal, refusal))


@behave.when(
    "a request gives way to {level:d} ranks with {left:d} ms left to wait"
)
def step_decide(context, level, left):
    standing = RequestStanding(
        level=level, surging=False, ahead=0, left_s=left / 1000
    )
    context.decision = decide(standing, context.condition)


@behave.then("the decision is to {action}")
def step_decision(context, action):
    assert context.decision.action is Action(action), context.decision


@behave.then("no decision waits beyond the time left or prefers a lower rank")
def step_properties(context):
    del context
    seconds = strategies.floats(0, 0.5)

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        left_s=strategies.floats(-0.1, 0.5),
        ages=strategies.lists(strategies.tuples(seconds, seconds), max_size=3),
        limit=strategies.floats(1, 20) | strategies.just(float("inf")),
        shortage=strategies.floats(0, 1),
        draw=strategies.floats(0, 1),
    )
    def check(left_s, ages, limit, shortage, draw):
        condition = build_condition(
            in_flight=5,
            limit=limit,
            refusals=tuple(Refusal(age_s=a, gap_s=g) for a, g in ages),
            shortage=shortage,
        )
        former = Action.SEND
        for level in range(4):
            standing = RequestStanding(
                level=level,
                surging=False,
                ahead=0,
                left_s=left_s,
                draw=draw,
            )
            decision = decide(standing, condition)
            assert ORDER.index(decision.action) >= ORDER.index(former)
            former = decision.action
            if former is Action.WAIT:
                assert 0 < decision.wait_s < left_s

    check()


def start(context, *, replicas=2, slots=1, ranks=(1,), slack=58.0):
    harness = context.harness = RoutingHarness(slack=slack)
    harness.configure(
        1,
        *(
            dataclasses.replace(
                build_route(f"rank-{rank}", service=SERVICE), rank=rank
            )
            for rank in ranks
        ),
    )
    harness.add_replicas(
        *(
            build_replica(f"r{number}", SERVICE, slots=slots)
            for number in range(replicas)
        )
    )


def refuse_open(harness, number=None):
    """Refuse attempts until none is open; optionally of one request."""
    while True:
        open_ = harness.list_open_attempts()
        if number is not None:
            sent = harness.list_sent_attempts(number)
            open_ = [one.attempt for one in sent if one.attempt in open_]
        if not open_:
            return
        harness.now += 0.002
        harness.refuse(open_[0])


@behave.given("a service with 2 replicas that refuse a request")
def step_refused(context):
    start(context)
    context.harness.open_exchange(1, "rank-1")
    refuse_open(context.harness)
    assert 1 not in context.harness.answers


@behave.given("a service with 2 replicas that are full")
def step_full(context):
    start(context, ranks=(0, 1, 2))
    context.harness.open_exchange(1, "rank-0")
    refuse_open(context.harness)
    context.harness.feed(ExchangeAbandoned(exchange=1))


@behave.given(
    "a node 20 ms from its end with full replicas and a request waiting"
)
def step_one_waits(context):
    start(context, slots=2)
    harness = context.harness
    harness.feed(ShutdownRequested())
    harness.advance(harness.core.state.stop_by - 0.020 - harness.now)
    for exchange in range(1, 6):
        harness.open_exchange(exchange, "rank-1")
    refuse_open(harness, 5)
    assert harness.core.context.queues.count_waiting() == 1


@behave.when("room comes back after 15 ms")
def step_room(context):
    harness = context.harness
    harness.advance(0.015)
    for attempt in harness.list_open_attempts():
        harness.reply(attempt)


@behave.then("the request was sent again and is served")
def step_served(context):
    answer = context.harness.answers[1]
    assert isinstance(answer, ForwardAnswer), answer


@behave.then("a wait was logged and counted")
def step_wait_logged(context):
    harness = context.harness
    lines = [
        command.sentence
        for command in harness.commands
        if isinstance(command, LogDecision)
    ]
    assert "A request waits for room at its service." in lines, lines
    counts = harness.core.context.queues.take_counts()
    assert counts["waited"] and counts["sent after a wait"], counts


@behave.when("the replicas refuse for 1 s")
def step_refuse_on(context):
    for _ in range(1000):
        context.harness.advance(0.001)
        refuse_open(context.harness)


@behave.then("it was refused within 25 ms as not run")
def step_refused_in_time(context):
    harness = context.harness
    answer = harness.answers[1]
    assert isinstance(answer, ErrorAnswer) and not answer.ran, answer
    waited_s = harness.answered_at[1] - harness.arrived_at[1]
    assert 0.010 < waited_s <= 0.0251, waited_s


@behave.when("its caller leaves")
def step_leave(context):
    context.sent = len(context.harness.attempts)
    context.harness.feed(ExchangeAbandoned(exchange=1))


@behave.then("nothing is sent within 1 s")
def step_nothing_sent(context):
    context.harness.advance(1.0)
    assert len(context.harness.attempts) == context.sent
    assert context.harness.core.context.queues.count_waiting() == 0


@behave.when("the node ends")
def step_end(context):
    context.sent = len(context.harness.attempts)
    context.harness.advance(0.1)


@behave.then("the one that waits was not sent and has not run")
def step_not_sent(context):
    answer = context.harness.answers[5]
    assert isinstance(answer, ErrorAnswer) and not answer.ran, answer
    assert len(context.harness.attempts) == context.sent


@behave.when("requests of rank 2, 1 and 0 wait and room comes back")
def step_ranks_wait(context):
    harness = context.harness
    for rank in (2, 1, 0):
        harness.open_exchange(10 + rank, f"rank-{rank}")
    context.sent = len(harness.attempts)
    assert harness.core.context.queues.count_waiting()
    harness.advance(0.025)


@behave.then("the request of rank 0 is sent first")
def step_first(context):
    sent = list(context.harness.attempts.values())[context.sent :]
    assert sent[0].command.request.request_id == "request-10", sent


@behave.then("after 1.1 s without a request 4 are sent at once")
def step_sent_at_once(context):
    context.harness.advance(1.1)
    sent = len(context.harness.attempts)
    for number in range(20, 24):
        context.harness.open_exchange(number, "rank-0")
    assert len(context.harness.attempts) == sent + 4


@behave.given("a service with a retry budget of 10 that ranks 0 and 1 use")
def step_budget(context):
    start(context, replicas=4, ranks=(0, 1), slack=10 / 0.9)
    context.harness.open_exchange(1, "rank-0")
    context.harness.reply(1)


def send_refused(context, exchange, route):
    """Return how often a request is sent that all replicas refuse."""
    harness = context.harness
    harness.advance(1.1)
    harness.open_exchange(exchange, route)
    harness.refuse(harness.list_open_attempts()[0])
    sent = len(harness.list_sent_attempts(exchange))
    harness.feed(ExchangeAbandoned(exchange=exchange))
    for attempt in harness.list_open_attempts():
        harness.fail(attempt)
    return sent


@behave.when("requests of rank 1 are refused until they are not sent again")
def step_use_budget(context):
    sent = [send_refused(context, 10 + item, "rank-1") for item in range(9)]
    assert sent[0] == 2 and sent[-1] == 1, sent


@behave.then("a request of rank 0 is still sent again")
def step_budget_left(context):
    assert send_refused(context, 30, "rank-0") == 2


def run_admission(senders, *, hold_s=0.1, seconds=20):
    """Offer queries to an admission limit; return the shares admitted."""
    rng = random.Random(1)
    limit = AdmissionLimit()
    asked, admitted, ends = {}, {}, []
    arrivals = sorted(
        (rng.uniform(0, seconds), rank, key)
        for rank, key, per_s in senders
        for _ in range(int(per_s * seconds))
    )
    for at, rank, key in arrivals:
        while ends and ends[0] <= at:
            ends.pop(0)
            limit.release(hold_s)
        asked[key] = asked.get(key, 0) + 1
        if limit.admit(rank, key, START + at):
            admitted[key] = admitted.get(key, 0) + 1
            ends.append(at + hold_s)
    return {key: admitted.get(key, 0) / asked[key] for key in asked}


@behave.given("an admission limit that queries of rank 0 keep full")
def step_admission(context):
    context.shares = run_admission(
        [(rank, f"rank-{rank}", 200) for rank in range(3)]
    )


@behave.then(
    "queries of rank {lower:d} are admitted less often than those of rank "
    "{higher:d}"
)
def step_less(context, lower, higher):
    shares = context.shares
    assert shares[f"rank-{lower}"] < shares[f"rank-{higher}"], shares


@behave.then("at least a tenth of the queries of each rank is admitted")
def step_not_shut_out(context):
    assert min(context.shares.values()) >= 0.1, context.shares


@behave.given("an admission limit that one of 10 accounts fills")
def step_account_fills(context):
    others = [(1, f"account-{number}", 2) for number in range(9)]
    context.shares = run_admission([(1, "large", 300), *others])


@behave.then("at least {share:g} of those of each other account are admitted")
def step_others_admitted(context, share):
    large = context.shares.pop("large")
    assert min(context.shares.values()) >= share > large, context.shares


@behave.then("times to return differ and are at most a third of the time left")
def step_spread(context):
    del context
    rng = random.Random(1)
    values = [compute_retry_after(0.5, 0.9, rng) for _ in range(50)]
    assert len(set(values)) == 50
    assert 1.5 * min(values) < max(values) <= 0.3 + 1e-9, values


@behave.then(
    "asking whether parts of a set lack room creates no admission limit"
)
def check_no_limits(context):
    del context
    table = AdmissionTable()
    for number in range(100):
        assert not table.is_congested((f"shard-{number}",), 1.0)
    assert not vars(table)["_limits"]
