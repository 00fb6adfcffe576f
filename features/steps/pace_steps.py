"""Steps about the pace of replicas that start or come back."""

import random

import behave
from evacuation_steps import SEEDS
from query_history_steps import hold_for_all
from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import RoutingHarness

from bluebellbay.coordination.routing.pace import compute_share
from bluebellbay.coordination.routing.pace import IDLE_ROUND_S
from bluebellbay.coordination.routing.pace import MAX_DOUBLINGS
from bluebellbay.coordination.routing.pace import MAX_LEVEL
from bluebellbay.coordination.routing.pace import note_answer
from bluebellbay.coordination.routing.pace import Verdict
from bluebellbay.coordination.routing.selection import ReplicaSelector
from bluebellbay.protocol.registry import DomainEvacuated
from bluebellbay.protocol.registry import DomainRestored
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.protocol.replica import ReplicaLoad
from bluebellbay.protocol.route import ServiceLimits
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.state.pace import PaceRecord
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState
from bluebellbay_bench.pace_cases import CASES

SERVICE = "service"
ROUTE = build_route("route", service=SERVICE)
LEAST_SHARE = 2.0**-MAX_LEVEL
FURTHER_SEEDS = (1, 2, 3)


@behave.given('the case "{name}"')
def step_case(context, name):
    context.case = name
    context.world, context.returned = CASES[name](7)


@behave.when("{seconds:g} s pass with steady load")
def step_run(context, seconds):
    context.in_time = context.world.run(seconds)
    context.seconds = seconds


@behave.then("at least {share:g} of the requests were answered in time")
def check_in_time(context, share):
    assert context.in_time >= share, context.in_time


@behave.then(
    "the replica that came back got at least {least:d} requests on average"
)
def check_got(context, least):
    # Which node's answers come first is chance, so one seed tells little.
    counts = [context.world.count(context.returned, context.seconds)]
    for seed in FURTHER_SEEDS:
        world, returned = CASES[context.case](seed)
        world.run(context.seconds)
        counts.append(world.count(returned, context.seconds))
    assert sum(counts) / len(counts) >= least, counts


@behave.then(
    "the replica that came back gets {rate:d} requests a second or more"
)
def check_rate(context, rate):
    assert context.world.count(context.returned, 4.0) >= 4 * rate


@behave.then("no replica is paced any more")
def check_over(context):
    context.world.run(6.0)
    paced = [
        record
        for core in context.world.cores
        for record in core.state.replicas
        if record.pace is not None
    ]
    assert not paced, len(paced)


def start_harness(*, first_start=False):
    harness = RoutingHarness(first_start=first_start)
    harness.configure(1, ROUTE)
    entries = [build_replica(f"r{number}", SERVICE) for number in range(3)]
    harness.feed(ReplicasListed(entries=tuple(entries[:1]), complete=False))
    harness.feed(ReplicasListed(entries=tuple(entries)))
    return harness


def list_paced(harness):
    return {
        record.entry.replica_id
        for record in harness.core.state.replicas
        if record.pace is not None
    }


@behave.then(
    "no replica of the first listing without warm-up time left is paced"
)
def check_listed(context):
    context.harness = start_harness()
    assert not list_paced(context.harness)


@behave.then("no replica that got no request for a minute is paced")
def check_idle(context):
    context.harness.advance(60.0)
    context.harness.open_exchange(1, "route")
    assert not list_paced(context.harness)


@behave.then("no replica of a fleet that starts for the first time is paced")
def check_first_start(context):
    del context
    harness = start_harness(first_start=True)
    harness.advance(20.0)
    harness.add_replicas(build_replica("late", SERVICE))
    assert not list_paced(harness)
    harness.advance(60.0)
    harness.add_replicas(build_replica("new", SERVICE))
    assert list_paced(harness) == {"new"}


@behave.then("no replica of a domain is paced whose evacuation lasted 0.1 s")
def check_short_evacuation(context):
    evacuate(context.harness, 0.1)
    assert not list_paced(context.harness)


def evacuate(harness, seconds):
    harness.feed(DomainEvacuated(domain="zone-a"))
    harness.advance(seconds)
    harness.feed(DomainRestored(domain="zone-a"))


@behave.then(
    "a replica is paced after a restart, an ejection and an evacuation"
)
def check_paced(context):
    del context
    harness = start_harness()
    harness.add_replicas(build_replica("r0", SERVICE, started_ms=2000))
    assert list_paced(harness) == {"r0"}
    harness = start_harness()
    record = harness.core.state.replicas.find("r1")
    record.failures = 9
    harness.open_exchange(1, "route")
    (attempt,) = harness.core.context.attempts.values()
    attempt.record = record
    harness.core.context.record_failure(attempt, "test", harness.now)
    assert list_paced(harness) == {"r1"}
    assert record.pace.changed_at == record.ejected_until > harness.now
    harness = start_harness()
    evacuate(harness, 2.0)
    assert list_paced(harness) == {"r0", "r1", "r2"}


@behave.then("a replica whose warm-up limit ends begins with the least share")
def check_limit_end(context):
    del context
    state = RouterState(
        rules=RouterRules(node="n", failure_domain="zone-a"),
        rng=random.Random(1),
    )
    configuration = build_configuration(1, ROUTE)
    configuration.services[SERVICE] = ServiceLimits(
        name=SERVICE, connections=9, warmup_per_s=1.0
    )
    state.routes.accept(configuration)
    entry = build_replica("cold", SERVICE, warmup_s=5.0)
    record = ReplicaRecord(entry=entry, added_at=0.0)
    state.replicas.add(record)
    state.replicas.add(
        ReplicaRecord(entry=build_replica("warm", SERVICE), added_at=0.0)
    )
    selector = ReplicaSelector(state=state)
    selector.choose(SERVICE, ROUTE, (), 4.9)
    chosen = [
        selector.choose(SERVICE, ROUTE, (), 5.01).entry.replica_id
        for _ in range(500)
    ]
    # Half of the work is its usual part.
    assert 0 < chosen.count("cold") < 500 * LEAST_SHARE, chosen.count("cold")


@behave.then(
    "over random answers the share keeps its bounds and falls with bad ones"
)
def check_share(context):
    del context

    @hold_for_all(SEEDS, examples=100)
    def check(seed):
        rng = random.Random(seed)
        pace = PaceRecord(changed_at=0.0)
        nodes = rng.choice((1, 4, 35, 300))
        now = 0.0
        for _ in range(60):
            now += rng.uniform(0.0, 0.3)
            verdict = rng.choice(list(Verdict))
            before = compute_share(pace, now)
            sent_at = now - rng.uniform(0.0, 0.2)
            counts = sent_at >= pace.changed_at
            note_answer(pace, verdict, sent_at=sent_at, now=now, nodes=nodes)
            after = compute_share(pace, now)
            assert LEAST_SHARE <= after <= 1
            if not counts or verdict is Verdict.NEUTRAL:
                assert after == before
            elif verdict is Verdict.BAD:
                assert after == max(LEAST_SHARE, before / 2)
            else:
                assert before <= after <= 2 * before
        # Without bad answers it rises by itself, however it was.
        quiet_s = MAX_LEVEL * IDLE_ROUND_S * 2**MAX_DOUBLINGS + 0.01
        assert compute_share(pace, now + quiet_s) == 1

    check()


@behave.then(
    "a fresh load report moves requests away, and one of 3 s ago does not"
)
def check_load(context):
    del context
    state = RouterState(
        rules=RouterRules(node="n", failure_domain="zone-a"),
        rng=random.Random(1),
    )
    records = [
        ReplicaRecord(entry=build_replica(name, SERVICE), added_at=0.0)
        for name in ("busy", "free")
    ]
    for record in records:
        state.replicas.add(record)
    selector = ReplicaSelector(state=state)
    for running, slowness in ((2, None), (0, 2.5)):
        load = ReplicaLoad(
            running=running, waiting=0, slots=2, slowness=slowness
        )
        records[0].note_condition(ReplicaCondition(load=load), 10.0)
        for now, low, high in ((10.05, 0, 0), (13.0, 60, 140)):
            count = sum(
                selector.choose(SERVICE, ROUTE, (), now) is records[0]
                for _ in range(200)
            )
            assert low <= count <= high, (now, count)
