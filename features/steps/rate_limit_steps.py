"""Steps about rate limits that replicas name in their answers."""

import dataclasses
import random
import time

from answer_history import build_headers
import behave
from limit_fleet import find_worst_excess
from limit_fleet import LimitFleet
import msgspec
from platform_world import PlatformWorld
from platform_world import wait_for
from query_history_steps import hold_for_all
from quota_process_steps import DOMAINS
from quota_process_steps import read_metric
from quota_process_steps import send
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import DOMAIN
from routing_harness import RoutingHarness
from routing_history_steps import SEEDS

from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.rate_permit import AskForPermit
from bluebellbay.protocol.rate_permit import PermitAnswered
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.peer_wire import DelegationWire
from bluebellbay.transport.peer_wire import PERMIT_PATH
from bluebellbay.transport.wire import MalformedRequest
from bluebellbay.transport.wire import RequestHead
from bluebellbay_platform.condition import decode_condition
from bluebellbay_platform.wire import PlatformWire


@behave.then('an answer with each of "{headers}" names a rate of "{rate}"')
def check_decoded(context, headers, rate):
    del context
    for one in headers.split(" / "):
        # A list in one header stands with semicolons in the table.
        condition = decode_condition(
            tuple(
                (name, value.replace(b";", b","))
                for name, value in build_headers(one)
            )
        )
        words = [str(condition.rate_per_s or "none")]
        words += ["junk"] * bool(condition.unreadable)
        assert " ".join(words) == rate, (one, condition)
        unreadable = rate == "none junk"
        assert condition.rate_unreadable is unreadable, condition


@behave.then("no caller sees a replica's rate limit")
def check_not_forwarded(context):
    del context
    headers = ((b"server-limit", b"3"),)
    for status in (200, 429, 500, 503):
        answer = CallAnswered(status=status, body=b"", headers=headers)
        assert not PlatformWire().decode_reply(answer).forwarded, status


SETTLING_S = 14.0


@behave.given("{count:d} nodes whose callers send {per_s:g} {load} a second")
def step_fleet(context, count, per_s, load):
    context.fleet = LimitFleet(
        count=count, per_s=per_s, seed=7, wide=load == "queries"
    )
    context.fleet.run(SETTLING_S)


def list_limited(fleet):
    return [
        replica
        for name, replica in fleet.replicas.items()
        if name.endswith("-0")
    ]


@behave.when(
    "a replica of each service names a limit of {rate:g} for {seconds:g} s"
)
def step_limit(context, rate, seconds):
    fleet = context.fleet
    for replica in list_limited(fleet):
        replica.rates += [(fleet.now, rate), (fleet.now + seconds, None)]


@behave.when("nodes are {event} meanwhile")
def step_trouble(context, event):
    fleet = context.fleet
    for number in range(0, fleet.count, 3):
        at_s = 1.0 + number * 0.7
        if event == "cut off":
            fleet.call(at_s, setattr, fleet.nodes[number], "cut", True)
            continue
        fleet.call(at_s, fleet.restart, number)
        if event == "restarted in a crash":
            fleet.call(at_s + 1.0, restart_unnoticed, fleet, number)


def restart_unnoticed(fleet, number):
    fleet.restart(number, down_s=0.2, notice=False)


@behave.then(
    "no 4 s bring it more than one and a half times that and 5 requests"
)
def check_limit(context):
    fleet = context.fleet
    fleet.run(16.0)
    excess = {
        replica.entry.replica_id: find_worst_excess(replica, until=fleet.now)
        for replica in list_limited(fleet)
    }
    assert max(excess.values()) <= 0, (excess, fleet.answers)


@behave.when("each replica names a limit of {rate:g} for {seconds:g} s")
def step_limit_all(context, rate, seconds):
    fleet = context.fleet
    for replica in fleet.replicas.values():
        replica.rates.append((fleet.now, rate))
    context.answers = dict(fleet.answers)
    context.asks = fleet.asks
    # Requests that arrive before the nodes are told don't count.
    fleet.run(10.0)
    context.began_at = fleet.now
    fleet.run(seconds - 10.0)


@behave.then("at least {least:g} of what the limits allow is used")
def check_used(context, least):
    fleet = context.fleet
    seconds = fleet.now - context.began_at
    used = allowed = 0
    for replica in fleet.replicas.values():
        allowed += replica.get_rate(fleet.now) * seconds
        used += sum(at >= context.began_at for at, _ in replica.arrivals)
        assert find_worst_excess(replica, until=fleet.now) <= 0
    assert used >= least * allowed, (used, allowed, fleet.answers)


@behave.then(
    "what doesn't fit is refused within 0.1 s, with at most {most:d} asks a "
    "request"
)
def check_refusals(context, most):
    answers = context.fleet.answers
    refused = answers["refused"] - context.answers.get("refused", 0)
    assert refused
    assert not answers["slow refusals"], answers
    asks = context.fleet.asks - context.asks
    requests = sum(answers.values()) - sum(context.answers.values())
    assert asks <= most * requests, (asks, requests)


@behave.then(
    "{seconds:g} s after its end it gets at least half of an equal share again"
)
def check_end(context, seconds):
    fleet = context.fleet
    fleet.run(12.0 + seconds)
    began_at = fleet.now
    fleet.run(8.0)
    replicas = fleet.replicas.values()
    counts = [
        sum(at >= began_at for at, _ in replica.arrivals)
        for replica in replicas
    ]
    (limited,) = list_limited(fleet)
    got = sum(at >= began_at for at, _ in limited.arrivals)
    assert got >= 0.5 * sum(counts) / len(counts), (got, counts)


def play_history(seed):
    """Play a fleet whose nodes restart and are cut off while limits hold."""
    rng = random.Random(seed)
    fleet = LimitFleet(
        count=rng.choice((2, 4, 9)),
        per_s=rng.choice((20, 60)),
        seed=seed,
        wide=rng.random() < 0.3,
        first_start=rng.random() < 0.3,
    )
    fleet.run(rng.choice((1.0, SETTLING_S)))
    for replica in rng.sample(list(fleet.replicas.values()), 2):
        begin = fleet.now + rng.uniform(0.0, 3.0)
        rate = rng.choice((0.05, 0.7, 3.0, 10.0))
        replica.rates += [(begin, rate), (begin + 15.0, None)]
    for _ in range(rng.randrange(6)):
        number = rng.randrange(fleet.count)
        at_s = rng.uniform(0.0, 15.0)
        kind = rng.choice(("cut", "lost", "restart", "crash"))
        if kind in {"cut", "lost"}:
            node = fleet.nodes[number]
            fleet.call(at_s, setattr, node, kind, True)
            fleet.call(at_s + rng.uniform(0, 14.0), setattr, node, kind, False)
        else:
            fleet.call(at_s, restart_one, fleet, number, kind == "restart")
    fleet.run(20.0)
    return fleet


def restart_one(fleet, number, notice):
    if fleet.nodes[number].alive:
        fleet.restart(number, down_s=fleet.rng.uniform(0, 4), notice=notice)


@behave.then("over random histories of a fleet no limit is passed")
def check_histories(context):
    del context

    @hold_for_all(SEEDS, examples=25)
    def check(seed):
        fleet = play_history(seed)
        for replica in fleet.replicas.values():
            if replica.rates:
                excess = find_worst_excess(replica, until=fleet.now)
                assert excess <= 0, (excess, replica.rates)

    check()


@behave.given(
    "3 programs in 3 failure domains, which have known each other for {age:g} "
    "s"
)
def step_programs(context, age):
    world = context.platform = PlatformWorld(programs=len(DOMAINS))
    context.add_cleanup(world.stop)
    world.configure(8, "/post/", world.shards)
    for program, domain in zip(world.programs, DOMAINS, strict=True):
        program.start(zone=domain, zones=DOMAINS)
    for program in world.programs:
        assert wait_for(program.is_ready), program.log.read_text()
        assert wait_for(
            lambda p=program: read_metric(p, "bluebellbay_nodes ") == 3
        )
    time.sleep(age)


@behave.when(
    "both posting servers name a limit of {rate} and {count:d} postings come"
)
def step_limited_postings(context, rate, count):
    world = context.platform
    for server in world.posting_servers:
        server.rate_limit = rate
    context.answers = [
        send(world.programs[number % len(world.programs)])
        for number in range(count)
    ]


@behave.then(
    "each of them ran at most {most:d}, and programs lent each other some"
)
def check_programs(context, most):
    world = context.platform
    # 10 of the limit, and the first of each program and server.
    counts = [len(server.ran) for server in world.posting_servers]
    assert max(counts) <= most, counts
    loans = sum(
        read_metric(
            program, 'bluebellbay_permit_loans_total{answer="granted"}'
        )
        for program in world.programs
    )
    assert loans, counts


@behave.then(
    "each posting that was refused has not run, and says when to return"
)
def check_refused_postings(context):
    answers = context.answers
    served = [answer for answer in answers if answer[0] == 200]
    refused = [answer for answer in answers if answer[0] != 200]
    ran = sum(len(item.ran) for item in context.platform.posting_servers)
    assert len(served) == ran, answers
    assert refused
    for status, retry_after, seconds in refused:
        assert status == 503, refused
        assert 0 < float(retry_after) <= 7.5, retry_after
        assert seconds < 1.0, seconds


@behave.when("the limits end")
def step_limits_end(context):
    for server in context.platform.posting_servers:
        server.rate_limit = None


@behave.then("within {seconds:g} s all of {count:d} postings run")
def check_all_run(context, seconds, count):
    programs = context.platform.programs

    def all_run():
        answers = [
            send(programs[number % len(programs)])[0]
            for number in range(count)
        ]
        return answers.count(200) == count

    assert wait_for(all_run, seconds)


@behave.given("a node that asks a lender for a request to its only replica")
def step_asking(context):
    harness = context.harness = RoutingHarness(nodes=2)
    harness.configure(1, build_route("route", service="service"))
    lender = NodeEntry(name="peer", address="peer", failure_domain=DOMAIN)
    harness.feed(NodesListed(nodes=(lender,)))
    context.entry = build_replica("r1", "service")
    harness.add_replicas(context.entry)
    harness.open_exchange(1, "route")
    (attempt,) = harness.list_open_attempts()
    harness.reply(attempt, condition=ReplicaCondition(rate_per_s=5.0))
    harness.open_exchange(2, "route")
    (context.ask,) = [
        command
        for command in harness.commands
        if isinstance(command, AskForPermit)
    ]


@behave.when("the replica is {event} before the lender permits it")
def step_permit(context, event):
    harness, entry = context.harness, context.entry
    if event == "removed":
        harness.add_replicas(
            dataclasses.replace(entry, draining=True, sequence=2)
        )
        harness.feed(ReplicaRemoved(replica_id="r1"))
    elif event == "draining":
        harness.add_replicas(
            dataclasses.replace(entry, draining=True, sequence=2)
        )
    else:
        harness.add_replicas(
            dataclasses.replace(entry, service="other", started_ms=2000)
        )
    harness.feed(
        PermitAnswered(
            attempt=context.ask.attempt, granted=True, room_s=0.0, news=None
        )
    )


@behave.then("the request is refused as not run")
def check_not_sent(context):
    harness = context.harness
    assert not harness.list_open_attempts()
    answer = harness.answers[2]
    assert isinstance(answer, ErrorAnswer), answer
    assert not answer.ran


@behave.then(
    'an ask that tells a rate and an age of "{news}" is refused unread'
)
def check_odd_news(context, news):
    del context
    per_s, heard_s_ago = map(float, news.split())
    head = RequestHead(method=b"POST", target=PERMIT_PATH, headers=())
    for odd in (False, True):
        rate = [per_s, heard_s_ago] if odd else [3.0, 1.0]
        body = msgspec.msgpack.encode(["n1", "r1", 1, rate, True])
        try:
            ask = DelegationWire().decode_request(head, body)
        except MalformedRequest:
            assert odd, news
        else:
            assert not odd, ask
