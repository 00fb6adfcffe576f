"""Steps about the selection of a replica."""

import collections
import random

import behave
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import DOMAIN
from routing_harness import RoutingHarness

from bluebellbay.coordination.routing.hedging import compute_hedge_delay
from bluebellbay.coordination.routing.hedging import compute_shard_hedge_delay
from bluebellbay.coordination.routing.hedging import is_hedge_useful
from bluebellbay.coordination.routing.selection import ReplicaSelector
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.state.latency import LatencyWindow
from bluebellbay.state.latency import WINDOW_SAMPLES
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

SERVICE = "service"
BASE_LATENCY_S = 0.020
FIRST_REPLY_AT = 100.0
REPLY_COUNT = 20
SHEDDING_SHARDS = tuple(f"shard-{number}" for number in range(20))
SHEDDING_ROUTE = "browse"
REPLY_S = 0.030
REFUSAL_S = 0.004


@behave.given(
    "a local and a remote replica of a {kind} with an objective of 100 ms"
)
def step_replicas(context, kind):
    state = RouterState(
        rules=RouterRules(node="node", failure_domain=DOMAIN),
        rng=random.Random(1),
    )
    context.records = {}
    for name, domain in (("local", DOMAIN), ("remote", "zone-b")):
        entry = build_replica(name, SERVICE, failure_domain=domain)
        record = ReplicaRecord(entry=entry, added_at=0.0)
        state.replicas.add(record)
        context.records[name] = record
    context.selector = ReplicaSelector(state=state)
    fields = {"service": SERVICE}
    if kind == "shard":
        fields = {"shards": (SERVICE, "other")}
    context.route = build_route("route", objective_s=0.1, **fields)


@behave.when("the local replica is {slower:d} ms slower than the remote one")
def step_slower(context, slower):
    times_s = {
        "local": BASE_LATENCY_S + slower / 1000,
        "remote": BASE_LATENCY_S,
    }
    for number in range(REPLY_COUNT):
        at = FIRST_REPLY_AT + 0.01 * number
        for name, record in context.records.items():
            window = record.get_latency_window(context.route.name)
            window.add(times_s[name], at)
            context.selector.get_pooled(context.route.name).add(
                BASE_LATENCY_S, at
            )
    context.now = at


@behave.then("the {name} replica is chosen")
def step_chosen(context, name):
    for _ in range(REPLY_COUNT):
        chosen = context.selector.choose(
            SERVICE, context.route, (), context.now
        )
        assert chosen is context.records[name], chosen.entry.replica_id


@behave.given(
    "latencies of which {share:g} are {slow:d} ms and the others {usual:d} ms"
)
def step_mixed_latencies(context, share, slow, usual):
    context.pooled = LatencyWindow()
    slow_count = round(share * WINDOW_SAMPLES)
    for number in range(WINDOW_SAMPLES):
        milliseconds = slow if number < slow_count else usual
        context.pooled.add(milliseconds / 1000, FIRST_REPLY_AT)


@behave.then(
    "with an objective of {objective:d} ms a hedge is sent after at most "
    "{most:d} ms"
)
def step_hedge_delay(context, objective, most):
    delay_s = compute_hedge_delay(
        context.pooled,
        left_s=objective / 1000,
        objective_s=objective / 1000,
        budget_use=0.2,
    )
    assert delay_s <= most / 1000, delay_s


@behave.then(
    "with {use:g} of the budget used a shard is hedged after {first:d} to "
    "{last:d} ms"
)
def step_shard_hedge_delay(context, use, first, last):
    usual_s = compute_hedge_delay(
        context.pooled, left_s=0.18, objective_s=0.18, budget_use=use
    )
    delay_s = compute_shard_hedge_delay(
        context.pooled, usual_s=usual_s, left_s=0.18, budget_use=use
    )
    assert first <= round(delay_s * 1000, 3) <= last, delay_s


@behave.when(
    "{replies:d} of 20 shards have replied in {usual:d} ms each, and "
    "{left:d} ms are left"
)
def step_late_shards(context, replies, usual, left):
    context.pooled = LatencyWindow()
    for _ in range(WINDOW_SAMPLES):
        context.pooled.add(usual / 1000, FIRST_REPLY_AT)
    context.late_shards = {"pending": 20 - replies, "left_s": left / 1000}


@behave.then("with {spare:d} to spare a hedge is of {use}")
def step_hedge_use(context, spare, use):
    useful = is_hedge_useful(
        context.pooled, spare=spare, **context.late_shards
    )
    assert useful is (use == "use")


@behave.given(
    "a query route over 20 shards with a local and a remote replica each"
)
def step_shedding_shards(context):
    harness = context.harness = RoutingHarness(nodes=4)
    harness.configure(
        1,
        build_route(
            SHEDDING_ROUTE,
            shards=SHEDDING_SHARDS,
            objective_s=0.15,
            min_coverage=0.89,
        ),
    )
    for shard in SHEDDING_SHARDS:
        harness.add_replicas(
            build_replica(f"local-{shard}", shard),
            build_replica(f"remote-{shard}", shard, failure_domain="zone-b"),
        )


@behave.when(
    "40 queries a second arrive for 9 s and local replicas refuse 3 in 5"
)
def step_shed(context):
    harness = context.harness
    rng = random.Random(7)
    refuses = {}
    for number in range(40 * 9):
        harness.open_exchange(number, SHEDDING_ROUTE)
        play_shedding_replicas(harness, refuses, rng, harness.now + 1 / 40)
    play_shedding_replicas(harness, refuses, rng, harness.now + 1.0)


def play_shedding_replicas(harness, refuses, rng, until):
    while True:
        due = []
        for number in harness.list_open_attempts():
            attempt = harness.attempts[number]
            if number not in refuses:
                local = attempt.command.replica.failure_domain == DOMAIN
                refuses[number] = local and rng.random() < 0.6
            wait_s = REFUSAL_S if refuses[number] else REPLY_S
            due.append((attempt.sent_at + wait_s, number))
        at, number = min(due, default=(until, None))
        harness.advance(max(0.0, min(at, until) - harness.now))
        if number is None or at >= until:
            return
        if refuses[number]:
            harness.refuse(number)
        else:
            harness.reply(number)


@behave.then(
    "at least {share:g} of the queries were answered whole and in time"
)
def step_answered_whole(context, share):
    harness = context.harness
    whole = [
        exchange
        for exchange, answer in harness.answers.items()
        if isinstance(answer, MergedAnswer)
        and not answer.missing
        and harness.answered_at[exchange] - harness.arrived_at[exchange]
        <= 0.15
    ]
    assert len(whole) >= share * len(harness.arrived_at), len(whole)


@behave.then("the retries stayed within the budget")
def step_within_budget(context):
    harness = context.harness
    queries = len(harness.arrived_at)
    limits = harness.rules.retries
    allowed = limits.share * queries + limits.slack / harness.rules.nodes
    sent = collections.Counter(
        attempt.command.replica.service
        for attempt in harness.attempts.values()
    )
    for shard, count in sent.items():
        assert count - queries <= allowed, (shard, count - queries, allowed)
