"""Steps about the evacuation of failure domains."""

import base64

import behave
from hypothesis import strategies
from ownership_steps import build_harness
from ownership_steps import EXCHANGE
from ownership_steps import OTHER_DOMAINS
from query_history_steps import hold_for_all
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import DOMAIN
from routing_harness import RoutingHarness
from store_history_steps import START_S
from store_history_steps import StoreHistory

from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import DomainEvacuated
from bluebellbay.protocol.registry import DomainRestored
from bluebellbay.protocol.registry import EvacuationsListed
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay_platform.schema import PlatformSchema
from bluebellbay_platform.store import _ItemValue

DOMAINS = (DOMAIN, *OTHER_DOMAINS)
SHARDS = tuple(f"shard-{number}" for number in range(4))
ROUTES = ("plain", "unsafe", "query")
LIMIT_S = 5.0
KEY = "op/evacuate/z"
SEEDS = strategies.integers(min_value=0, max_value=2**32)


@behave.given(
    "routes to replicas in zone-a, zone-b and zone-c, in zone-a itself"
)
def step_routes(context):
    harness = context.harness = RoutingHarness()
    harness.configure(
        1,
        build_route("plain", service="s"),
        build_route("unsafe", service="s", idempotent=False),
        build_route("query", shards=SHARDS),
    )
    harness.add_replicas(
        *(
            build_replica(
                f"{service}-{domain}", service, failure_domain=domain
            )
            for service in ("s", *SHARDS)
            for domain in DOMAINS
        )
    )


@behave.given(
    "a query route over 4 shards, of which one has a replica in zone-b only"
)
def step_one_remote_shard(context):
    harness = context.harness = RoutingHarness()
    harness.configure(1, build_route("query", shards=SHARDS))
    harness.add_replicas(
        build_replica("r-0", SHARDS[0], failure_domain="zone-b"),
        *(build_replica(f"r-{name}", name) for name in SHARDS[1:]),
    )


@behave.when('the failure domains "{names}" are evacuated')
def step_evacuate(context, names):
    for name in names.split():
        context.harness.feed(DomainEvacuated(domain=name))


def send_each_kind(context):
    harness = context.harness
    first = len(harness.arrived_at) + 1
    context.sent = range(first, first + len(ROUTES))
    for exchange, route in zip(context.sent, ROUTES, strict=True):
        harness.open_exchange(exchange, route)


@behave.when("6 requests of each kind arrive and get replies")
def step_requests(context):
    for _ in range(6):
        send_each_kind(context)
        context.harness.advance(0.01)
        for number in context.harness.list_open_attempts():
            context.harness.reply(number)


@behave.then('only replicas in "{names}" got attempts')
def step_only(context, names):
    used = {
        attempt.command.replica.failure_domain
        for attempt in context.harness.attempts.values()
    }
    assert used
    assert used <= set(names.split()), used


@behave.then("the node reports itself ready")
def step_ready(context):
    reports = [
        command
        for command in context.harness.commands
        if isinstance(command, ReportHealth)
    ]
    assert reports[-1].healthy


@behave.then("a request of each kind is answered 503 at once as not run")
def step_refused(context):
    send_each_kind(context)
    check_refused(context, "no replica")


@behave.then("each of the plain ones is answered 503 at once as not run")
def step_refused_after(context):
    # The first shards' refusals end the query while others may still run.
    context.sent = context.sent[: ROUTES.index("query")]
    check_refused(context, "refused")


def check_refused(context, *kinds):
    harness = context.harness
    for exchange in context.sent:
        answer = harness.answers[exchange]
        assert isinstance(answer, ErrorAnswer), answer
        assert answer.kind.value in kinds, answer
        assert not answer.ran, answer
        waited_s = harness.answered_at[exchange] - harness.arrived_at[exchange]
        assert waited_s == 0, waited_s


@behave.then("a query is answered with 1 shard missing once the others reply")
def step_missing(context):
    harness = context.harness
    harness.open_exchange(1, "query")
    for number in harness.list_open_attempts():
        harness.reply(number)
    answer = harness.answers[1]
    assert isinstance(answer, MergedAnswer), answer
    assert answer.missing == 1


@behave.when("a request of each kind is sent to replicas in zone-a")
def step_sent(context):
    send_each_kind(context)
    step_only(context, DOMAIN)


@behave.then(
    "its attempt is not cancelled, and no retry or hedge is sent elsewhere"
)
def step_no_repeat(context):
    harness = context.harness
    first = harness.list_open_attempts()
    harness.advance(0.08)
    assert not any(item.cancelled for item in harness.attempts.values())
    harness.fail(first[0])
    for number in first[1:]:
        harness.refuse(number)
    harness.advance(0.1)
    step_only(context, DOMAIN)


@behave.when("all attempts are refused")
def step_refuse(context):
    for number in context.harness.list_open_attempts():
        context.harness.refuse(number)


@behave.then(
    "the pools of the replicas in zone-b are closed, and open again after it"
)
def step_pools(context):
    harness = context.harness
    commands = harness.commands
    closed = [
        command.replica.replica_id
        for command in commands
        if isinstance(command, CloseReplicaConnections)
    ]
    assert sorted(closed) == sorted(f"{s}-zone-b" for s in ("s", *SHARDS))
    last = max(map(commands.index, harness.commands[-len(closed) :]))
    harness.feed(DomainRestored(domain="zone-b"))
    limits = {
        command.replica.replica_id
        for command in commands[last - 2 * len(closed) :]
        if isinstance(command, SetConnectionLimit) and command.limit
    }
    assert set(closed) <= limits, limits


@behave.when("a peer delegates a query to the node")
def step_delegated(context):
    terms = DelegationTerms(
        shards=SHARDS, objective_s=0.1, most_records=5, most_attempts=2
    )
    context.harness.open_exchange(1, "query", delegation=terms)


@behave.then("no query delegates to nodes of a domain that is evacuated")
def check_delegations(context):
    context.replicas = [
        build_replica(f"{shard}-{domain}", shard, failure_domain=domain)
        for shard in context.shards
        for domain in OTHER_DOMAINS
    ]
    for evacuated in OTHER_DOMAINS:
        context.harness = build_harness(context, context.local_nodes[0])
        step_evacuate(context, evacuated)
        context.harness.open_exchange(EXCHANGE, "route")
        domains = {
            command.peer.failure_domain
            for command in context.harness.delegations.values()
        }
        assert domains
        assert evacuated not in domains, domains


def build_schema():
    return PlatformSchema(report_unreadable=lambda key, reason: None)


@behave.then("any value evacuates, also none, and only the removal restores")
def check_values(context):
    del context
    junk = base64.b64encode(b"\xff{").decode()
    for value in (junk, "", "not Base64", None):
        item = _ItemValue(key="op/evacuate/zone-b", value=value)
        assert build_schema().decode_change(item.to_store_item()) == (
            DomainEvacuated(domain="zone-b"),
        ), value
    item = _ItemValue(key="op/evacuate/zone-b", tombstone=True)
    assert build_schema().decode_change(item.to_store_item()) == (
        DomainRestored(domain="zone-b"),
    )


@behave.then("a complete listing restores what it does not hold")
def check_listing(context):
    del context
    harness = RoutingHarness()
    harness.feed(DomainEvacuated(domain="zone-b"))
    item = StoreItem(key="op/evacuate/zone-c", value=b"")
    replica = StoreItem(key="servers/r", value=b"")
    state = harness.core.state
    for items, complete, evacuated in (
        ((item,), False, {"zone-b", "zone-c"}),
        ((replica,), False, {"zone-b", "zone-c"}),
        ((item, replica), True, {"zone-c"}),
    ):
        events = build_schema().decode_items(items, complete=complete)
        listed = any(isinstance(event, EvacuationsListed) for event in events)
        assert listed == (replica in items)
        for event in events:
            harness.feed(event)
        assert state.evacuated_domains == evacuated, state.evacuated_domains


@behave.when(
    "500 domains with names of 300 characters are evacuated one by one"
)
def step_flood(context):
    for number in range(500):
        name = f"{number}".zfill(300)
        context.harness.feed(DomainEvacuated(domain=name))


@behave.then("at most 20 lines of at most 600 characters were logged")
def step_few_lines(context):
    lines = [
        repr(command)
        for command in context.harness.commands
        if isinstance(command, LogDecision)
        and "evacuated failure domains" in command.sentence
    ]
    assert 0 < len(lines) <= 20, len(lines)
    assert max(map(len, lines)) <= 600, max(map(len, lines))


@behave.then(
    "over random histories no replica is known before the evacuations are"
)
def check_start(context):
    del context

    @hold_for_all(SEEDS, examples=40)
    def check(seed):
        history = StoreHistory(seed)
        history.store.write(KEY, b"")
        history.store.page_items = 2
        # The watch tells of these while the listing goes on.
        for number in range(10):
            at = START_S + 0.01 * number
            name = f"new-{number}"
            history.actions.append((at, history.store.add_replica, name))

        def check_step(now):
            state = history.core.state
            assert not any(
                state.is_usable(record, now) for record in state.replicas
            ), now

        history.run(check_step)
        assert len(history.core.state.replicas)

    check()


@behave.then(
    "over random histories an evacuation is obeyed in time and ends in time"
)
def check_in_time(context):
    del context

    @hold_for_all(SEEDS, strategies.sampled_from((0.1, 6.0)), examples=60)
    def check(seed, lasts_s):
        history = StoreHistory(seed, copy_age_s=0.5)
        history.add_random_outages()
        history.add_random_faults()
        start = history.choose_time()
        changes = ((start, b"junk"), (start + lasts_s, None))
        for at, value in changes:
            history.actions.append((at, history.store.write, KEY, value))

        def check_step(now):
            if not history.is_calm(now):
                return
            past = [change for change in changes if change[0] <= now]
            if not past or not history.is_calm(past[-1][0]):
                return
            at, value = past[-1]
            if now > at + LIMIT_S:
                evacuated = "z" in history.core.state.evacuated_domains
                assert evacuated == (value is not None), (now - at, value)

        history.run(check_step)

    check()


@behave.then("an evacuation is known within 1 s though pages before it fail")
def check_failing_pages(context):
    del context
    history = StoreHistory(1, nodes=12)
    history.store.page_items = 1
    history.store.write(KEY, b"")
    read_page = history.store.read_page

    async def read_some(after):
        if "" < after < "op/":
            raise StoreUnavailable("refused")
        return await read_page(after)

    history.store.read_page = read_some
    history.follower.start()
    for _ in range(50):
        history.clock.advance(0.02)
    history.follower.stop()
    assert "z" in history.core.state.evacuated_domains
