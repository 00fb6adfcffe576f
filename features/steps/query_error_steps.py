"""Steps that drive a request into each error kind."""

import json

import behave
from query_world import QueryWorld
from twisted.internet.address import IPv4Address
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport

from bluebellbay.protocol.error import ERROR_KINDS
from bluebellbay.protocol.error import ERROR_TABLE
from bluebellbay.protocol.error import ExecutionStatus
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.profile import Profile
from bluebellbay.transport.caller import HttpCallerLink

ROUTES = {}
BODY_LIMIT = 256
SECONDS = 90.0


def drives(kind):
    def keep(function):
        ROUTES[kind] = function
        return function

    return keep


def make_node(services=2, **fields):
    world = QueryWorld(
        indexes=[{"name": "ink", "services": services}], **fields
    )
    world.add_services(count=services)
    return world


def post(world, **fields):
    fields = {"request_id": "pay", "expires_at": world.now + 60, **fields}
    return world.ask(repeatable=False, **fields)


def set_all(world, mode):
    for server in world.servers.values():
        server.mode = mode


def call_over_http(world, body):
    """Sends bytes through the real HTTP resource; returns its answer."""
    reactor = MemoryReactorClock()
    link = HttpCallerLink(
        reactor=reactor,
        listen="127.0.0.1:80",
        body_limit=BODY_LIMIT,
        head_s=10.0,
        report=world.step,
        observe=lambda answer, seconds: None,
        read_status=lambda: None,
        read_configuration=lambda: None,
        read_metrics=lambda: None,
    )
    link.start()
    protocol = reactor.tcpServers[0][1].buildProtocol(
        IPv4Address("TCP", "127.0.0.1", 1)
    )
    transport = StringTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(
        b"POST /v1/query/ink HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        % len(body)
        + body
    )
    return json.loads(transport.value().partition(b"\r\n\r\n")[2])


@drives("malformed")
def drive_malformed():
    world = make_node()
    return world, call_over_http(world, b"{")


@drives("body-too-large")
def drive_body_too_large():
    world = make_node()
    return world, call_over_http(world, b" " * (BODY_LIMIT + 1))


@drives("unknown-index")
def drive_unknown_index():
    world = make_node()
    return world, world.ask(index="paper")


@drives("unknown-profile")
def drive_unknown_profile():
    world = make_node()
    return world, world.ask(profile="none")


@drives("missing-request-id")
def drive_missing_request_id():
    world = make_node()
    return world, post(world, request_id="", key=1)


@drives("missing-expiry")
def drive_missing_expiry():
    world = make_node()
    return world, post(world, expires_at=None, key=1)


@drives("expired")
def drive_expired():
    # The claim takes longer than the request lives.
    profile = Profile(name="desk", delay_ms=60_000)
    world = make_node(services=1, profiles=(profile,))
    caller = post(world, expires_at=world.now + 1)
    world.run(2.0)
    world.step(ClaimGranted(request_id="pay"))
    return world, caller


@drives("expiry-too-far")
def drive_expiry_too_far():
    world = make_node()
    return world, post(world, expires_at=world.now + 3601, key=1)


@drives("request-id-in-use")
def drive_request_id_in_use():
    world = make_node()
    world.ask(request_id="same", query="other")
    return world, world.ask(request_id="same")


@drives("ambiguous-target")
def drive_ambiguous_target():
    world = make_node()
    return world, post(world)


@drives("overloaded")
def drive_overloaded():
    profiles = (Profile(name="desk"), Profile(name="later", rank=1))
    world = make_node(profiles=profiles)
    set_all(world, "silent")
    for _ in range(4):
        world.ask(query="other")
    return world, world.ask(profile="later")


@drives("shutting-down")
def drive_shutting_down():
    world = make_node()
    world.step(AdmissionClosed())
    return world, world.ask()


@drives("no-configuration")
def drive_no_configuration():
    world = make_node()
    world.state.configuration.document = None
    return world, world.ask()


@drives("no-server")
def drive_no_server():
    world = make_node()
    for record in world.state.servers.servers.values():
        record.leaving = True
    return world, world.ask()


@drives("refused-by-servers")
def drive_refused_by_servers():
    world = make_node()
    set_all(world, "overloaded")
    return world, world.ask()


@drives("store-unavailable")
def drive_store_unavailable():
    world = make_node(services=1)
    caller = post(world)
    world.step(ClaimRefused(request_id="pay"))
    return world, caller


@drives("delay-passed-unsent")
def drive_delay_passed_unsent():
    # No server answers as fast as this caller wants.
    world = make_node()
    for _ in range(20):
        world.ask(query="other")
        world.run(1.0)
    return world, world.ask(deadline_ms=2)


@drives("below-floor")
def drive_below_floor():
    world = make_node()
    world.servers["ink-0-0"].mode = "silent"
    world.servers["ink-0-1"].mode = "silent"
    return world, world.ask()


@drives("snapshot-lost")
def drive_snapshot_lost():
    # Snapshot 2 is lost after service 1 has answered; then so is 1.
    world = make_node()
    for name, server in world.servers.items():
        former = server.held[0]
        newer = Holding(snapshot=2, start=former.start, end=former.end)
        server.held = [former, newer]
        world.report(name)
        if server.service == "ink-0":
            server.held = []
    return world, world.ask()


@drives("outcome-lost")
def drive_outcome_lost():
    world = make_node(services=1)
    set_all(world, "broken")
    caller = post(world)
    world.step(ClaimGranted(request_id="pay"))
    return world, caller


@drives("claimed-elsewhere")
def drive_claimed_elsewhere():
    world = make_node(services=1)
    caller = post(world)
    world.step(ClaimHeld(request_id="pay", outcome=None))
    return world, caller


@behave.then("every kind of the error table has a row below")
def check_rows(context):
    listed = {
        row["kind"]
        for scenario in context.feature.scenarios
        for table in getattr(scenario, "examples", ())
        for row in table.table
    }
    kinds = {kind.value for kind in ERROR_KINDS}
    assert listed == kinds == set(ROUTES), listed ^ kinds
    assert set(ERROR_TABLE) == set(ERROR_KINDS)


@behave.when("a request is driven into {kind}")
def drive(context, kind):
    context.world, result = ROUTES[kind]()
    context.world.run(SECONDS)
    context.caller = None if isinstance(result, dict) else result
    context.answer = result
    if context.caller is not None:
        answer = context.world.answer_of(context.caller)
        context.answer = {
            "outcome": answer.outcome,
            "status": answer.status,
            "rows": list(answer.rows),
            "error": {
                "kind": answer.error.kind,
                "message": answer.error.message,
                "ran": answer.error.ran,
            },
        }


@behave.then("its one answer is {kind}, as the error table says")
def check_kind(context, kind):
    entry = next(
        entry for item, entry in ERROR_TABLE.items() if item.value == kind
    )
    answer = context.answer
    assert answer["error"] == {
        "kind": kind,
        "message": entry.message,
        "ran": entry.ran,
    }, answer
    assert answer["outcome"] == entry.outcome
    assert answer["status"] == entry.status
    assert answer["rows"] == []


@behave.then("no leg of it has run if its answer says so")
def check_not_run(context):
    if context.answer["error"]["ran"] != ExecutionStatus.NO:
        return
    ran = {
        leg.attempt
        for server in context.world.servers.values()
        for leg in server.runs
        if leg.query != "other"
    }
    assert not ran
    if context.caller is None:
        assert not context.world.legs
