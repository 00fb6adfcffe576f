"""Steps about queries, run against the core in virtual time."""

import behave
from query_world import LATENCY_S
from query_world import QueryWorld

from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import CallerDisconnected
from bluebellbay.protocol.event import ClaimFinished
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimRequested
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.profile import Profile

SETTLE_S = 5.0


def hold(snapshot, number, count):
    return Holding(
        snapshot=snapshot,
        start=KEY_SPACE_END * number // count,
        end=KEY_SPACE_END * (number + 1) // count,
    )


@behave.given(
    "an entry node with {services:d} services of {replicas:d} replicas each"
)
def make_node(context, services, replicas):
    context.world = QueryWorld(indexes=[{"name": "ink", "services": services}])
    context.world.add_services(count=services, replicas=replicas)


@behave.given("the backend server {name} is {mode}")
def set_mode(context, name, mode):
    context.world.servers[name].mode = mode


@behave.given("the health of the backend server {name} was never polled")
def remove_report(context, name):
    holdings = context.world.core.state.servers.holdings["ink"]
    holdings.remove_server(name)


@behave.given("snapshot {snapshot:d} is rolled out to service {number:d} only")
@behave.when(
    "snapshot {snapshot:d} is rolled out to service {number:d} as well"
)
def roll_out(context, snapshot, number):
    for name, server in context.world.servers.items():
        if server.service == f"ink-{number}":
            server.held.append(hold(snapshot, number, 2))
            context.world.report(name)


@behave.when("a caller sends a query")
def send_query(context):
    context.caller = context.world.send_request(request_id="q")
    context.world.advance(SETTLE_S)


@behave.then("the query is answered in full from snapshot {snapshot:d}")
def check_complete(context, snapshot):
    answer = context.world.get_answer(context.caller)
    assert answer.outcome == "answered", answer
    assert answer.coverage.complete
    assert answer.snapshot == snapshot
    assert len(answer.rows) == 64
    assert all(row.value == f"{snapshot}:{row.key}" for row in answer.rows)


@behave.when("a caller posts the request {request_id}")
def post(context, request_id):
    context.caller = context.world.send_request(
        request_id=request_id,
        repeatable=False,
        expires_at=context.world.now + 60,
    )


@behave.then("the claim of {request_id} is requested and no leg is sent")
def check_claim(context, request_id):
    assert [type(item) for item in context.world.state.recorded_events] == [
        ClaimRequested
    ]
    assert context.world.state.recorded_events[0].request_id == request_id
    assert not context.world.legs


@behave.when("the claim of {request_id} is granted")
def grant_claim(context, request_id):
    context.world.step(ClaimGranted(request_id=request_id))
    context.world.advance(SETTLE_S)


@behave.then("{request_id} is run once and its outcome {outcome} is recorded")
def check_once(context, request_id, outcome):
    runs = [
        leg for s in context.world.servers.values() for leg in s.executed_legs
    ]
    assert [leg.request_id for leg in runs] == [request_id]
    assert context.world.get_answer(context.caller).outcome == outcome
    finished = context.world.state.recorded_events[-1]
    assert isinstance(finished, ClaimFinished)
    assert finished.answer.outcome == outcome


@behave.given("every backend server is {mode}")
def set_every_mode(context, mode):
    for server in context.world.servers.values():
        server.mode = mode


@behave.given("every backend server takes {seconds:g} s")
def set_every_latency(context, seconds):
    for server in context.world.servers.values():
        server.latency_s = seconds


@behave.given(
    "the backend server {name} reports a shard that it does not hold"
)
def report_false_holdings(context, name):
    server = context.world.servers[name]
    server.false_holdings = server.held
    server.held = []


@behave.given(
    "an entry node with {services:d} services of {replicas:d} replicas each "
    "without {switch}"
)
def make_node_without(context, services, replicas, switch):
    context.world = QueryWorld(
        indexes=[{"name": "ink", "services": services}],
        policy={switch: False},
    )
    context.world.add_services(count=services, replicas=replicas)


@behave.given(
    "an entry node with {services:d} services of {replicas:d} replicas each "
    "and two ranks"
)
def make_ranked_node(context, services, replicas):
    context.world = QueryWorld(
        indexes=[{"name": "ink", "services": services}],
        profiles=(Profile(name="desk"), Profile(name="later", rank=1)),
    )
    context.world.add_services(count=services, replicas=replicas)
    context.world.limit_slots()


@behave.when("another caller posts the request {request_id}")
def post_again(context, request_id):
    context.other = context.world.send_request(
        request_id=request_id,
        repeatable=False,
        expires_at=context.world.now + 60,
    )


@behave.then("the other caller is answered with {kind}")
def check_other_caller(context, kind):
    assert context.world.get_answer(context.other).error.kind == kind


@behave.when("the caller disconnects")
def disconnect_caller(context):
    context.world.step(CallerDisconnected(caller=context.caller))


def find_outcomes(context, request_id):
    return [
        item.answer.outcome
        for item in context.world.state.recorded_events
        if isinstance(item, ClaimFinished) and item.request_id == request_id
    ]


@behave.then(
    "the outcome {outcome} of {request_id} is recorded and no caller is "
    "answered"
)
def check_recorded(context, outcome, request_id):
    assert find_outcomes(context, request_id) == [outcome]
    assert not context.world.answers


@behave.then(
    "the outcome {outcome} of {request_id} is recorded after the answer "
    "{answer_outcome}"
)
def check_recorded_late(context, outcome, request_id, answer_outcome):
    assert context.world.get_answer(context.caller).outcome == answer_outcome
    assert find_outcomes(context, request_id) == [outcome]


@behave.when("a caller sends a query that is still in progress")
def begin_query(context):
    context.caller = context.world.send_request(request_id="q")


@behave.when("admission is closed")
def close_admission(context):
    context.world.step(AdmissionClosed())


@behave.when("the query has ended")
def end_query(context):
    context.world.advance(SETTLE_S)


@behave.then("the node is not drained yet")
def check_not_drained(context):
    assert QueriesDrained() not in context.world.state.recorded_events


@behave.then("the node is drained")
def check_drained(context):
    assert context.world.state.recorded_events.count(QueriesDrained()) == 1


@behave.when("{count:d} queries are sent in {seconds:g} s")
def send_queries(context, count, seconds):
    context.callers = []
    for _ in range(count):
        context.callers.append(context.world.send_request())
        context.world.advance(seconds / count)
    context.world.advance(SETTLE_S)


@behave.then("all are answered in full")
def check_all_complete(context):
    for caller in context.callers:
        assert context.world.get_answer(caller).outcome == "answered"


@behave.then("all are answered in full and {name} gets at most {count:d} legs")
def check_leg_count(context, name, count):
    check_all_complete(context)
    asked = [1 for _, leg in context.world.legs if leg.server == name]
    assert len(asked) <= count, len(asked)


@behave.when(
    "requests arrive for {seconds:g} s at twice the rate that the slots can "
    "serve"
)
def overload(context, seconds):
    world = context.world
    world.load_callers = {"desk": [], "later": []}
    interval_s = LATENCY_S / (2 * 4)
    for number in range(int(seconds / interval_s)):
        name = "later" if number % 3 else "desk"
        world.load_callers[name].append(world.send_request(profile=name))
        world.advance(interval_s)
    world.advance(SETTLE_S)


@behave.then("at least 99 % of the first rank's requests are answered in full")
def check_first_rank(context):
    callers = context.world.load_callers["desk"]
    complete = sum(
        context.world.get_answer(caller).outcome == "answered"
        for caller in callers
    )
    assert complete >= 0.99 * len(callers), (complete, len(callers))


@behave.then(
    "the second rank's requests are answered in full or refused as overloaded"
)
def check_second_rank(context):
    shed = 0
    for caller in context.world.load_callers["later"]:
        answer = context.world.get_answer(caller)
        if answer.outcome == "answered":
            continue
        shed += 1
        assert answer.error.kind == "overloaded", answer
    assert shed


@behave.when(
    "{count:d} queries are in progress and one that expires in {seconds:g} s "
    "is queued"
)
def queue_request(context, count, seconds):
    world = context.world
    context.callers = [world.send_request() for _ in range(count)]
    context.queued_caller = world.send_request(
        profile="later", query="waiting", expires_at=world.now + seconds
    )
    world.advance(0.1)


@behave.then("the queued one is refused as expired once a slot is free")
def check_expired(context):
    world = context.world
    assert context.queued_caller not in world.answers
    for caller in context.callers:
        world.step(CallerDisconnected(caller=caller))
    for leg in tuple(world.legs):
        event = LegFailed(
            server=leg[1].server, attempt=leg[1].leg.attempt, sent=True
        )
        world.step(event)
    assert world.get_answer(context.queued_caller).error.kind == "expired"
    assert not [leg for _, leg in world.legs if leg.leg.query == "waiting"]
