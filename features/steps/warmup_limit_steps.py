"""Steps about the limit on requests to cold replicas."""

import random

import behave
from evacuation_steps import SEEDS
from query_history_steps import hold_for_all
from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_reply
from routing_harness import build_route
from routing_harness import RoutingHarness

from bluebellbay.coordination.routing.warmup_limit import WarmupPermits
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.route import ServiceLimits
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState
from bluebellbay.transport.connection import CallAnswered
from bluebellbay_platform.condition import decode_condition
from bluebellbay_platform.wire import PlatformWire

SERVICE = "shard-7"
SHARDS = tuple(f"shard-{number}" for number in range(90))
DOMAINS = ("zone-a", "zone-b", "zone-c")
RATE = 10.0
# 10 requests a second, 1.5 times and 5 more.
LIMIT = 20
STEP_S = 0.1
JITTER_S = 0.15
LENGTH_S = 60.0


class PermitNode:
    """A node that sends all that it may to one cold replica."""

    def __init__(self, number, *, shards=(), first_start=False):
        self.member = (DOMAINS[number % len(DOMAINS)], f"n{number}")
        self.state = RouterState(
            rules=RouterRules(
                node=self.member[1],
                failure_domain=self.member[0],
                first_start=first_start,
            ),
            rng=random.Random(number),
        )
        route = build_route("route", shards=shards or (SERVICE, "other"))
        configuration = build_configuration(1, route)
        configuration.services[SERVICE] = ServiceLimits(
            name=SERVICE, connections=60, warmup_per_s=RATE
        )
        self.state.routes.accept(configuration)
        self.permits = WarmupPermits(state=self.state)
        entry = build_replica("cold", SERVICE, warmup_s=1e9)
        self.record = ReplicaRecord(entry=entry, added_at=0.0)
        # Index of the last membership of the store that it knows.
        self.known = -1
        self.cut_until = 0.0

    def read(self, members, now):
        self.permits.update_members(members, now)
        self.state.store.confirm(now)

    def send_all(self, now):
        count = 0
        while self.permits.may_send(self.record, now):
            self.permits.record_send(self.record, now)
            count += 1
        return count


def play_history(seed):
    """Play nodes that join, leave, restart and are cut off.

    :returns: Times in seconds at which requests reached the replica.
    """
    rng = random.Random(seed)
    shards = rng.choice((SHARDS, ()))
    total = rng.choice((2, 5, 20))
    first_start = rng.random() < 0.3
    nodes = {
        number: PermitNode(number, shards=shards, first_start=first_start)
        for number in range(total)
    }
    # A fleet that starts for the first time is listed node by node.
    joined = {0} if first_start else set(nodes)
    memberships = [(0.0, [nodes[item].member for item in joined])]
    arrivals = []
    now = 0.0
    while now < LENGTH_S:
        now += STEP_S
        number = rng.randrange(total)
        chance = rng.random()
        if first_start and now < 3.0:
            joined.add(number)
            memberships.append((now, [nodes[item].member for item in joined]))
        elif chance < 0.02:
            joined ^= {number}
            members = [nodes[item].member for item in joined]
            memberships.append((now, members))
        elif chance < 0.03:
            nodes[number] = PermitNode(number, shards=shards)
        elif chance < 0.06:
            nodes[number].cut_until = now + rng.uniform(0.0, 40.0)
        for node in nodes.values():
            if now >= node.cut_until and rng.random() < 0.5:
                read_changes(node, memberships, now)
            count = node.send_all(now)
            arrivals += [now + rng.uniform(0, JITTER_S) for _ in range(count)]
    return sorted(arrivals)


def read_changes(node, memberships, now):
    first = node.known + 1 if node.known >= 0 else len(memberships) - 1
    for _, members in memberships[first:]:
        node.read(members, now)
    node.known = len(memberships) - 1
    node.state.store.confirm(now)


@behave.then(
    "over random histories of nodes a cold replica gets at most its limit"
)
def check_limit(context):
    del context

    @hold_for_all(SEEDS, examples=60)
    def check(seed):
        arrivals = play_history(seed)
        for first, at in enumerate(arrivals):
            later = arrivals[first : first + LIMIT + 1]
            assert len(later) <= LIMIT or later[-1] - at > 1.0, at

    check()


@behave.given("{count:d} nodes that have known each other for a minute")
def step_nodes(context, count):
    context.nodes = start_nodes(count, ())


def start_nodes(count, shards):
    nodes = [PermitNode(number, shards=shards) for number in range(count)]
    members = [node.member for node in nodes]
    for node in nodes:
        node.read(members, 0.0)
        node.read(members, 60.0)
    return nodes


@behave.then(
    "together they may send at least {least:d} of 20 requests to a cold "
    "replica"
)
def check_not_starved(context, least):
    sent = sum(node.send_all(60.0) for node in context.nodes)
    assert least <= sent <= 0.7 * LIMIT, sent


@behave.then("only owners of a shard of 90 may send to a cold replica of it")
def check_owners(context):
    senders = [node for node in start_nodes(35, SHARDS) if node.send_all(60.0)]
    domains = [node.member[0] for node in senders]
    assert [domains.count(domain) for domain in DOMAINS] == [2, 2, 2], domains


@behave.then("a node that was just listed may send nothing")
def check_new_node(context):
    members = [node.member for node in context.nodes]
    for number in range(35):
        node = PermitNode(number)
        node.read(members, 60.0)
        assert not node.send_all(60.1)


@behave.then("a node whose store was confirmed {age:d} s ago may send nothing")
def check_old_view(context, age):
    assert not any(node.send_all(60.0 + age) for node in context.nodes)


@behave.given("a replica whose entry says that it is cold for {seconds:d} s")
def step_cold_replica(context, seconds):
    context.harness = RoutingHarness()
    context.harness.configure(1, build_route("route", service="service"))
    context.harness.add_replicas(
        build_replica("r1", "service", warmup_s=float(seconds))
    )


def answer_with(context, *headers):
    harness = context.harness
    exchange = len(harness.arrived_at) + 1
    harness.open_exchange(exchange, "route")
    (number,) = harness.list_open_attempts()
    harness.attempts[number].ended = True
    harness.feed(
        AttemptReplied(
            attempt=number,
            reply=build_reply(),
            condition=decode_condition(headers),
        )
    )


@behave.when('its answer says "{told}" after 1 s')
def step_answer(context, told):
    context.harness.advance(1.0)
    headers = ()
    if told != "none":
        headers = ((b"bluebellbay-warmup-ms", told.encode()),)
    answer_with(context, *headers)


@behave.then("it is cold for {left:g} s more")
def check_cold(context, left):
    harness = context.harness
    (record,) = harness.core.state.replicas
    assert abs(record.cold_until - harness.now - left) < 1e-6


@behave.then('a load of "{value}" is decoded as "{expected}"')
def check_load(context, value, expected):
    del context
    condition = decode_condition(
        ((b"bluebellbay-instance-load", value.encode()),)
    )
    load = condition.load
    assert bool(condition.unreadable) == (load is None) == (expected == "junk")
    if load is not None:
        figures = (load.running, load.waiting, load.slots, load.slowness)
        assert " ".join(map(str, figures)) == expected, figures


JUNK_HEADERS = (
    (b"bluebellbay-warmup-ms", b"x" * 9000),
    (b"bluebellbay-instance-load", b"\xff" * 9000),
    (b"server-leaving", b"\xff" * 9000),
)


@behave.when("50 answers within 1 s have headers that can't be read")
def step_junk(context):
    for _ in range(50):
        context.harness.advance(0.01)
        answer_with(context, *JUNK_HEADERS)


@behave.then("one bounded line was logged")
def check_one_line(context):
    lines = [
        repr(command)
        for command in context.harness.commands
        if isinstance(command, LogDecision) and "headers" in command.sentence
    ]
    assert len(lines) == 1
    assert len(lines[0]) < 900, len(lines[0])


@behave.then("both headers are forwarded to callers as before")
def check_forwarded(context):
    del context
    headers = (
        (b"bluebellbay-warmup-ms", b"20"),
        (b"bluebellbay-instance-load", b"1,2,4"),
    )
    answer = CallAnswered(status=200, body=b"", headers=headers)
    wire = PlatformWire()
    assert wire.decode_condition(headers).warmup_s == 0.02
    reply = wire.decode_reply(answer)
    assert reply.forwarded == b"".join(
        b"%s: %s\r\n" % header for header in headers
    )
