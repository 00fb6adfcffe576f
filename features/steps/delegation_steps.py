"""Steps about the protocol between nodes."""

import dataclasses
import socket
import time

from _reactor_thread import call_in_reactor
from _reactor_thread import EventLog
from _scripted_server import build_response
from _scripted_server import ScriptedServer
import behave
import msgspec
from routing_harness import build_request
from twisted.internet import reactor

from bluebellbay.protocol.delegation import CheckDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.delegation import DelegationUnacknowledged
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.delegation import DelegationLink
from bluebellbay.transport.delegation import MAX_CONNECTIONS
from bluebellbay.transport.peer_wire import build_attempt_event
from bluebellbay.transport.peer_wire import DelegationWire
from bluebellbay.transport.wire import MalformedRequest
from bluebellbay.transport.wire import RequestHead

ATTEMPT = 7
CHECKED_AFTER_S = 0.1
ANSWER = MergedAnswer(
    exchange=0, records=b"0123456789abcdef", digests=("a", "b"), missing=1
)


@behave.when("a peer's answer for 2 shards is encoded and decoded")
def step_round_trip(context):
    written = DelegationWire().encode_answer(ANSWER, close=False)
    body = written.split(b"\r\n\r\n", 1)[1]
    context.event = build_attempt_event(
        ATTEMPT, CallAnswered(status=200, body=body)
    )


@behave.then("the decoded answer equals the original")
def step_round_trip_equal(context):
    expected = DelegationAnswered(attempt=ATTEMPT, answer=ANSWER)
    assert context.event == expected, context.event


@behave.when("a peer answers a query with status {status:d}")
def step_status(context, status):
    end = CallAnswered(status=status, body=b"garbage")
    context.event = build_attempt_event(ATTEMPT, end)


@behave.then("the query was refused and has not run")
def step_refused(context):
    answer = context.event.answer
    assert isinstance(answer, ErrorAnswer)
    assert answer.kind is RoutingErrorKind.REFUSED
    assert not answer.ran


@behave.then("the query has failed and may have run")
def step_failed(context):
    assert isinstance(context.event, AttemptFailed)
    assert context.event.sent


@behave.when("a node gets a query of an older protocol version")
def step_older_version(context):
    head = RequestHead(
        method=b"POST", target=b"/v1/delegated-query", headers=()
    )
    try:
        DelegationWire().decode_request(head, b"")
    except MalformedRequest as error:
        context.error = error


@behave.then("it rejects the query as malformed")
def step_malformed(context):
    assert context.error is not None


def send_query(context, number, left_s, body=b""):
    request = build_request("route", number=number)
    command = DelegateQuery(
        attempt=number,
        request=dataclasses.replace(request, body=body),
        peer=NodeEntry(
            name="peer", failure_domain="a", address=context.address
        ),
        terms=DelegationTerms(
            shards=("s",), objective_s=left_s, most_records=1, most_attempts=1
        ),
        deadline_s=left_s,
    )
    call_in_reactor(context.link.send, command)


@behave.given("a scripted peer")
def start_scripted_peer(context):
    context.server = ScriptedServer()
    context.add_cleanup(context.server.close)
    start_link(context, context.server.address)


@behave.given("a peer that accepts connections and reads nothing")
def start_deaf_peer(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    start_link(context, f"127.0.0.1:{listener.getsockname()[1]}")


def start_link(context, address):
    context.address = address
    context.events = EventLog()
    context.link = DelegationLink(
        reactor=reactor, report=context.events.report
    )


@behave.when("a query of {size:d} MiB is sent to it and checked")
def step_send_unread(context, size):
    send_query(context, ATTEMPT, 60.0, body=bytes(size * 2**20))
    time.sleep(CHECKED_AFTER_S)
    check_query(context)


@behave.when("a query is sent to it, received and checked")
def step_send_read(context):
    send_query(context, ATTEMPT, 60.0)
    context.server.receive_request()
    time.sleep(CHECKED_AFTER_S)
    check_query(context)


def check_query(context):
    command = CheckDelegation(attempt=ATTEMPT, after_s=CHECKED_AFTER_S)
    call_in_reactor(context.link.check, command)


@behave.then("the query is reported as not acknowledged")
def step_unacknowledged(context):
    event = context.events.wait_for_event()
    assert event == DelegationUnacknowledged(attempt=ATTEMPT), event


@behave.then("nothing is reported")
def step_nothing_reported(context):
    assert context.events.is_empty()


@behave.given("all connections to a scripted peer are in use")
def step_use_connections(context):
    start_scripted_peer(context)
    for number in range(MAX_CONNECTIONS):
        send_query(context, number, 60.0)
    context.received = [
        context.server.receive_request() for _ in range(MAX_CONNECTIONS)
    ]


@behave.when(
    "a query with {left_s:g} s left waits {wait_s:g} s for a connection"
)
def step_wait(context, left_s, wait_s):
    send_query(context, MAX_CONNECTIONS, left_s)
    time.sleep(wait_s)
    context.received[0].send(build_response(200, b""))
    context.query = msgspec.msgpack.decode(
        context.server.receive_request().body
    )


@behave.then(
    "the peer is told that at most {left_s:g} s are left, "
    "also to the objective"
)
def step_check_left(context, left_s):
    _, terms, deadline_s = context.query
    assert deadline_s <= left_s, context.query
    assert terms["objective_s"] <= left_s, context.query
