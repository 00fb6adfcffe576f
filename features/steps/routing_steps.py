"""Steps about the routing of requests."""

import collections

import behave
from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_route
from routing_helpers import build_records
from routing_helpers import find_answer
from routing_helpers import list_replicas
from routing_helpers import list_shards
from routing_helpers import reply_to_attempts
from routing_helpers import ROUTE
from routing_helpers import send_request
from routing_helpers import SERVICE
from routing_helpers import start
from routing_helpers import start_query

from bluebellbay.coordination.routing.top_records import merge_records
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import ReplicasListed


@behave.given('routes with the prefixes "/a/" and "/a/b/" to "one" and "two"')
def step_two_routes(context):
    start(
        context,
        build_route("a", service="one"),
        build_route("a/b", service="two"),
        replicas=[build_replica("r1", "one"), build_replica("r2", "two")],
    )


@behave.then('the path "{path}" is routed to "{service}"')
def step_path_routed(context, path, service):
    context.exchange += 1
    context.harness.open_exchange(
        context.exchange, path.strip("/").rsplit("/", 1)[0]
    )
    (sent,) = context.harness.list_sent_attempts(context.exchange)
    assert sent.replica.service == service, sent


@behave.then('the path "{path}" is answered "{kind}"')
def step_path_error(context, path, kind):
    context.exchange += 1
    context.harness.open_exchange(
        context.exchange, path.strip("/").rsplit("/", 1)[0]
    )
    assert find_answer(context).kind.value == kind


@behave.given("a router without a configuration")
def step_unconfigured(context):
    start(context)


@behave.given("a non-idempotent route to {count:d} replica")
@behave.given("a non-idempotent route to {count:d} replicas")
def step_non_idempotent(context, count):
    route = build_route(ROUTE, service=SERVICE, idempotent=False)
    start(context, route, replicas=list_replicas(count))


@behave.given("an idempotent route to {count:d} replica")
@behave.given("an idempotent route to {count:d} replicas")
def step_idempotent(context, count):
    route = build_route(ROUTE, service=SERVICE)
    start(context, route, replicas=list_replicas(count))


@behave.given("an idempotent route to 2 replicas with known latencies")
def step_known_latencies(context):
    step_idempotent(context, 2)
    for _ in range(40):
        send_request(context)
        context.harness.advance(0.01)
        reply_to_attempts(context)


@behave.given(
    "an idempotent route to 1 replica that accepts {limit:d} connections"
)
def step_connection_limit(context, limit):
    start(context)
    route = build_route(ROUTE, service=SERVICE)
    configuration = build_configuration(5, route, connections=limit)
    context.harness.feed(ConfigurationReceived(configuration=configuration))
    context.harness.add_replicas(build_replica("r1", SERVICE))


@behave.given('a route with weights 3 and 1 for "one" and "two"')
def step_weighted(context):
    start(
        context,
        build_route(ROUTE, split=[("one", 3), ("two", 1)]),
        replicas=[build_replica("r1", "one"), build_replica("r2", "two")],
    )


@behave.given("a query route over {count:d} shards")
def step_query(context, count):
    start_query(context, count)


@behave.given("a query route over 4 shards, without replicas for 2")
def step_query_without(context):
    shards = list_shards(4)
    start(
        context,
        build_route(ROUTE, shards=shards),
        replicas=[build_replica(f"r-{shard}", shard) for shard in shards[:2]],
    )


@behave.given("the replicas of one shard are ejected")
def step_ejected(context):
    eject(context, "shard-0")


@behave.given("the replicas of another shard are ejected")
def step_another_ejected(context):
    eject(context, "shard-1")


def eject(context, shard):
    for record in context.harness.core.state.replicas.list_service(shard):
        record.ejected_until = context.harness.now + 5


@behave.when("a request arrives")
def step_arrive(context):
    send_request(context)


@behave.when("{count:d} requests arrive")
def step_arrive_many(context, count):
    context.first = context.exchange + 1
    for _ in range(count):
        send_request(context)


@behave.when("a request arrives 0.3 s after it was sent with a timeout of 1 s")
def step_arrive_delayed(context):
    send_request(context, age_s=0.3, patience_s=1.0)


@behave.when("a request arrives that took {way_s:g} s, as its answer will")
def step_arrive_from_afar(context, way_s):
    send_request(context, age_s=way_s, return_s=way_s)


@behave.when("its attempt fails after it was sent")
def step_fail_sent(context):
    context.harness.fail(context.harness.list_open_attempts()[0])


@behave.when("its attempt is refused as overloaded")
def step_refuse(context):
    context.harness.refuse(context.harness.list_open_attempts()[0])


@behave.when("its attempt is refused as it reached another replica")
def step_other_replica(context):
    number = context.harness.list_open_attempts()[0]
    context.harness.refuse(number, RefusalKind.ADDRESS_REUSED)


@behave.when("every attempt is refused as overloaded")
def step_refuse_all(context):
    while find_answer(context) is None:
        for number in context.harness.list_open_attempts():
            context.harness.refuse(number)
        context.harness.advance(0.01)


@behave.when("the next attempt gets a reply")
@behave.when("the next shard replies")
def step_reply_next(context):
    reply_to_attempts(context, 1)


@behave.when("its attempt is answered 200 without a digest")
def step_unsigned(context):
    context.harness.reply(context.harness.list_open_attempts()[0], digest="")


@behave.when("its attempt is answered 500 with a digest")
def step_error_reply(context):
    context.harness.reply(context.harness.list_open_attempts()[0], status=500)


@behave.when("{seconds:g} s pass")
def step_advance(context, seconds):
    context.harness.advance(seconds)


@behave.when("its caller disconnects")
def step_disconnect(context):
    context.harness.feed(ExchangeAbandoned(exchange=context.exchange))


@behave.when("each shard replies with records of its own")
def step_reply_all(context):
    reply_to_attempts(context)


@behave.when("{count:d} shards reply")
def step_reply_some(context, count):
    ejected = {
        record.entry.service
        for record in context.harness.core.state.replicas
        if record.ejected_until > context.harness.now
    }
    reply_to_attempts(context, count, skip=ejected)


@behave.when("the 3 other shards reply")
def step_reply_others(context):
    reply_to_attempts(context, skip=("shard-0",))


@behave.when("a configuration names 5 other shards for the route")
def step_reshard(context):
    shards = [f"new-{number}" for number in range(5)]
    context.harness.add_replicas(
        *(build_replica(f"r-{shard}", shard) for shard in shards)
    )
    context.harness.configure(6, build_route(ROUTE, shards=shards))


@behave.when("an older configuration without the route is read")
def step_older_configuration(context):
    context.harness.configure(4, build_route("other", service="other"))


@behave.then('it is answered "{kind}" as {ran} run')
def step_error(context, kind, ran):
    answer = find_answer(context)
    assert isinstance(answer, ErrorAnswer), answer
    assert answer.kind.value == kind, answer
    assert answer.ran == (ran == "maybe"), answer


@behave.then('the next request is answered "{kind}" as not run')
def step_next_error(context, kind):
    send_request(context)
    step_error(context, kind, "not")


@behave.then("the answer allows a retry within 1 s")
def step_retry_after(context):
    assert 0 < find_answer(context).retry_after_s <= 1


@behave.then("it was sent once")
def step_sent_once(context):
    step_sent(context, 1)


@behave.then("it was sent {count:d} times")
def step_sent(context, count):
    sent = context.harness.list_sent_attempts(context.exchange)
    assert len(sent) == count, sent


@behave.then("it went to 2 different replicas")
def step_sent_apart(context):
    sent = context.harness.list_sent_attempts(context.exchange)
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
    attempts = context.harness.attempts.values()
    assert attempts
    assert all(attempt.cancelled for attempt in attempts)


@behave.then("its attempt has a deadline of {seconds:g} s")
def step_deadline(context, seconds):
    (sent,) = context.harness.list_sent_attempts(context.exchange)
    assert abs(sent.deadline_s - seconds) < 1e-6, sent.deadline_s


@behave.then('"one" got {first:d} of them and "two" got {second:d}')
def step_weights(context, first, second):
    counts = collections.Counter(
        attempt.command.replica.service
        for attempt in context.harness.attempts.values()
    )
    assert counts == {"one": first, "two": second}, counts


@behave.then("the answer has the greatest records of all, in descending order")
def step_greatest(context):
    bodies = [build_records(shard) for shard in list_shards(4)]
    all_records = sorted(
        body[at : at + 16] for body in bodies for at in range(0, len(body), 16)
    )
    expected = b"".join(reversed(all_records[-5:]))
    assert find_answer(context).records == expected
    assert merge_records(bodies, 5) == expected


@behave.then(
    "the answer has {digests:d} digests and misses {missing:d} shards"
)
def step_coverage(context, digests, missing):
    answer = find_answer(context)
    assert isinstance(answer, MergedAnswer), answer
    assert len(set(answer.digests)) == digests, answer
    assert answer.missing == missing, answer
    assert not any(digest.startswith("new-") for digest in answer.digests)


@behave.when("the store lists a configuration and a replica")
def step_list_store(context):
    route = build_route(ROUTE, service=SERVICE)
    context.harness.configure(5, route)
    context.harness.feed(ReplicasListed(entries=tuple(list_replicas(1))))


@behave.then("the request was sent to the replica")
def step_sent_to_listed(context):
    (sent,) = context.harness.list_sent_attempts(context.exchange)
    assert sent.replica == list_replicas(1)[0]


@behave.then("the time that it waited is not left to the replica")
def step_waited_time_used(context):
    (sent,) = context.harness.list_sent_attempts(context.exchange)
    assert sent.deadline_s <= 1.0 - 0.05, sent.deadline_s


@behave.then("nothing was sent")
def step_nothing_sent(context):
    assert not context.harness.attempts


@behave.when("a peer's query arrives")
def step_peer_query(context):
    terms = DelegationTerms(
        shards=("s",), objective_s=0.1, most_records=1, most_attempts=1
    )
    send_request(context, delegation=terms)


@behave.then("it is not answered yet")
def step_unanswered(context):
    assert find_answer(context) is None
