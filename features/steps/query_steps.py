"""Steps about queries, driven through the core's facade."""

import behave
from query_world import QueryWorld

from bluebellbay.protocol.event import ClaimFinished
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimRequested
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.leg import Holding

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
