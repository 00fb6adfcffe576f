"""Steps about the transports."""

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

AMPLE_S = 60
NOW_S = 100.0


def find_free_address():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_reply(attempt):
    return encode_json(
        LegReply(attempt=attempt, snapshot=1, start=0, end=2**32)
    )


def make_refusal(attempt):
    return encode_json(
        LegRefusal(attempt=attempt, reason=RefusalReason.OVERLOADED)
    )


def make_command(context, attempt, timeout_s=AMPLE_S, expires_at=None):
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
    command = make_command(context, attempt, **options)
    call_in_reactor(context.link.send_leg, command)


def build_backend_link(context, address):
    context.address = address
    context.wall_time = NOW_S
    context.log = EventLog()
    context.link = HttpBackendLink(
        reactor=reactor,
        report=context.log.report,
        wall_clock=lambda: context.wall_time,
    )
    context.add_cleanup(lambda: call_in_reactor(context.link.stop))


@behave.given("a backend link to a scripted server with a share of {limit:d}")
def link_backend(context, limit):
    context.server = ScriptedServer()
    context.add_cleanup(context.server.close)
    build_backend_link(context, context.server.address)
    set_share(context, limit)


@behave.given("a backend link to a port where nobody listens")
def link_nowhere(context):
    build_backend_link(context, find_free_address())
    set_share(context, 1)


@behave.when("the share is set to {limit:d}")
def set_share(context, limit, warm=0):
    command = SetConnectionShare(
        server="s", address=context.address, limit=limit, warm=warm
    )
    call_in_reactor(context.link.set_share, command)
    check_in_force(context, limit)


@behave.when("the share is set to {limit:d} while legs run")
def set_share_in_use(context, limit):
    command = SetConnectionShare(
        server="s", address=context.address, limit=limit
    )
    call_in_reactor(context.link.set_share, command)


@behave.then("the share of {limit:d} is reported as in force")
def check_in_force(context, limit):
    assert context.log.wait() == ConnectionShareApplied(
        server="s", limit=limit
    )


@behave.when("the share is set to {limit:d} with {warm:d} warm")
def set_warm_share(context, limit, warm):
    set_share(context, limit, warm)


@behave.when('leg "{attempt}" is sent')
def send_only(context, attempt):
    send(context, attempt)


@behave.when('leg "{attempt}" is sent with a timeout of {timeout_s:g} s')
def send_with_timeout(context, attempt, timeout_s):
    send(context, attempt, timeout_s=timeout_s)


@behave.when(
    'leg "{attempt}" is sent with a timeout of {timeout_s:g} s and taken by '
    "the server"
)
def send_with_timeout_taken(context, attempt, timeout_s):
    send(context, attempt, timeout_s=timeout_s)
    context.taken = context.server.take()


@behave.when('leg "{attempt}", which expires at {expires_at:g}, is sent')
def send_expiring(context, attempt, expires_at):
    send(context, attempt, expires_at=expires_at)


@behave.when("the wall clock of the link comes to {wall_time:g}")
def set_wall_time(context, wall_time):
    context.wall_time = wall_time


@behave.when('leg "{attempt}" is sent and taken by the server')
def send_taken(context, attempt):
    send(context, attempt)
    context.taken = context.server.take()


@behave.when('leg "{attempt}" is answered late')
def answer_late(context, attempt):
    context.taken.send(build_response(200, make_reply(attempt)))


@behave.when(
    'leg "{attempt}" is sent and answered with status {status:d} and {body}'
)
def send_answered(context, attempt, status, body):
    bodies = {
        "a reply": make_reply(attempt),
        "a refusal": make_refusal(attempt),
        "nonsense": b'{"attempt": 3',
    }
    send(context, attempt)
    context.server.take().send(build_response(status, bodies[body]))


@behave.when('leg "{attempt}" is sent and its answer is cut short')
def send_cut_short(context, attempt):
    send(context, attempt)
    taken = context.server.take()
    # What is cut off is only white space, so that the JSON is still whole.
    padded = make_reply(attempt) + b"     "
    taken.send(build_response(200, padded)[:-5])
    taken.close()


@behave.when('leg "{attempt}" is sent and its connection is closed unanswered')
def send_closed(context, attempt):
    send(context, attempt)
    context.server.take().close()


@behave.when('leg "{attempt}" is cancelled')
def cancel(context, attempt):
    command = CancelLeg(server="s", address=context.address, attempt=attempt)
    call_in_reactor(context.link.cancel_leg, command)


@behave.when('legs "{attempts}" are sent and answered one by one')
def send_many(context, attempts):
    context.seen = []
    for attempt in attempts.split():
        send(context, attempt)
    for attempt in attempts.split():
        taken = context.server.take()
        context.seen.append(json.loads(taken.body)["attempt"])
        taken.send(build_response(200, make_reply(attempt)))
        assert isinstance(context.log.wait(), LegReplied)


@behave.then('the server saw legs "{attempts}" on 1 connection')
def check_order(context, attempts):
    assert context.server.most_open == 1, context.server.most_open
    assert context.seen == attempts.split(), context.seen


@behave.then("the server saw no more than {limit:d} connections")
def check_most_open(context, limit):
    assert context.server.most_open <= limit, context.server.most_open
    assert len(set(context.seen)) == len(context.seen), context.seen


@behave.then("the link comes to hold {count:d} connections")
def check_connections(context, count):
    deadline = time.monotonic() + AMPLE_S
    while time.monotonic() < deadline:
        found = call_in_reactor(context.link.count_connections, "s")
        if found == count:
            return
        time.sleep(0.01)
    raise AssertionError(found)


@behave.then('the server is asked to cancel leg "{attempt}"')
def check_cancel(context, attempt):
    received = context.server.take()
    assert received.path == "/v1/cancel"
    assert received.body == encode_json({"attempt": attempt})
    received.send(build_response(200, b"{}"))


@behave.then('leg "{attempt}" is reported as replied')
def check_replied(context, attempt):
    event = context.log.wait()
    assert isinstance(event, LegReplied), event
    assert event.attempt == event.reply.attempt == attempt, event


@behave.then('leg "{attempt}" is reported as refused')
def check_refused(context, attempt):
    event = context.log.wait()
    assert isinstance(event, LegRefused), event
    assert event.attempt == attempt, event


@behave.then('leg "{attempt}" is reported as failed though perhaps run')
def check_perhaps_run(context, attempt):
    check_failed(context, attempt, sent=True, expired=False)


@behave.then('leg "{attempt}" is reported as failed and not run')
def check_not_run(context, attempt):
    check_failed(context, attempt, sent=False, expired=False)


@behave.then('leg "{attempt}" is reported as expired and not run')
def check_expired(context, attempt):
    check_failed(context, attempt, sent=False, expired=True)


def check_failed(context, attempt, *, sent, expired):
    event = context.log.wait()
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
def poll(context, body):
    command = PollServer(server="s", address=context.address)
    call_in_reactor(context.link.poll_server, command)
    report = encode_json(ServerReport(server="s", leaving=True))
    data = report if body == "a report" else b"nonsense"
    context.server.take().send(build_response(200, data))


@behave.then("the poll reports that the server is leaving")
def check_poll(context):
    assert context.log.wait().report.leaving


@behave.then("the poll reports nothing")
def check_no_poll(context):
    assert context.log.wait().report is None


def build_store_link(context, address):
    context.log = EventLog()
    context.store = HttpStoreLink(
        reactor=reactor,
        url=f"http://{address}",
        timeout_s=AMPLE_S,
        report=context.log.report,
    )


def write_key(context):
    command = WriteKey(
        correlation_id="t", key="a/b", value=b"new", expected_version=1
    )
    call_in_reactor(context.store.write_key, command)


@behave.given("a store link to a scripted server")
def link_store(context):
    context.server = ScriptedServer()
    context.add_cleanup(context.server.close)
    build_store_link(context, context.server.address)
    context.add_cleanup(lambda: call_in_reactor(context.store.stop))


def answer_store(context, status):
    body = b'{"key": "a/b", "value": "old", "version": 7}'
    received = context.server.take()
    assert received.path == "/v1/keys/a/b", received.path
    received.send(build_response(status, body))


@behave.when("a key is read and answered with status {status:d}")
def read_answered(context, status):
    command = ReadKey(correlation_id="t", key="a/b")
    call_in_reactor(context.store.read_key, command)
    answer_store(context, status)


@behave.when("a key is written and answered with status {status:d}")
def write_answered(context, status):
    write_key(context)
    answer_store(context, status)


@behave.when("a key is written and its answer is lost")
def write_lost(context):
    write_key(context)
    context.server.take().close()


@behave.when("a key is written where nobody listens")
def write_nowhere(context):
    build_store_link(context, find_free_address())
    write_key(context)


@behave.then("the store link reports event {kind}")
def check_store(context, kind):
    event = context.log.wait()
    assert type(event).__name__ == kind, event
    assert (event.correlation_id, event.key, event.version) == ("t", "a/b", 7)
    if kind != "KeyWritten":
        assert event.value == b"old"


@behave.then("the store link reports a failure without effect")
def check_no_effect(context):
    assert context.log.wait() == StoreCallFailed(
        correlation_id="t", key="a/b", sent=False
    )


@behave.then("the store link reports a failure that may have had effect")
def check_effect(context):
    assert context.log.wait() == StoreCallFailed(
        correlation_id="t", key="a/b", sent=True
    )


def make_digest(sender, incarnation=5, sequence=1):
    return PeerEnvelope(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        message=ConfigurationDigest(revision=3),
    )


@behave.given('a peer link of node "{name}" without sockets')
def make_peer_link(context, name):
    context.log = EventLog()
    context.peer_link = NngPeerLink(
        reactor=reactor,
        name=name,
        listen="127.0.0.1:0",
        report=context.log.report,
        wall_clock=lambda: NOW_S,
    )


@behave.then(
    'a digest from "{sender}" of incarnation {incarnation:d} and sequence '
    "{sequence:d} is received"
)
def check_received(context, sender, incarnation, sequence):
    envelope = make_digest(sender, incarnation, sequence)
    context.peer_link.receive(encode_peer(envelope))
    assert context.log.wait() == PeerMessageReceived(envelope=envelope)


@behave.then(
    'a digest from "{sender}" of incarnation {incarnation:d} and sequence '
    '{sequence:d} is dropped as "{reason}"'
)
def check_dropped(context, sender, incarnation, sequence, reason):
    envelope = make_digest(sender, incarnation, sequence)
    context.peer_link.receive(encode_peer(envelope))
    assert context.log.wait() == PeerMessageDropped(reason=reason)


def drop(context, data):
    context.peer_link.receive(data)
    event = context.log.wait()
    assert isinstance(event, PeerMessageDropped), event
    return event


@behave.then('every truncation of a digest from "{sender}" is dropped')
def check_truncations(context, sender):
    data = encode_peer(make_digest(sender))
    for size in range(len(data)):
        drop(context, data[:size])


@behave.then("a peer message of the wrong version is dropped")
def check_version(context):
    data = encode_peer(make_digest("vm-3"))
    changed = data.replace(b"version\x01", b"version\x02")
    assert changed != data
    assert drop(context, changed).reason == "wrong version"


@behave.then("an oversized peer message is dropped")
def check_oversized(context):
    assert drop(context, bytes(MAX_PEER_MESSAGE_BYTES + 1)).reason == (
        "oversized"
    )


@behave.given("two peer links with sockets")
def make_peer_links(context):
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
    "each sends the other {count:d} digests and one to a peer that is dead"
)
def exchange(context, count):
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
def check_exchange(context, count):
    for _, _, log in context.peers.values():
        found = [log.wait().envelope.sequence for _ in range(count)]
        assert found == sorted(set(found)), found
