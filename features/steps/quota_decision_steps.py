"""Steps for the decisions on quotas, without a network."""

import dataclasses

import behave
from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import DOMAIN
from routing_harness import RoutingHarness

from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.quota import AskLender
from bluebellbay.protocol.quota import LenderAnswered
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.quota import QuotaAsk
from bluebellbay.protocol.quota import QuotaAsked
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import EvacuationsListed
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import StoreAnswered
from bluebellbay.protocol.registry import StoreConfirmed
from bluebellbay.protocol.router_rules import QuotaLimits

DOMAINS = (DOMAIN, "zone-b", "zone-c")
LIMITED = ClientAccount(
    name="limited", keys=("k",), rate_per_s=2.0, burst=10.0
)
UNLIMITED = ClientAccount(name="unlimited", keys=("u",))
QUOTA = QuotaLimits(overage=0.0, slack=0.0, domains=DOMAINS)
ROUTES = ("plain", "query")


@behave.given("a node with quotas, and 2 peers")
def step_start(context, *, first_start=True, slack=0.0):
    harness = context.harness = RoutingHarness(first_start=first_start)
    quota = dataclasses.replace(QUOTA, slack=slack)
    rules = dataclasses.replace(harness.rules, quota=quota)
    harness.core = type(harness.core)(rules=rules, rng=harness.core.state.rng)
    harness.feed(EvacuationsListed(domains=frozenset()))
    configuration = build_configuration(
        5,
        build_route("plain", service="plain"),
        build_route("query", shards=("shard",)),
    )
    harness.feed(
        ConfigurationReceived(
            configuration=dataclasses.replace(
                configuration, accounts=(LIMITED, UNLIMITED)
            )
        )
    )
    harness.add_replicas(
        build_replica("r1", "plain"), build_replica("r2", "shard")
    )
    harness.feed(
        NodesListed(
            nodes=tuple(
                NodeEntry(
                    name=f"node-{number}",
                    address="10.0.0.1:1",
                    failure_domain=domain,
                )
                for number, domain in enumerate(DOMAINS, start=1)
            )
        )
    )
    confirm_store(context)
    context.exchange = 0


@behave.given("a node with quotas that was restarted, and 2 peers")
def step_restart(context):
    step_start(context, first_start=False)


@behave.given("a restarted node with quotas and a slack of {slack:d}")
def step_restart_with_slack(context, slack):
    step_start(context, first_start=False, slack=float(slack))


@behave.given("a node with quotas and a slack of {slack:d}")
def step_start_with_slack(context, slack):
    step_start(context, slack=float(slack))


def confirm_store(context):
    harness = context.harness
    harness.feed(StoreConfirmed(confirmed_at=harness.now))


def open_requests(context, count, key, route="plain", **fields):
    for _ in range(count):
        context.exchange += 1
        context.harness.open_exchange(
            context.exchange, route, credentials=(b"Bearer " + key,), **fields
        )


def list_asks(context):
    return [
        command
        for command in context.harness.commands
        if isinstance(command, AskLender)
    ]


@behave.when("{count:d} requests come from an account without a rate")
def step_send_unlimited(context, count):
    open_requests(context, count, b"u")


@behave.when("{count:d} parts of requests are delegated by a peer")
def step_send_delegated(context, count):
    terms = DelegationTerms(
        shards=("shard",), objective_s=0.1, most_records=1, most_attempts=1
    )
    open_requests(
        context, count, b"", "query", delegation=terms, account="limited"
    )


@behave.when("{count:d} requests come from the limited account")
@behave.when("{count:d} request comes from the limited account")
@behave.when("{count:d} more request comes from the limited account")
def step_send_limited(context, count):
    open_requests(context, count, b"k")


@behave.then("{count:d} requests were sent to replicas, and no peer was asked")
def check_sent_unasked(context, count):
    check_sent(context, count, 0)


@behave.then("{count:d} were sent to replicas, and {asks:d} peer was asked")
@behave.then("{count:d} were sent to replicas, and {asks:d} peers were asked")
def check_sent(context, count, asks):
    assert len(context.harness.attempts) == count, context.harness.attempts
    assert len(list_asks(context)) == asks, list_asks(context)


def step_pass(context, seconds):
    context.harness.advance(seconds)


@behave.when("after {seconds:g} s, the store confirms its view")
def step_pass_confirmed(context, seconds):
    step_pass(context, seconds)
    confirm_store(context)


@behave.when("a copy of the store answers each {gap_s:d} s for {seconds:d} s")
def step_answer_by_copies(context, gap_s, seconds):
    for _ in range(0, seconds, gap_s):
        step_pass(context, gap_s)
        context.harness.feed(StoreAnswered())


@behave.then("the other peer was asked")
def check_other_asked(context):
    first, second = list_asks(context)
    assert {first.peer.name, second.peer.name} == {"node-2", "node-3"}


def answer_ask(context, index, *, granted=0, room_s=0.0):
    context.harness.feed(
        LenderAnswered(
            attempt=list_asks(context)[index].attempt,
            granted=granted,
            room_s=room_s,
        )
    )


@behave.when("it refuses with room in {room_s:g} s")
def step_refuse(context, room_s):
    answer_ask(context, -1, room_s=room_s)


@behave.when("the first peer grants what it was asked for")
def step_grant_late(context):
    answer_ask(context, 0, granted=1)


@behave.when("after {seconds:g} s, the peer grants")
def step_grant_after(context, seconds):
    step_pass(context, seconds)
    answer_ask(context, -1, granted=1)


@behave.when("the last caller leaves, and the peer grants")
def step_leave(context):
    context.harness.feed(ExchangeAbandoned(exchange=context.exchange))
    answer_ask(context, -1, granted=1)


@behave.then(
    "the request is refused with 429, to return within {least:g} to {most:g} s"
)
def check_refused(context, least, most):
    answer = context.harness.answers[context.exchange]
    assert isinstance(answer, ErrorAnswer)
    assert answer.kind is RoutingErrorKind.OVER_QUOTA
    assert not answer.ran
    assert least <= answer.retry_after_s <= most, answer


@behave.then("it is refused at once")
def check_refused_at_once(context):
    check_refused(context, 0.0, 7.5)
    assert len(list_asks(context)) == 2


@behave.then(
    "{count:d} were sent to replicas, the last with {seconds:g} s less than "
    "the others"
)
def check_age(context, count, seconds):
    sent = [item.command for item in context.harness.attempts.values()]
    assert len(sent) == count
    less = sent[0].deadline_s - sent[-1].deadline_s
    assert abs(less - seconds) < 1e-6, less


@behave.then("no request is open that was not sent")
def check_open(context):
    count = find_exchanges(context).open_count
    assert count == len(context.harness.attempts), count


@behave.then("{count:d} requests are open")
def check_open_count(context, count):
    assert find_exchanges(context).open_count == count


def find_exchanges(context):
    return next(
        part
        for part in context.harness.core._parts
        if hasattr(part, "open_count")
    )


@behave.when("the node's time to stop is over")
def step_stop(context):
    context.harness.feed(ShutdownRequested())
    find_exchanges(context).end_all(context.harness.now)
    for command in context.harness.core.context.take_steps():
        if isinstance(command, ErrorAnswer):
            context.harness.answers[command.exchange] = command


@behave.then("the waiting request has not run")
def check_not_run(context):
    answer = context.harness.answers[context.exchange]
    assert answer.kind is RoutingErrorKind.TIMED_OUT
    assert not answer.ran
    assert find_exchanges(context).open_count == 0


@behave.when("all replicas are gone")
def step_remove_replicas(context):
    for name in ("r1", "r2"):
        context.harness.feed(ReplicaRemoved(replica_id=name))
        context.harness.core.state.replicas.remove(name)


@behave.then("{count:d} found no replica, and no peer was asked")
def check_no_replica(context, count):
    kinds = [answer.kind for answer in context.harness.answers.values()]
    assert kinds == [RoutingErrorKind.NO_REPLICA] * count, kinds
    check_sent(context, 0, 0)


def ask_node(context):
    context.asked = getattr(context, "asked", 1000) + 1
    (answer,) = (
        command
        for command in context.harness.feed(
            QuotaAsked(
                exchange=context.asked, ask=QuotaAsk(account=LIMITED.name)
            )
        )
        if isinstance(command, QuotaAnswer)
    )
    return answer.granted


@behave.then("a peer that asks this node is refused")
def check_ask_refused(context):
    assert ask_node(context) == 0


@behave.then(
    "a peer that asks this node is granted {count:d} requests, and refused "
    "more"
)
def check_ask_granted(context, count):
    granted = [ask_node(context) for _ in range(count + 2)]
    assert granted == [1] * count + [0, 0], granted
