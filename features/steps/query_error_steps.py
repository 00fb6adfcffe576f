"""Steps that bring about each error kind with a request."""

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

DRIVERS = {}
BODY_LIMIT_BYTES = 256
SETTLE_S = 90.0


def register_driver(kind):
    def decorate(function):
        DRIVERS[kind] = function
        return function

    return decorate


def make_node(services=2, **fields):
    world = QueryWorld(
        indexes=[{"name": "ink", "services": services}], **fields
    )
    world.add_services(count=services)
    return world


def post(world, **fields):
    fields = {"request_id": "pay", "expires_at": world.now + 60, **fields}
    return world.send_request(repeatable=False, **fields)


def set_all_modes(world, mode):
    for server in world.servers.values():
        server.mode = mode


def post_over_http(world, body):
    """Post a body to the real HTTP resource and return the parsed answer."""
    reactor = MemoryReactorClock()
    link = HttpCallerLink(
        reactor=reactor,
        listen="127.0.0.1:80",
        body_limit_bytes=BODY_LIMIT_BYTES,
        head_s=10.0,
        report=world.step,
        record_answer=lambda answer, seconds: None,
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


@register_driver("malformed")
def drive_malformed():
    world = make_node()
    return world, post_over_http(world, b"{")


@register_driver("body-too-large")
def drive_body_too_large():
    world = make_node()
    return world, post_over_http(world, b" " * (BODY_LIMIT_BYTES + 1))


@register_driver("unknown-index")
def drive_unknown_index():
    world = make_node()
    return world, world.send_request(index="paper")


@register_driver("unknown-profile")
def drive_unknown_profile():
    world = make_node()
    return world, world.send_request(profile="none")


@register_driver("missing-request-id")
def drive_missing_request_id():
    world = make_node()
    return world, post(world, request_id="", key=1)


@register_driver("missing-expiry")
def drive_missing_expiry():
    world = make_node()
    return world, post(world, expires_at=None, key=1)


@register_driver("expired")
def drive_expired():
    # The claim is granted only after the request has expired.
    profile = Profile(name="desk", delay_ms=60_000)
    world = make_node(services=1, profiles=(profile,))
    caller = post(world, expires_at=world.now + 1)
    world.advance(2.0)
    world.step(ClaimGranted(request_id="pay"))
    return world, caller


@register_driver("expiry-too-far")
def drive_expiry_too_far():
    world = make_node()
    return world, post(world, expires_at=world.now + 3601, key=1)


@register_driver("request-id-in-use")
def drive_request_id_in_use():
    world = make_node()
    world.send_request(request_id="same", query="other")
    return world, world.send_request(request_id="same")


@register_driver("ambiguous-target")
def drive_ambiguous_target():
    world = make_node()
    return world, post(world)


@register_driver("overloaded")
def drive_overloaded():
    profiles = (Profile(name="desk"), Profile(name="later", rank=1))
    world = make_node(profiles=profiles)
    set_all_modes(world, "unresponsive")
    for _ in range(4):
        world.send_request(query="other")
    return world, world.send_request(profile="later")


@register_driver("shutting-down")
def drive_shutting_down():
    world = make_node()
    world.step(AdmissionClosed())
    return world, world.send_request()


@register_driver("no-configuration")
def drive_no_configuration():
    world = make_node()
    world.state.configuration.document = None
    return world, world.send_request()


@register_driver("no-server")
def drive_no_server():
    world = make_node()
    for record in world.state.servers.servers.values():
        record.leaving = True
    return world, world.send_request()


@register_driver("refused-by-servers")
def drive_refused_by_servers():
    world = make_node()
    set_all_modes(world, "overloaded")
    return world, world.send_request()


@register_driver("store-unavailable")
def drive_store_unavailable():
    world = make_node(services=1)
    caller = post(world)
    world.step(ClaimRefused(request_id="pay"))
    return world, caller


@register_driver("delay-passed-unsent")
def drive_delay_passed_unsent():
    # The deadline is shorter than the latency of every server.
    world = make_node()
    for _ in range(20):
        world.send_request(query="other")
        world.advance(1.0)
    return world, world.send_request(deadline_ms=2)


@register_driver("below-floor")
def drive_below_floor():
    world = make_node()
    world.servers["ink-0-0"].mode = "unresponsive"
    world.servers["ink-0-1"].mode = "unresponsive"
    return world, world.send_request()


@register_driver("snapshot-lost")
def drive_snapshot_lost():
    # Service 0 reports both snapshots but no longer holds them: the query
    # has to abandon snapshot 2, restarts on 1 and cannot read that either.
    world = make_node()
    for name, server in world.servers.items():
        former = server.held[0]
        newer = Holding(snapshot=2, start=former.start, end=former.end)
        server.held = [former, newer]
        world.report(name)
        if server.service == "ink-0":
            server.held = []
    return world, world.send_request()


@register_driver("outcome-lost")
def drive_outcome_lost():
    world = make_node(services=1)
    set_all_modes(world, "resetting connections")
    caller = post(world)
    world.step(ClaimGranted(request_id="pay"))
    return world, caller


@register_driver("claimed-elsewhere")
def drive_claimed_elsewhere():
    world = make_node(services=1)
    caller = post(world)
    world.step(ClaimHeld(request_id="pay", outcome=None))
    return world, caller


@behave.then("every kind of the error table has an example in this feature")
def check_examples(context):
    listed = {
        row["kind"]
        for scenario in context.feature.scenarios
        for table in getattr(scenario, "examples", ())
        for row in table.table
    }
    kinds = {kind.value for kind in ERROR_KINDS}
    assert listed == kinds == set(DRIVERS), listed ^ kinds
    assert set(ERROR_TABLE) == set(ERROR_KINDS)


@behave.when("a request is sent that has to end as {kind}")
def drive(context, kind):
    context.world, result = DRIVERS[kind]()
    context.world.advance(SETTLE_S)
    context.caller = None if isinstance(result, dict) else result
    context.answer = result
    if context.caller is not None:
        answer = context.world.get_answer(context.caller)
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


@behave.then("its only answer is {kind}, with the values of the error table")
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


@behave.then("no leg of it has run if the answer says that nothing ran")
def check_not_run(context):
    if context.answer["error"]["ran"] != ExecutionStatus.NO:
        return
    ran = {
        leg.attempt
        for server in context.world.servers.values()
        for leg in server.executed_legs
        if leg.query != "other"
    }
    assert not ran
    if context.caller is None:
        assert not context.world.legs
