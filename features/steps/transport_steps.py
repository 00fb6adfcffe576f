"""Steps for the transports of legs, store calls and peer messages."""

import json
import socket
import time

from _reactor_thread import call_in_reactor
from _reactor_thread import EventLog
from _scripted_server import build_response
from _scripted_server import ScriptedServer
import behave
from twisted.internet import reactor

from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.codec import encode_peer
from bluebellbay.protocol.command import CancelLeg
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import ConnectionShareApplied
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import PeerMessageDropped
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.protocol.peer import ConfigurationDigest
from bluebellbay.protocol.peer import MAX_PEER_MESSAGE_BYTES
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.transport.backend import HttpBackendLink
from bluebellbay.transport.peer import NngPeerLink
from bluebellbay.transport.platform import HttpStoreLink

TEST_TIMEOUT_S = 60
WALL_CLOCK_S = 100.0


def find_free_address():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


def encode_reply(attempt):
    return encode_json(
        LegReply(attempt=attempt, snapshot=1, start=0, end=2**32)
    )


def encode_refusal(attempt):
    return encode_json(
        LegRefusal(attempt=attempt, reason=RefusalReason.OVERLOADED)
    )


def build_send_leg(
    context, attempt, timeout_s=TEST_TIMEOUT_S, expires_at=None
):
    leg = LegRequest(
        attempt=attempt,
        request_id="r",
        index="press-desk",
        service="press-desk-01",
        snapshot=1,
        start=0,
        end=2**32,
        deadline_ms=1000,
        expires_at=expires_at,
    )
    return SendLeg(
        server="s", address=context.address, leg=leg, timeout_s=timeout_s
    )


def send(context, attempt, **options):
    command = build_send_leg(context, attempt, **options)
    call_in_reactor(context.link.send_leg, command)


def build_backend_link(context, address):
    context.address = address
    context.wall_time = WALL_CLOCK_S
    context.log = EventLog()
    context.link = HttpBackendLink(
        reactor=reactor,
        report=context.log.report,
        wall_clock=lambda: context.wall_time,
    )
    context.add_cleanup(lambda: call_in_reactor(context.link.stop))


@behave.given("a backend link to a scripted server with a share of {limit:d}")
def start_backend_link(context, limit):
    context.server = ScriptedServer()
    context.add_cleanup(context.server.close)
    build_backend_link(context, context.server.address)
    set_share(context, limit)


@behave.given("a backend link to a port without a listener")
def start_backend_link_without_server(context):
    build_backend_link(context, find_free_address())
    set_share(context, 1)


@behave.when("the share is set to {limit:d}")
def set_share(context, limit, warm=0):
    command = SetConnectionShare(
        server="s", address=context.address, limit=limit, warm=warm
    )
    call_in_reactor(context.link.set_share, command)
    check_in_force(context, limit)


@behave.when("the share is set to {limit:d} without waiting for running legs")
def set_share_without_waiting(context, limit):
    command = SetConnectionShare(
        server="s", address=context.address, limit=limit
    )
    call_in_reactor(context.link.set_share, command)


@behave.then("the share of {limit:d} is reported as in force")
def check_in_force(context, limit):
    assert context.log.wait_for_event() == ConnectionShareApplied(
        server="s", limit=limit
    )


@behave.when("the share is set to {limit:d} with {warm:d} opened in advance")
def set_warm_share(context, limit, warm):
    set_share(context, limit, warm)


@behave.when('leg "{attempt}" is sent')
def submit_leg(context, attempt):
    send(context, attempt)


@behave.when('leg "{attempt}" is sent with a timeout of {timeout_s:g} s')
def submit_leg_with_timeout(context, attempt, timeout_s):
    send(context, attempt, timeout_s=timeout_s)


@behave.when(
    'leg "{attempt}" is sent with a timeout of {timeout_s:g} s and received '
    "by the server"
)
def submit_leg_with_timeout_and_receive(context, attempt, timeout_s):
    send(context, attempt, timeout_s=timeout_s)
    context.received_request = context.server.receive_request()


@behave.when('leg "{attempt}", which expires at {expires_at:g}, is sent')
def submit_expiring_leg(context, attempt, expires_at):
    send(context, attempt, expires_at=expires_at)


@behave.when("the wall clock of the link is set to {wall_time:g}")
def set_wall_time(context, wall_time):
    context.wall_time = wall_time


@behave.when('leg "{attempt}" is sent and received by the server')
def submit_leg_and_receive(context, attempt):
    send(context, attempt)
    context.received_request = context.server.receive_request()


@behave.when('leg "{attempt}" is answered by the server')
def answer_received_leg(context, attempt):
    context.received_request.send(build_response(200, encode_reply(attempt)))


@behave.when(
    'leg "{attempt}" is sent and answered with status {status:d} and {body}'
)
def submit_leg_and_answer(context, attempt, status, body):
    bodies = {
        "a reply": encode_reply(attempt),
        "a refusal": encode_refusal(attempt),
        "an undecodable body": b'{"attempt": 3',
    }
    send(context, attempt)
    context.server.receive_request().send(build_response(status, bodies[body]))


@behave.when('leg "{attempt}" is sent and its response is truncated')
def submit_leg_and_truncate_answer(context, attempt):
    send(context, attempt)
    received_request = context.server.receive_request()
    # Only white space is cut off, so that the JSON received is complete.
    padded = encode_reply(attempt) + b"     "
    received_request.send(build_response(200, padded)[:-5])
    received_request.close()


@behave.when(
    'leg "{attempt}" is sent and its connection is closed without a response'
)
def submit_leg_and_close(context, attempt):
    send(context, attempt)
    context.server.receive_request().close()


@behave.when('leg "{attempt}" is cancelled')
def request_leg_cancellation(context, attempt):
    command = CancelLeg(server="s", address=context.address, attempt=attempt)
    call_in_reactor(context.link.cancel_leg, command)


@behave.when('legs "{attempts}" are sent and answered one by one')
def submit_legs_and_answer(context, attempts):
    context.legs_received = []
    for attempt in attempts.split():
        send(context, attempt)
    for attempt in attempts.split():
        received_request = context.server.receive_request()
        context.legs_received.append(
            json.loads(received_request.body)["attempt"]
        )
        received_request.send(build_response(200, encode_reply(attempt)))
        assert isinstance(context.log.wait_for_event(), LegReplied)


@behave.then('the server saw legs "{attempts}" on 1 connection')
def check_legs_on_one_connection(context, attempts):
    assert context.server.max_open_count == 1, context.server.max_open_count
    assert context.legs_received == attempts.split(), context.legs_received


@behave.then("the server saw no more than {limit:d} connections")
def check_max_open(context, limit):
    assert context.server.max_open_count <= limit, (
        context.server.max_open_count
    )
    assert len(set(context.legs_received)) == len(context.legs_received), (
        context.legs_received
    )


@behave.then("the link eventually has {count:d} connections")
def check_connections(context, count):
    deadline = time.monotonic() + TEST_TIMEOUT_S
    while time.monotonic() < deadline:
        found = call_in_reactor(context.link.count_connections, "s")
        if found == count:
            return
        time.sleep(0.01)
    raise AssertionError(found)


@behave.then('the server is asked to cancel leg "{attempt}"')
def check_cancel(context, attempt):
    received = context.server.receive_request()
    assert received.path == "/v1/cancel"
    assert received.body == encode_json({"attempt": attempt})
    received.send(build_response(200, b"{}"))


@behave.then('leg "{attempt}" is reported as replied')
def check_replied(context, attempt):
    event = context.log.wait_for_event()
    assert isinstance(event, LegReplied), event
    assert event.attempt == event.reply.attempt == attempt, event


@behave.then('leg "{attempt}" is reported as refused')
def check_refused(context, attempt):
    event = context.log.wait_for_event()
    assert isinstance(event, LegRefused), event
    assert event.attempt == attempt, event


@behave.then('leg "{attempt}" is reported as failed but possibly run')
def check_may_have_run(context, attempt):
    check_failed(context, attempt, sent=True, expired=False)


@behave.then('leg "{attempt}" is reported as failed and not run')
def check_not_run(context, attempt):
    check_failed(context, attempt, sent=False, expired=False)


@behave.then('leg "{attempt}" is reported as expired and not run')
def check_expired(context, attempt):
    check_failed(context, attempt, sent=False, expired=True)


def check_failed(context, attempt, *, sent, expired):
    event = context.log.wait_for_event()
    assert isinstance(event, LegFailed), event
    found = (event.attempt, event.sent, event.expired)
    assert found == (attempt, sent, expired), event


@behave.then("no other event was reported by the link")
def check_no_event(context):
    call_in_reactor(context.link.stop)
    assert context.log.is_empty()


@behave.then("the server has seen no further request")
def check_no_request(context):
    call_in_reactor(context.link.stop)
    assert context.server.requests.empty()


@behave.when("the server is polled and answers with {body}")
def poll_server_and_answer(context, body):
    command = PollServer(server="s", address=context.address)
    call_in_reactor(context.link.poll_server, command)
    report = encode_json(ServerReport(server="s", leaving=True))
    data = report if body == "a report" else b"nonsense"
    context.server.receive_request().send(build_response(200, data))


@behave.then("the poll reports that the server is leaving")
def check_poll_leaving(context):
    assert context.log.wait_for_event().report.leaving


@behave.then("the poll reports nothing")
def check_poll_without_report(context):
    assert context.log.wait_for_event().report is None


def build_store_link(context, address):
    context.log = EventLog()
    context.store = HttpStoreLink(
        reactor=reactor,
        url=f"http://{address}",
        timeout_s=TEST_TIMEOUT_S,
        report=context.log.report,
    )


def write_key(context):
    command = WriteKey(
        correlation_id="t", key="a/b", value=b"new", expected_version=1
    )
    call_in_reactor(context.store.write_key, command)


@behave.given("a store link to a scripted server")
def start_store_link(context):
    context.server = ScriptedServer()
    context.add_cleanup(context.server.close)
    build_store_link(context, context.server.address)
    context.add_cleanup(lambda: call_in_reactor(context.store.stop))


def answer_store(context, status):
    body = b'{"key": "a/b", "value": "old", "version": 7}'
    received = context.server.receive_request()
    assert received.path == "/v1/keys/a/b", received.path
    received.send(build_response(status, body))


@behave.when("a key is read and answered with status {status:d}")
def read_key_and_answer(context, status):
    command = ReadKey(correlation_id="t", key="a/b")
    call_in_reactor(context.store.read_key, command)
    answer_store(context, status)


@behave.when("a key is written and answered with status {status:d}")
def write_key_and_answer(context, status):
    write_key(context)
    answer_store(context, status)


@behave.when(
    "a key is written and its connection is closed without a response"
)
def write_key_and_close(context):
    write_key(context)
    context.server.receive_request().close()


@behave.when("a key is written to a port without a listener")
def write_key_without_server(context):
    build_store_link(context, find_free_address())
    write_key(context)


@behave.then("the store link reports event {kind}")
def check_store_event(context, kind):
    event = context.log.wait_for_event()
    assert type(event).__name__ == kind, event
    assert (event.correlation_id, event.key, event.version) == ("t", "a/b", 7)
    if kind != "KeyWritten":
        assert event.value == b"old"


@behave.then("the store link reports a failure without effect")
def check_failed_unsent(context):
    assert context.log.wait_for_event() == StoreCallFailed(
        correlation_id="t", key="a/b", sent=False
    )


@behave.then("the store link reports a failure that may have taken effect")
def check_failed_sent(context):
    assert context.log.wait_for_event() == StoreCallFailed(
        correlation_id="t", key="a/b", sent=True
    )


def build_digest_envelope(sender, incarnation=5, sequence=1):
    return PeerEnvelope(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        message=ConfigurationDigest(revision=3),
    )


@behave.given('a peer link of node "{name}" without sockets')
def build_peer_link(context, name):
    context.log = EventLog()
    context.peer_link = NngPeerLink(
        reactor=reactor,
        name=name,
        listen="127.0.0.1:0",
        report=context.log.report,
        wall_clock=lambda: WALL_CLOCK_S,
    )


@behave.then(
    'a digest from "{sender}" of incarnation {incarnation:d} and sequence '
    "{sequence:d} is received"
)
def check_received(context, sender, incarnation, sequence):
    envelope = build_digest_envelope(sender, incarnation, sequence)
    context.peer_link.receive(encode_peer(envelope))
    assert context.log.wait_for_event() == PeerMessageReceived(
        envelope=envelope
    )


@behave.then(
    'a digest from "{sender}" of incarnation {incarnation:d} and sequence '
    '{sequence:d} is dropped as "{reason}"'
)
def check_dropped(context, sender, incarnation, sequence, reason):
    envelope = build_digest_envelope(sender, incarnation, sequence)
    context.peer_link.receive(encode_peer(envelope))
    assert context.log.wait_for_event() == PeerMessageDropped(reason=reason)


def drop(context, data):
    context.peer_link.receive(data)
    event = context.log.wait_for_event()
    assert isinstance(event, PeerMessageDropped), event
    return event


@behave.then('every truncation of a digest from "{sender}" is dropped')
def check_truncations(context, sender):
    data = encode_peer(build_digest_envelope(sender))
    for size in range(len(data)):
        drop(context, data[:size])


@behave.then("a peer message of the wrong version is dropped")
def check_wrong_version(context):
    data = encode_peer(build_digest_envelope("vm-3"))
    changed = data.replace(b"version\x01", b"version\x02")
    assert changed != data
    assert drop(context, changed).reason == "wrong version"


@behave.then("an oversized peer message is dropped")
def check_oversized(context):
    assert drop(context, bytes(MAX_PEER_MESSAGE_BYTES + 1)).reason == (
        "oversized"
    )


@behave.given("two peer links with sockets")
def start_peer_links(context):
    context.peers = {}
    for name in ("vm-1", "vm-2"):
        log = EventLog()
        address = find_free_address()
        link = NngPeerLink(
            reactor=reactor, name=name, listen=address, report=log.report
        )
        context.peers[name] = (link, address, log)
        call_in_reactor(link.start)
        context.add_cleanup(lambda link=link: call_in_reactor(link.stop))


@behave.when(
    "each sends the other {count:d} digests and one to a peer that does not "
    "listen"
)
def send_digests(context, count):
    context.dead_address = find_free_address()
    for name, (link, _, _) in context.peers.items():
        (other,) = set(context.peers) - {name}
        targets = [(other, context.peers[other][1])] * count
        for peer, address in [("dead", context.dead_address), *targets]:
            command = SendPeerMessage(
                peer=peer,
                address=address,
                message=ConfigurationDigest(revision=1),
            )
            call_in_reactor(link.send_peer, command)


@behave.then("each receives {count:d} digests in order")
def check_digests_in_order(context, count):
    for _, _, log in context.peers.values():
        found = [log.wait_for_event().envelope.sequence for _ in range(count)]
        assert found == sorted(set(found)), found
