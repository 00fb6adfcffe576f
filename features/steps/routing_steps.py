"""Steps about the routing of requests."""

import collections

import behave
from routing_world import build_configuration
from routing_world import build_replica
from routing_world import build_request
from routing_world import build_route
from routing_world import DOMAIN
from routing_world import RoutingWorld

from bluebellbay.coordination.routing.top_records import merge_records
from bluebellbay.coordination.routing.top_records import RECORD_BYTES
from bluebellbay.protocol.command import ReportHealth
from bluebellbay.protocol.event import ShutdownRequested
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import ConfigurationFound
from bluebellbay.protocol.exchange import DelegationAnswered
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import NodeSeen
from bluebellbay.protocol.exchange import NodesListed
from bluebellbay.protocol.exchange import NodeUnlisted
from bluebellbay.protocol.exchange import PeerProbed
from bluebellbay.protocol.exchange import ProbeReplica
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.exchange import ReplicaProbed
from bluebellbay.protocol.exchange import ReplicaUnlisted
from bluebellbay.protocol.exchange import SetConnectionLimit
from bluebellbay.protocol.exchange import SetKeepAlive
from bluebellbay.protocol.exchange import StoreLost
from bluebellbay.protocol.exchange import StoreRegained
from bluebellbay.protocol.node import NodeEntry

ROUTE = "route"
SERVICE = "service"
OTHER_SHARDS = ("new-0", "new-1")


def start(context, *routes, replicas=()):
    context.world = RoutingWorld()
    context.exchange = 0
    if routes:
        context.world.configure(5, *routes)
    context.world.see(*replicas)


def list_shards(count):
    return [f"shard-{number}" for number in range(count)]


def arrive(context, **fields):
    context.exchange += 1
    context.world.open(context.exchange, ROUTE, **fields)


def find_answer(context):
    return context.world.answers.get(context.exchange)


def reply_to(context, count=None, *, skip=(), skip_replica=None):
    world = context.world
    replicas = {
        number: world.arrivals[number].command.replica
        for number in world.list_open()
    }
    open_ = [
        number
        for number, replica in replicas.items()
        if replica.service not in skip and replica.replica_id != skip_replica
    ]
    for number in open_[:count]:
        service = world.arrivals[number].command.replica.service
        world.reply(number, digest=service, body=build_records(service))


def build_records(service):
    return b"".join(
        f"{service}-{number}".ljust(16)[:16].encode() for number in range(3)
    )


@behave.given('routes with the prefixes "/a/" and "/a/b/" to "one" and "two"')
def step_two_routes(context):
    start(
        context,
        build_route("a", service="one"),
        build_route("a/b", service="two"),
        replicas=[build_replica("r1", "one"), build_replica("r2", "two")],
    )


@behave.then('the path "{path}" goes to "{service}"')
def step_path_goes(context, path, service):
    context.exchange += 1
    context.world.open(context.exchange, path.strip("/").rsplit("/", 1)[0])
    (sent,) = context.world.list_sent(context.exchange)
    assert sent.replica.service == service, sent


@behave.then('the path "{path}" is answered "{kind}"')
def step_path_error(context, path, kind):
    context.exchange += 1
    context.world.open(context.exchange, path.strip("/").rsplit("/", 1)[0])
    assert find_answer(context).kind.value == kind


@behave.given("a router without a configuration")
def step_unconfigured(context):
    start(context)


@behave.given("a posting route to {count:d} replica")
@behave.given("a posting route to {count:d} replicas")
def step_posting(context, count):
    route = build_route(ROUTE, service=SERVICE, idempotent=False)
    start(context, route, replicas=list_replicas(count))


@behave.given("a safe route to {count:d} replica")
@behave.given("a safe route to {count:d} replicas")
def step_safe(context, count):
    route = build_route(ROUTE, service=SERVICE)
    start(context, route, replicas=list_replicas(count))


def list_replicas(count):
    return [
        build_replica(f"r{number}", SERVICE) for number in range(1, count + 1)
    ]


@behave.given("a safe route to 2 replicas with known response times")
def step_safe_known(context):
    step_safe(context, 2)
    for _ in range(40):
        arrive(context)
        context.world.advance(0.01)
        reply_to(context)


@behave.given("a safe route to 1 replica that accepts {limit:d} connections")
def step_limited(context, limit):
    start(context)
    route = build_route(ROUTE, service=SERVICE)
    configuration = build_configuration(5, route, connections=limit)
    context.world.feed(ConfigurationFound(configuration=configuration))
    context.world.see(build_replica("r1", SERVICE))


@behave.given('a route split 3 to 1 between "one" and "two"')
def step_split(context):
    start(
        context,
        build_route(ROUTE, split=[("one", 3), ("two", 1)]),
        replicas=[build_replica("r1", "one"), build_replica("r2", "two")],
    )


@behave.given("a query route over {count:d} shards")
def step_query(context, count):
    shards = list_shards(count)
    start(
        context,
        build_route(ROUTE, shards=shards),
        replicas=[build_replica(f"r-{shard}", shard) for shard in shards],
    )


@behave.given("a query route over 4 shards, without replicas for 2")
def step_query_without(context):
    shards = list_shards(4)
    start(
        context,
        build_route(ROUTE, shards=shards),
        replicas=[build_replica(f"r-{shard}", shard) for shard in shards[:2]],
    )


@behave.given('a query route over 6 shards, {far:d} only in "{domain}"')
def step_query_far(context, far, domain):
    shards = list_shards(6)
    start(
        context,
        build_route(ROUTE, shards=shards),
        replicas=[
            build_replica(
                f"r-{shard}",
                shard,
                failure_domain=domain if number < far else DOMAIN,
            )
            for number, shard in enumerate(shards)
        ],
    )


@behave.given('a peer in "{domain}"')
def step_peer(context, domain):
    node = NodeEntry(
        name="peer", address="10.0.0.9:7000", failure_domain=domain
    )
    context.world.feed(NodeSeen(node=node))


@behave.given("the replicas of one shard were set aside")
def step_set_aside(context):
    set_aside(context, "shard-0")


@behave.given("the replicas of another shard were set aside")
def step_set_another_aside(context):
    set_aside(context, "shard-1")


def set_aside(context, shard):
    for record in context.world.core.state.replicas.list_service(shard):
        record.ejected_until = context.world.now + 5


@behave.when("a request arrives")
def step_arrive(context):
    arrive(context)


@behave.when("{count:d} requests arrive")
def step_arrive_many(context, count):
    context.first = context.exchange + 1
    for _ in range(count):
        arrive(context)


@behave.when("a request arrives that was under way for 0.3 s of its 1 s")
def step_arrive_late(context):
    arrive(context, age_s=0.3, patience_s=1.0)


@behave.when("its attempt breaks off after it was sent")
def step_break_off(context):
    context.world.fail(context.world.list_open()[0])


@behave.when("its attempt is refused as overloaded")
def step_refuse(context):
    context.world.refuse(context.world.list_open()[0])


@behave.when("its attempt is refused as it reached another replica")
def step_misdirect(context):
    number = context.world.list_open()[0]
    context.world.refuse(number, RefusalKind.OTHER_REPLICA)


@behave.when("every attempt is refused as overloaded")
def step_refuse_all(context):
    while find_answer(context) is None:
        for number in context.world.list_open():
            context.world.refuse(number)
        context.world.advance(0.01)


@behave.when("the next attempt is replied to")
@behave.when("the next shard replies")
def step_reply_next(context):
    reply_to(context, 1)


@behave.when("its attempt is answered 200 without a digest")
def step_unsigned(context):
    context.world.reply(context.world.list_open()[0], digest="")


@behave.when("its attempt is answered 500 with a digest")
def step_own_failure(context):
    context.world.reply(context.world.list_open()[0], status=500)


@behave.when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.world.advance(seconds)


@behave.when("its caller leaves")
def step_leave(context):
    context.world.feed(ExchangeAbandoned(exchange=context.exchange))


@behave.when("each shard replies with records of its own")
def step_reply_all(context):
    reply_to(context)


@behave.when("{count:d} shards reply")
def step_reply_some(context, count):
    aside = {
        record.entry.service
        for record in context.world.core.state.replicas
        if record.ejected_until > context.world.now
    }
    reply_to(context, count, skip=aside)


@behave.when("the 3 other shards reply")
def step_reply_others(context):
    reply_to(context, skip=("shard-0",))


@behave.when("a configuration names 5 other shards for the route")
def step_reshard(context):
    shards = [f"new-{number}" for number in range(5)]
    context.world.see(
        *(build_replica(f"r-{shard}", shard) for shard in shards)
    )
    context.world.configure(6, build_route(ROUTE, shards=shards))


@behave.when("an older configuration without the route is read")
def step_older(context):
    context.world.configure(4, build_route("other", service="other"))


@behave.then('it is answered "{kind}" as {ran} run')
def step_error(context, kind, ran):
    answer = find_answer(context)
    assert isinstance(answer, ErrorAnswer), answer
    assert answer.kind.value == kind, answer
    assert answer.ran == (ran == "maybe"), answer


@behave.then('the next request is answered "{kind}" as not run')
def step_next_error(context, kind):
    arrive(context)
    step_error(context, kind, "not")


@behave.then("it may be tried again soon")
def step_retry_after(context):
    assert 0 < find_answer(context).retry_after_s <= 1


@behave.then("it was sent once")
def step_sent_once(context):
    step_sent(context, 1)


@behave.then("it was sent {count:d} times")
def step_sent(context, count):
    sent = context.world.list_sent(context.exchange)
    assert len(sent) == count, sent


@behave.then("it went to 2 different replicas")
def step_sent_apart(context):
    sent = context.world.list_sent(context.exchange)
    assert len({command.replica.replica_id for command in sent}) == 2


@behave.then("the reply is forwarded")
def step_forwarded(context):
    step_forwarded_status(context, 200)


@behave.then("the reply with status {status:d} is forwarded")
def step_forwarded_status(context, status):
    answer = find_answer(context)
    assert isinstance(answer, ForwardAnswer), answer
    assert answer.reply.status == status


@behave.then("each of its attempts is cancelled at once")
def step_cancelled(context):
    arrivals = context.world.arrivals.values()
    assert arrivals
    assert all(arrival.cancelled for arrival in arrivals)


@behave.then("its attempt may take {seconds:g} s at most")
def step_deadline(context, seconds):
    (sent,) = context.world.list_sent(context.exchange)
    assert abs(sent.deadline_s - seconds) < 1e-6, sent.deadline_s


@behave.then('"one" got {first:d} of them and "two" got {second:d}')
def step_shares(context, first, second):
    counts = collections.Counter(
        arrival.command.replica.service
        for arrival in context.world.arrivals.values()
    )
    assert counts == {"one": first, "two": second}, counts


@behave.then("the answer has the greatest records of all, falling")
def step_greatest(context):
    bodies = [build_records(shard) for shard in list_shards(4)]
    everything = sorted(
        body[at : at + 16] for body in bodies for at in range(0, len(body), 16)
    )
    expected = b"".join(reversed(everything[-5:]))
    assert find_answer(context).records == expected
    assert merge_records(bodies, 5) == expected


@behave.then("it lists {digests:d} digests and misses {missing:d} shards")
def step_coverage(context, digests, missing):
    answer = find_answer(context)
    assert isinstance(answer, MergedAnswer), answer
    assert len(set(answer.digests)) == digests, answer
    assert answer.missing == missing, answer
    assert not any(digest.startswith("new-") for digest in answer.digests)


@behave.then("it is not answered yet")
def step_unanswered(context):
    assert find_answer(context) is None


@behave.when('replica "{replica}" drains')
def step_drain(context, replica):
    entry = build_replica(replica, SERVICE, draining=True, sequence=5)
    context.world.see(entry)


@behave.when('an older entry of "{replica}" says that it is ready')
def step_old_entry(context, replica):
    context.world.see(build_replica(replica, SERVICE, sequence=4))
    context.world.see(build_replica(replica, SERVICE, started_ms=900))


@behave.when('"{replica}" starts anew at another address')
def step_restart(context, replica):
    context.new_address = "10.0.0.2:9999"
    context.world.see(
        build_replica(
            replica, SERVICE, started_ms=2000, address=context.new_address
        )
    )


@behave.then("it was sent to the new address")
def step_new_address(context):
    (sent,) = context.world.list_sent(context.exchange)
    assert sent.replica.address == context.new_address


@behave.when('the entry of "{replica}" is gone')
def step_unlist(context, replica):
    context.world.feed(ReplicaUnlisted(replica_id=replica))


@behave.when('"{replica}" is written again')
def step_rewrite(context, replica):
    context.world.see(build_replica(replica, SERVICE, sequence=9))


@behave.when("the store is lost")
def step_store_lost(context):
    context.world.feed(StoreLost(reason="silent"))


@behave.when("the store is regained")
def step_store_regained(context):
    context.world.feed(StoreRegained())


@behave.then("{count:d} replica is known")
@behave.then("{count:d} replicas are known")
def step_known(context, count):
    assert len(context.world.core.state.replicas) == count


@behave.then('none of them went to "{replica}"')
def step_avoided(context, replica):
    for exchange in range(context.first, context.exchange + 1):
        sent = context.world.list_sent(exchange)
        assert sent
        assert sent[0].replica.replica_id != replica


@behave.when("a request to one replica stays without an answer")
def step_silence(context):
    arrive(context)
    (sent,) = context.world.list_sent(context.exchange)
    context.avoided = sent.replica.replica_id
    context.world.advance(0.08)
    reply_to(context, skip_replica=context.avoided)


@behave.when("2 s later one replica takes 0.2 s for a reply")
def step_slow_once(context):
    context.world.advance(2.0)
    arrive(context)
    (sent,) = context.world.list_sent(context.exchange)
    context.avoided = sent.replica.replica_id
    context.world.advance(0.1)
    reply_to(context, skip_replica=context.avoided)
    context.world.advance(0.1)
    reply_to(context)


@behave.when("one replica refuses each attempt of 5 requests")
def step_refusals(context):
    context.avoided = "r1"
    for _ in range(5):
        arrive(context)
        for number in context.world.list_open():
            arrival = context.world.arrivals[number]
            if arrival.command.replica.replica_id == "r1":
                context.world.refuse(number)
        reply_to(context)


@behave.then("none of them went to that replica")
def step_avoided_it(context):
    step_avoided(context, context.avoided)


@behave.when("6 nodes besides this one are listed")
def step_nodes(context):
    nodes = tuple(
        NodeEntry(name=f"other-{number}", address="", failure_domain="")
        for number in range(6)
    )
    context.world.feed(NodesListed(nodes=nodes))


@behave.when("3 of these nodes are gone")
def step_nodes_gone(context):
    for number in range(3):
        context.world.feed(NodeUnlisted(name=f"other-{number}"))


@behave.then("this node may open {limit:d} connections to it")
def step_connections(context, limit):
    commands = [
        command
        for command in context.world.commands
        if isinstance(command, SetConnectionLimit)
    ]
    assert commands[-1].limit == limit, commands[-1]


@behave.then("the peer is asked for 4 shards and 2 are asked from here")
def step_delegated(context):
    (command,) = context.world.delegations.values()
    assert len(command.terms.shards) == 4
    assert len(context.world.list_sent(context.exchange)) == 2


@behave.when("the peer answers with 3 shards and the others reply")
def step_peer_answers(context):
    (number,) = context.world.delegations
    answer = MergedAnswer(
        exchange=0,
        records=build_records("shard-0"),
        digests=("shard-0", "shard-1", "shard-2"),
        missing=1,
    )
    context.world.feed(DelegationAnswered(attempt=number, answer=answer))
    reply_to(context)


@behave.when("the peer can't be reached")
def step_peer_unreached(context):
    lose_peer(context, sent=False)


@behave.when("the peer breaks off")
def step_peer_breaks(context):
    lose_peer(context, sent=True)


def lose_peer(context, *, sent):
    (number,) = context.world.delegations
    context.world.feed(
        AttemptFailed(attempt=number, sent=sent, reason="connection")
    )


@behave.then("the next request is sent to no peer")
def step_no_peer(context):
    before = len(context.world.delegations)
    arrive(context)
    assert len(context.world.delegations) == before
    assert len(context.world.list_sent(context.exchange)) == 6


@behave.when("a peer asks for 2 shards")
def step_peer_asks(context):
    ask_as_peer(context, ROUTE, ("shard-0", "shard-1"))


@behave.when("a peer asks for 2 shards on a route that is not known here")
def step_peer_asks_unknown(context):
    ask_as_peer(context, "other", ("shard-0", "shard-1"))


@behave.when("a peer asks for 2 shards of a set that is not known here")
def step_peer_asks_other_set(context):
    context.world.see(
        *(build_replica(f"r-{shard}", shard) for shard in OTHER_SHARDS)
    )
    ask_as_peer(context, ROUTE, OTHER_SHARDS)


def ask_as_peer(context, route, shards):
    context.exchange += 1
    terms = DelegationTerms(
        shards=shards, objective_s=0.1, most_records=2, most_attempts=1
    )
    request = build_request(route, number=context.exchange, delegation=terms)
    context.world.feed(
        ExchangeOpened(exchange=context.exchange, request=request, age_s=0.0)
    )


@behave.then("just these are asked, each of one replica, for 2 records")
def step_peer_terms(context):
    world = context.world
    world.advance(0.09)
    sent = world.list_sent(context.exchange)
    assert sorted(item.replica.service for item in sent) == [*OTHER_SHARDS]
    reply_to(context)
    answer = find_answer(context)
    assert sorted(answer.digests) == [*OTHER_SHARDS]
    assert len(answer.records) == 2 * RECORD_BYTES


@behave.when("the node is asked to end")
def step_end(context):
    context.world.feed(ShutdownRequested())


@behave.given("the node is ready")
@behave.then("the node is ready")
def step_node_ready(context):
    assert read_last(context, ReportHealth).healthy
    assert read_last(context, SetKeepAlive).allowed


def read_last(context, kind):
    return [
        command
        for command in context.world.commands
        if isinstance(command, kind)
    ][-1]


@behave.when("the peer can't be reached by a probe")
def step_probe_fails(context):
    context.world.now += 0.001
    context.world.feed(PeerProbed(name="peer", answered=False))


@behave.when("no replica there can be reached")
def step_replica_probe_fails(context):
    context.world.feed(ReplicaProbed(answered=False))


@behave.when("a replica there accepts a connection")
def step_replica_probe_answers(context):
    context.world.now += 0.001
    context.world.feed(ReplicaProbed(answered=True))


@behave.when("40 requests arrive in 0.4 s and stay without an answer")
def step_silent_peer(context):
    for _ in range(40):
        arrive(context)
        context.world.advance(0.01)


@behave.then("at most {count:d} probes of replicas were sent")
def step_probes(context, count):
    probes = [
        command
        for command in context.world.commands
        if isinstance(command, ProbeReplica)
    ]
    assert 0 < len(probes) <= count, len(probes)


@behave.when("the peer answers a probe")
def step_probe_answers(context):
    context.world.feed(PeerProbed(name="peer", answered=True))


@behave.when('a replica in "{domain}" answers')
def step_far_answers(context, domain):
    world = context.world
    for number in world.list_open():
        replica = world.arrivals[number].command.replica
        if replica.failure_domain == domain:
            world.reply(number)


@behave.then("the node is not ready and closes its connections")
def step_node_not_ready(context):
    assert not read_last(context, ReportHealth).healthy
    assert not read_last(context, SetKeepAlive).allowed


@behave.then("it may be tried elsewhere at once")
def step_retry_at_once(context):
    assert find_answer(context).retry_after_s <= 0.02


@behave.given("a query route over 4 shards whose replicas serve one at a time")
def step_overloaded(context):
    step_query(context, 4)


@behave.when(
    "60 queries a second arrive for 20 s, half of what they need is there"
)
def step_overload(context):
    """Each replica takes 33 ms a request, one at a time, in order."""
    world = context.world
    free_at = collections.defaultdict(float)
    done_at = {}
    context.outcomes = []
    for tick in range(60 * 20):
        arrive(context)
        settle(world, free_at, done_at, world.now + 1 / 60)
        context.outcomes.append((tick / 60, context.exchange, world.now))
    settle(world, free_at, done_at, world.now + 2.0)


def settle(world, free_at, done_at, until):
    while True:
        for number in world.list_open():
            if number in done_at:
                continue
            arrival = world.arrivals[number]
            service = arrival.command.replica.service
            began_at = max(arrival.sent_at, free_at[service])
            free_at[service] = done_at[number] = began_at + 0.033
        pending = [
            (done_at[number], number)
            for number in world.list_open()
            if done_at[number] <= until
        ]
        if not pending:
            break
        at, number = min(pending)
        world.advance(max(0.0, at - world.now))
        if world.arrivals[number].cancelled:
            world.fail(number)
        else:
            world.reply(number)
    world.advance(max(0.0, until - world.now))


@behave.then("in the last 10 s at least {share:g} of the queries were in time")
def step_served_share(context, share):
    late = [item for item in context.outcomes if item[0] >= 10]
    answers = context.world.answers
    served = [
        exchange
        for _, exchange, _ in late
        if isinstance(answers.get(exchange), MergedAnswer)
        and context.world.answered_at[exchange]
        - context.world.arrived_at[exchange]
        <= 0.1
    ]
    assert len(served) >= share * len(late), (len(served), len(late))


@behave.then("no refused query was held or had run")
def step_refused_at_once(context):
    world = context.world
    refused = [
        exchange
        for exchange, answer in world.answers.items()
        if isinstance(answer, ErrorAnswer) and not answer.ran
    ]
    assert refused
    for exchange in refused:
        assert world.answered_at[exchange] == world.arrived_at[exchange]
        assert not world.list_sent(exchange)
