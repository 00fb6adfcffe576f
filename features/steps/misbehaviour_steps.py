"""Steps for replicas, stores and entry VMs that misbehave on the wire."""

import contextlib
import dataclasses
import queue
import threading

from _reactor_thread import call_in_reactor
from _reactor_thread import EventLog
from _scripted_server import build_response
from _scripted_server import ScriptedServer
import behave
from node_settings import make_settings_data
from routing_harness import build_replica
from routing_harness import build_request
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import MAX_SHARD_REPLY_BYTES
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.settings import parse_settings
from bluebellbay.transport.replica import ReplicaLink
from bluebellbay_platform.wire import PlatformWire
from bluebellctl.fleet import fetch_statuses

DEADLINE_S = 60
BLOCK = b"x" * 65_536
SEND_LIMIT_BYTES = 128 * 2**20
SAMPLE_INTERVAL_S = 0.002
ID_HEADER = b"bluebellbay-request-id"
OK_LINE = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "a status line": (b"HTTP/1.1 200 ", BLOCK),
    "a header value": (OK_LINE + b"X: ", BLOCK),
    "header lines": (OK_LINE, b"X: y\r\n" * 8_000),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
    "a response to another request": (
        OK_LINE + b"Bluebellbay-Request-Id: other\r\n"
        b"Content-Length: 999999999\r\n\r\n",
        BLOCK,
    ),
    "a chunk extension": (
        OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n5;x=",
        BLOCK,
    ),
    "a trailer": (
        OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        BLOCK,
    ),
    "a shard's body": (OK_LINE + b"Content-Length: 999999999\r\n\r\n", BLOCK),
    "a shard's body in chunks": (
        OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "a shard's body to the close": (OK_LINE + b"\r\n", BLOCK),
}
# What comes after the first response, and before or in the second one.
COPIES = {
    "between the requests": (b"%(copy)s", b"%(right)s"),
    "split around the next request": (b"%(copy_a)s", b"%(copy_b)s%(right)s"),
    "in one packet with the right response": (b"", b"%(copy)s%(right)s"),
    "before the right response, without an id": (b"", b"%(bare)s%(right)s"),
    "between the requests, without an id": (b"%(bare)s", b"%(right)s"),
}


def build_reply(request_id, body):
    return (
        OK_LINE + b"Bluebellbay-Request-Id: %s\r\n"
        b"Bluebellbay-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s"
        % (request_id, len(body), body)
    )


class ReplicaWorld:
    """Sends attempts to scripted replicas and waits for their ends."""

    def __init__(self, replicas):
        self.events = EventLog()
        self.link = ReplicaLink(
            reactor=reactor, wire=PlatformWire(), report=self.events.report
        )
        self.servers = [ScriptedServer() for _ in range(replicas)]
        self.entries = [
            build_replica(f"r{number}", "service", address=server.address)
            for number, server in enumerate(self.servers)
        ]
        self.sent_bytes = queue.Queue()
        self._attempts = 0
        for entry in self.entries:
            limit = SetConnectionLimit(replica=entry, limit=1)
            call_in_reactor(self.link.set_limit, limit)

    def send(self, replica=0, *, request_id=None, method=b"GET", **fields):
        """Send a request, whose id is new unless one is given."""
        self._attempts += 1
        name = request_id or b"request-%d" % self._attempts
        request = dataclasses.replace(
            build_request("route", number=self._attempts, method=method),
            request_id=name.decode(),
            forwarded=b"Bluebellbay-Request-Id: %s\r\n" % name,
        )
        command = SendAttempt(
            attempt=self._attempts,
            request=request,
            replica=self.entries[replica],
            deadline_s=DEADLINE_S,
            **fields,
        )
        call_in_reactor(self.link.send, command)

    def send_request(self, request_id, method):
        self.send(request_id=request_id, method=method)
        return self.receive()

    def receive(self, replica=0):
        return self.servers[replica].receive_request()

    def answer_next(self, body=b"body"):
        self.send()
        received = self.receive()
        received.send(build_reply(received.headers[ID_HEADER], body))
        event = self.events.wait_for_event()
        assert isinstance(event, AttemptReplied), event
        return received

    def send_endless(self, replica, start, block):
        received = self.receive(replica)
        received.send(start)
        sent = received.send_until_closed(block, SEND_LIMIT_BYTES)
        self.sent_bytes.put(sent)

    def stop(self):
        for server in self.servers:
            server.close()


@behave.given("a link to a scripted replica")
def start_link(context):
    start_links(context, 1)


@behave.given("a link to {replicas:d} scripted replicas")
def start_links(context, replicas):
    context.wire = ReplicaWorld(replicas)
    context.add_cleanup(context.wire.stop)


@behave.then(
    "a response whose head breaks off after any byte is a failure, closed or "
    "reset, on a new and on a reused connection"
)
def check_broken_heads(context):
    world = context.wire
    size = build_reply(b"request-1", b"").index(b"\r\n\r\n") + 4
    for end in ("close", "reset"):
        for reused in (False, True):
            for cut in range(size):
                if reused:
                    world.answer_next()
                world.send()
                received = world.receive()
                reply = build_reply(received.headers[ID_HEADER], b"body")
                received.send(reply[: min(cut, reply.index(b"\r\n\r\n") + 3)])
                getattr(received, end)()
                event = world.events.wait_for_event()
                assert isinstance(event, AttemptFailed), (end, cut, event)


@behave.when('a request is answered with "{response}" and then {end}')
def answer_broken(context, response, end):
    context.wire.send()
    received = context.wire.receive()
    received.send(
        OK_LINE + response.encode().decode("unicode_escape").encode()
    )
    received.close() if end == "closed" else received.reset()


@behave.when(
    'a request is answered with status {status} and "{rest}", then {end}'
)
def answer_without_status(context, status, rest, end):
    context.wire.send()
    received = context.wire.receive()
    received.send(
        b"HTTP/1.1 %s Said\r\n" % status.encode()
        + b"Bluebellbay-Response-Signature: s\r\n"
        + rest.encode().decode("unicode_escape").encode()
    )
    if end == "closed":
        # The link may have aborted the connection already, by the head alone.
        with contextlib.suppress(OSError):
            received.close()


@behave.then("the attempt failed and may have run")
def check_failed(context):
    event = context.wire.events.wait_for_event()
    assert isinstance(event, AttemptFailed), event
    assert event.sent
    assert event.reason != "timed out", event


@behave.when(
    "a request is answered and a second copy of the response comes {copy}"
)
def send_copy(context, copy):
    world = context.wire
    between, before = COPIES[copy]
    first = world.answer_next(b"first")
    request_id = first.headers[ID_HEADER]
    reply = build_reply(request_id, b"first")
    pieces = {
        b"copy": reply,
        b"copy_a": reply[:40],
        b"copy_b": reply[40:],
        b"bare": reply.replace(
            b"Bluebellbay-Request-Id: " + request_id + b"\r\n", b""
        ),
    }
    # The reactor reads nothing between the copy and the next request.
    held = threading.Event()
    reactor.callFromThread(held.wait)
    first.send(between % {**pieces, b"right": b""})
    sending = threading.Thread(target=world.send)
    sending.start()
    held.set()
    sending.join()
    second = world.receive()
    right = build_reply(second.headers[ID_HEADER], b"second")
    second.send(before % {**pieces, b"right": right})


@behave.then("the next request gets its own response or a failure")
def check_own_response(context):
    event = context.wire.events.wait_for_event()
    if isinstance(event, AttemptReplied):
        assert event.reply.body == b"second", event
    else:
        assert isinstance(event, AttemptFailed), event


ANSWER_HEADS = {
    "a refusal": b"HTTP/1.1 503 Full\r\nBluebellbay-Not-Executed: 1\r\n",
    "status 421": b"HTTP/1.1 421 Other\r\n",
    "status 500": (
        b"HTTP/1.1 500 Error\r\nBluebellbay-Response-Signature: s\r\n"
    ),
    "a success": OK_LINE + b"Bluebellbay-Response-Signature: s\r\n",
}


@behave.then(
    "a copy of {answer} to a {method} request, {id_}, at any later point of "
    "its connection, is never taken for the answer to another send"
)
def check_copies(context, answer, method, id_):
    world = context.wire
    method = method.encode()
    for requests_between in range(3):
        for sends_again in (True, False):
            name = b"%d-%d" % (requests_between, sends_again)
            echo = b"Bluebellbay-Request-Id: %s\r\n" % name
            copy = ANSWER_HEADS[answer] + (
                echo if id_ == "with its id" else b""
            )
            copy += b"Content-Length: 5\r\n\r\nfirst"
            first = world.send_request(name, method)
            first.send(copy)
            world.events.wait_for_event()
            for number in range(requests_between):
                other = b"%s-other-%d" % (name, number)
                received = world.send_request(other, method)
                received.send(build_reply(other, b"other"))
                world.events.wait_for_event()
            last = name if sends_again else name + b"-last"
            received = world.send_request(last, method)
            if received.is_on_connection_of(first):
                received.send(copy)
            received.send(build_reply(last, b"right"))
            event = world.events.wait_for_event()
            if isinstance(event, AttemptReplied):
                assert event.reply.body == b"right", event
            else:
                assert isinstance(event, AttemptFailed), event
                assert event.sent


@behave.when("a request is answered with {bytes_} without end")
def answer_without_end(context, bytes_):
    start, block = ENDLESS[bytes_]
    threading.Thread(
        target=context.wire.send_endless, args=(0, start, block), daemon=True
    ).start()
    context.wire.send(max_body_bytes=MAX_SHARD_REPLY_BYTES)


@behave.then("the replica could send no more than {mebibytes:d} MiB")
def check_sent(context, mebibytes):
    check_sent_bytes(context.wire.sent_bytes, mebibytes)


def check_sent_bytes(sent_bytes, mebibytes):
    sent = sent_bytes.get(timeout=DEADLINE_S)
    # What the kernel's buffers hold was sent, but not read.
    assert sent <= (mebibytes + 8) * 2**20, sent


def read_resident_bytes():
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096


@behave.when("each is asked at once and sends a plain body without end")
def ask_all(context):
    world = context.wire
    start, block = ENDLESS["a shard's body"]
    threads = [
        threading.Thread(
            target=world.send_endless, args=(replica, start, block)
        )
        for replica in range(len(world.servers))
    ]
    for thread in threads:
        thread.start()
    idle = peak = read_resident_bytes()
    for replica in range(len(world.servers)):
        world.send(replica)
    while any(thread.is_alive() for thread in threads):
        peak = max(peak, read_resident_bytes())
        threads[0].join(SAMPLE_INTERVAL_S)
        threads = [thread for thread in threads if thread.is_alive()]
    context.growth_bytes = peak - idle


@behave.then("every attempt failed")
def check_all_failed(context):
    for _ in context.wire.servers:
        check_failed(context)


@behave.then("the process took less than {megabytes:d} MB above its idle size")
def check_growth(context, megabytes):
    assert context.growth_bytes < megabytes * 10**6, context.growth_bytes


@behave.when("all but one send a plain body without end")
def ask_all_but_one(context):
    world = context.wire
    start, block = ENDLESS["a shard's body"]
    for replica in range(1, len(world.servers)):
        threading.Thread(
            target=world.send_endless,
            args=(replica, start, block),
            daemon=True,
        ).start()
        world.send(replica)
    world.send(0)
    received = world.receive(0)
    reply = build_reply(received.headers[ID_HEADER], BLOCK[:60_000])
    received.send(reply)


@behave.then("the last one's response arrives whole")
def check_whole(context):
    events = [
        context.wire.events.wait_for_event() for _ in context.wire.servers
    ]
    (reply,) = (item for item in events if isinstance(item, AttemptReplied))
    assert reply.reply.body == BLOCK[:60_000]


def read_key(context):
    command = ReadKey(correlation_id="t", key="a/b")
    call_in_reactor(context.store.read_key, command)
    return context.server.receive_request()


@behave.when("a key is read and answered with {bytes_} without end")
def answer_key_without_end(context, bytes_):
    start, block = ENDLESS[bytes_]
    received = read_key(context)
    context.sent_bytes = queue.Queue()

    def send():
        received.send(start)
        context.sent_bytes.put(
            received.send_until_closed(block, SEND_LIMIT_BYTES)
        )

    threading.Thread(target=send, daemon=True).start()


@behave.then("the server could send no more than {mebibytes:d} MiB")
def check_server_sent(context, mebibytes):
    check_sent_bytes(context.sent_bytes, mebibytes)


@behave.when("a key is read and answered with the state of another key")
def answer_other_key(context):
    body = b'{"key": "a/c", "value": "old", "version": 7}'
    read_key(context).send(build_response(200, body))


@behave.given("an entry VM that is a scripted server")
def start_entry_vm(context):
    context.server = ScriptedServer()
    context.add_cleanup(context.server.close)
    data = make_settings_data()
    data["node"]["listen"] = context.server.address
    data["peers"] = []
    context.settings = parse_settings(data).ok


@behave.when("the operator's program reads its status, half of which comes")
def read_half_status(context):
    statuses = context.statuses = queue.Queue()

    def read():
        statuses.put(
            call_in_reactor(
                lambda: Deferred.fromCoroutine(
                    fetch_statuses(context.settings)
                )
            )
        )

    threading.Thread(target=read, daemon=True).start()
    context.server.receive_request().send(
        OK_LINE + b"Content-Length: 99\r\n\r\n{"
    )


@behave.then("within {seconds:d} s the VM counts as not reached")
def check_not_reached(context, seconds):
    (status,) = context.statuses.get(timeout=seconds)
    assert status.status is None, status
