"""Steps about queries, driven through the core's facade."""

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

SECONDS = 5.0


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


@behave.given("the health of the backend server {name} was never read")
def forget_health(context, name):
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
    context.caller = context.world.ask(request_id="q")
    context.world.run(SECONDS)


@behave.then("the query is answered whole from snapshot {snapshot:d}")
def check_whole(context, snapshot):
    answer = context.world.answer_of(context.caller)
    assert answer.outcome == "answered", answer
    assert answer.coverage.complete
    assert answer.snapshot == snapshot
    assert len(answer.rows) == 64
    assert all(row.value == f"{snapshot}:{row.key}" for row in answer.rows)


@behave.when("a caller posts the request {request_id}")
def post(context, request_id):
    context.caller = context.world.ask(
        request_id=request_id,
        repeatable=False,
        expires_at=context.world.now + 60,
    )


@behave.then("the claim of {request_id} is asked for and nothing is sent")
def check_claim(context, request_id):
    assert [type(item) for item in context.world.state.seen] == [
        ClaimRequested
    ]
    assert context.world.state.seen[0].request_id == request_id
    assert not context.world.legs


@behave.when("the claim of {request_id} is granted")
def grant(context, request_id):
    context.world.step(ClaimGranted(request_id=request_id))
    context.world.run(SECONDS)


@behave.then("{request_id} ran once and its outcome {outcome} is recorded")
def check_once(context, request_id, outcome):
    runs = [leg for s in context.world.servers.values() for leg in s.runs]
    assert [leg.request_id for leg in runs] == [request_id]
    assert context.world.answer_of(context.caller).outcome == outcome
    finished = context.world.state.seen[-1]
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


@behave.given("the backend server {name} lies that it holds its shard")
def set_lie(context, name):
    server = context.world.servers[name]
    server.lie = server.held
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
    context.other = context.world.ask(
        request_id=request_id,
        repeatable=False,
        expires_at=context.world.now + 60,
    )


@behave.then("the other caller's answer is {kind}")
def check_other(context, kind):
    assert context.world.answer_of(context.other).error.kind == kind


@behave.when("the caller goes away")
def lose_caller(context):
    context.world.step(CallerDisconnected(caller=context.caller))


def find_outcomes(context, request_id):
    return [
        item.answer.outcome
        for item in context.world.state.seen
        if isinstance(item, ClaimFinished) and item.request_id == request_id
    ]


@behave.then(
    "the outcome {outcome} of {request_id} is recorded and nobody is answered"
)
def check_recorded(context, outcome, request_id):
    assert find_outcomes(context, request_id) == [outcome]
    assert not context.world.answers


@behave.then(
    "the outcome {outcome} of {request_id} is recorded after the answer {told}"
)
def check_late(context, outcome, request_id, told):
    assert context.world.answer_of(context.caller).outcome == told
    assert find_outcomes(context, request_id) == [outcome]


@behave.when("a caller sends a query that is still under way")
def begin_query(context):
    context.caller = context.world.ask(request_id="q")


@behave.when("admission is closed")
def close_admission(context):
    context.world.step(AdmissionClosed())


@behave.when("the query has ended")
def end_query(context):
    context.world.run(SECONDS)


@behave.then("the node is not drained yet")
def check_not_drained(context):
    assert QueriesDrained() not in context.world.state.seen


@behave.then("the node is drained")
def check_drained(context):
    assert context.world.state.seen.count(QueriesDrained()) == 1


@behave.when("{count:d} queries are sent in {seconds:g} s")
def send_queries(context, count, seconds):
    context.callers = []
    for _ in range(count):
        context.callers.append(context.world.ask())
        context.world.run(seconds / count)
    context.world.run(SECONDS)


@behave.then("all are answered whole")
def check_all(context):
    for caller in context.callers:
        assert context.world.answer_of(caller).outcome == "answered"


@behave.then(
    "all are answered whole and {name} was asked at most {count:d} times"
)
def check_asked(context, name, count):
    check_all(context)
    asked = [1 for _, leg in context.world.legs if leg.server == name]
    assert len(asked) <= count, len(asked)


@behave.when(
    "twice the load that the slots carry is offered for {seconds:g} s"
)
def overload(context, seconds):
    world = context.world
    world.load_callers = {"desk": [], "later": []}
    gap_s = LATENCY_S / (2 * 4)
    for turn in range(int(seconds / gap_s)):
        name = "later" if turn % 3 else "desk"
        world.load_callers[name].append(world.ask(profile=name))
        world.run(gap_s)
    world.run(SECONDS)


@behave.then("at least 99 in 100 of the first rank are answered whole")
def check_first_rank(context):
    callers = context.world.load_callers["desk"]
    whole = sum(
        context.world.answer_of(caller).outcome == "answered"
        for caller in callers
    )
    assert whole >= 0.99 * len(callers), (whole, len(callers))


@behave.then("the second rank is answered whole or refused as overloaded")
def check_second_rank(context):
    shed = 0
    for caller in context.world.load_callers["later"]:
        answer = context.world.answer_of(caller)
        if answer.outcome == "answered":
            continue
        shed += 1
        assert answer.error.kind == "overloaded", answer
    assert shed


@behave.when(
    "{count:d} queries are under way and one that expires in {seconds:g} s "
    "waits"
)
def wait_at_gate(context, count, seconds):
    world = context.world
    context.callers = [world.ask() for _ in range(count)]
    context.waiting = world.ask(
        profile="later", query="waiting", expires_at=world.now + seconds
    )
    world.run(0.1)


@behave.then("the waiting one is refused as expired once there is room")
def check_expired(context):
    world = context.world
    assert context.waiting not in world.answers
    for caller in context.callers:
        world.step(CallerDisconnected(caller=caller))
    for leg in tuple(world.legs):
        event = LegFailed(
            server=leg[1].server, attempt=leg[1].leg.attempt, sent=True
        )
        world.step(event)
    assert world.answer_of(context.waiting).error.kind == "expired"
    assert not [leg for _, leg in world.legs if leg.leg.query == "waiting"]
