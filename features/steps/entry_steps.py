"""Steps for callers' connections and replicas' responses."""

import itertools
import socket
import struct

import behave
from hypothesis import strategies
from query_history_steps import hold_for_all
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.transport._tcp_info import read_round_trip
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import CallFailed
from bluebellbay.transport.connection import Connection
from bluebellbay.transport.connection import ResponseForm
from bluebellbay.transport.connection import ResponseMatch
from bluebellbay.transport.entry import CallerConnection
from bluebellbay.transport.entry import CONTINUE_RESPONSE
from bluebellbay.transport.entry import EntryListener
from bluebellbay.transport.entry import PROBE_RESPONSE
from bluebellbay.transport.peer_wire import DelegationWire
from bluebellbay.transport.peer_wire import PROBE_METHOD
from bluebellbay.transport.peer_wire import PROBE_PATH
from bluebellbay.transport.receive_budget import ReceiveBudget
from bluebellbay_platform.wire import PlatformWire

COMMON_HEADERS = b"Host: h\r\nBluebellbay-Request-Id: id-%d\r\n"
REQUEST_ID_HEADER = b"bluebellbay-request-id"


class FakeSocket:
    def __init__(self, round_trip_s=0.0):
        self.round_trip_s = round_trip_s

    def setsockopt(self, *arguments):
        self.last = arguments

    def getsockopt(self, level, option, size):
        if option != socket.TCP_INFO:
            raise OSError
        return struct.pack("=68xI", int(self.round_trip_s * 1e6)).ljust(
            size, b"\0"
        )


class FakeTransport(StringTransport):
    """An in-memory transport with the options of a TCP connection."""

    def __init__(self, round_trip_s=0.0):
        super().__init__()
        self.aborted = False
        self._handle = FakeSocket(round_trip_s)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        self.no_delay = enabled

    def setTcpKeepAlive(self, enabled):  # noqa: N802
        self.keep_alive = enabled

    def getHandle(self):  # noqa: N802
        return self._handle

    def abortConnection(self):  # noqa: N802
        self.aborted = True
        self.loseConnection()


class CallerHarness:
    """A caller's connection to a listener without a socket."""

    def __init__(self, wire=None, round_trip_s=0.0, **fields):
        self.clock = Clock()
        self.events = []
        self.rejected = []
        self.entry = EntryListener(
            reactor=self.clock,
            listen="127.0.0.1:0",
            wire=wire or PlatformWire(),
            exchange_numbers=itertools.count(1),
            report=self.events.append,
            count_rejected=self.rejected.append,
            **fields,
        )
        self.transport = FakeTransport(round_trip_s)
        self.connection = CallerConnection(entry=self.entry)
        self.connection.makeConnection(self.transport)

    def send(self, data):
        if not self.transport.disconnecting:
            self.connection.dataReceived(data)

    def list_opened_exchanges(self):
        return [
            event for event in self.events if isinstance(event, ExchangeOpened)
        ]

    def answer(self, exchange, body=b"answer"):
        reply = ReplicaReply(
            status=200, digest="d", forwarded=b"x: y\r\n", body=body
        )
        self.entry.answer(ForwardAnswer(exchange=exchange, reply=reply))

    def advance_time(self, seconds):
        self.clock.advance(seconds)
        self.connection.check_timeouts(self.entry.now())

    @property
    def closed(self):
        return self.transport.disconnecting


def build_get_request(number):
    return (
        b"GET /a/%d HTTP/1.1\r\n" % number + COMMON_HEADERS % number + b"\r\n"
    )


@behave.given("a caller's connection")
def open_caller_connection(context):
    context.caller = CallerHarness()


@behave.given("a peer's connection")
def open_peer_connection(context):
    context.caller = CallerHarness(wire=DelegationWire())


@behave.when("the peer sends {count:d} pipelined probes")
def send_pipelined_probes(context, count):
    probe = b"%s %s HTTP/1.1\r\nHost: h\r\n\r\n" % (
        PROBE_METHOD,
        PROBE_PATH,
    )
    context.caller.send(count * probe)
    context.probes = count


@behave.then("both are answered")
def check_probes_answered(context):
    written = context.caller.transport.value()
    assert written == context.probes * PROBE_RESPONSE, written


@behave.given("a caller's connection with a round trip of {ms:d} ms")
def open_distant_caller_connection(context, ms):
    context.caller = CallerHarness(round_trip_s=ms / 1000)


@behave.then("its age is {age_s:g} s, and its answer takes {return_s:g} s")
def check_age(context, age_s, return_s):
    event = context.caller.list_opened_exchanges()[-1]
    assert abs(event.age_s - age_s) < 1e-9, event.age_s
    assert abs(event.return_s - return_s) < 1e-9, event.return_s


@behave.then(
    "the round trip of a connection on this machine is below {known_ms:d} ms, "
    "and of one without a measurement {unknown_ms:d} ms"
)
def check_round_trip(context, known_ms, unknown_ms):
    del context
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()),
        listener.accept()[0] as accepted,
    ):
        assert 0 < read_round_trip(accepted) < known_ms / 1000
    assert read_round_trip(FakeSocket()) == unknown_ms / 1000
    with socket.socket(socket.AF_UNIX) as other:
        assert read_round_trip(other) == unknown_ms / 1000


@behave.given("the listener closes connections after their answers")
def disable_keep_alive(context):
    context.caller.entry.keep_alive = False


@behave.when("the caller sends a POST request byte by byte")
def send_post_bytewise(context):
    data = (
        b"POST /a/1?q=1 HTTP/1.1\r\n"
        + COMMON_HEADERS % 1
        + b"X-Other: kept\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\n"
        + b"Bluebellbay-Deadline-Ms: 500\r\n"
        + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n"
        + b"0\r\n\r\n"
    )
    for at in range(len(data)):
        context.caller.send(data[at : at + 1])


@behave.then("one request with its complete body is reported")
def check_complete_request(context):
    (event,) = context.caller.list_opened_exchanges()
    request = event.request
    assert request.body == b"hello world"
    assert request.has_body
    assert request.target == b"/a/1?q=1"
    assert request.request_id == "id-1"
    assert request.patience_s == 0.5
    assert b"x-other: kept\r\n" in request.forwarded
    assert b"x-hop" not in request.forwarded
    assert b"deadline" not in request.forwarded.lower()


@behave.then("its answer is written once the core has answered")
def check_answer_written(context):
    assert not context.caller.transport.value()
    context.caller.answer(1)
    written = context.caller.transport.value()
    assert written.startswith(b"HTTP/1.1 200 OK\r\n")
    assert written.endswith(b"\r\n\r\nanswer")
    assert b"Content-Length: 6\r\n" in written
    assert not context.caller.closed


@behave.when("the caller sends {count:d} pipelined requests")
def send_pipelined_requests(context, count):
    data = b"".join(
        build_get_request(number) for number in range(1, count + 1)
    )
    context.caller.send(data)


@behave.then("{count:d} request is reported")
def check_request_count(context, count):
    assert len(context.caller.list_opened_exchanges()) == count


@behave.then("each answer is followed by the next request")
def check_answered_in_order(context):
    for number in range(1, 4):
        opened = context.caller.list_opened_exchanges()
        assert len(opened) == number
        assert opened[-1].request.request_id == f"id-{number}"
        context.caller.answer(number, body=b"answer-%d" % number)
    written = context.caller.transport.value()
    positions = [
        written.index(b"answer-%d" % number) for number in range(1, 4)
    ]
    assert positions == sorted(positions)


@behave.when("the caller closes its connection")
def close_caller_connection(context):
    context.caller.connection.connectionLost(Failure(ConnectionDone()))


@behave.then("its request is reported as abandoned")
def check_abandoned(context):
    assert context.caller.events[-1] == ExchangeAbandoned(exchange=1)


@behave.then("a later answer is discarded")
def check_late_answer_discarded(context):
    context.caller.answer(1)
    assert not context.caller.transport.value()


@behave.when('the caller sends "{text}"')
def send_escaped_text(context, text):
    data = text.encode().decode("unicode_escape").encode("latin-1")
    context.caller.send(data)


@behave.when("the caller sends {count:d} bytes of a header")
def send_long_header(context, count):
    context.caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\nX-Long: ")
    for _ in range(count // 100):
        context.caller.send(b"x" * 100)


@behave.when("the caller sends {count:d} bytes in chunks")
def send_chunked_body(context, count):
    context.caller.send(
        b"POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        + COMMON_HEADERS % 1
        + b"\r\n"
    )
    for _ in range(count // 1000):
        context.caller.send(b"3e8\r\n" + b"x" * 1000 + b"\r\n")


@behave.then("it is answered {status:d} and closed")
def check_rejected(context, status):
    written = context.caller.transport.value()
    assert written.startswith(b"HTTP/1.1 %d " % status), written
    assert b"Connection: close\r\n" in written
    assert context.caller.closed
    assert context.caller.rejected == [status]


@behave.then("no request is reported")
def check_no_request_reported(context):
    assert not context.caller.list_opened_exchanges()


@behave.when("the connection's clock advances by {seconds:g} s")
def advance_clock(context, seconds):
    context.caller.advance_time(seconds)


@behave.then("it is closed")
def check_closed(context):
    assert context.caller.closed


@behave.then("it is open")
def check_open(context):
    assert not context.caller.closed


@behave.when("the core answers")
def answer_first_request(context):
    context.caller.answer(1)


@behave.then("the answer announces the close and the connection is closed")
def check_close_header(context):
    assert b"Connection: close\r\n" in context.caller.transport.value()
    assert context.caller.closed


@behave.then("only the last answer announces the close")
def check_last_announces_close(context):
    written = context.caller.transport.value()
    assert written.count(b"Connection: close\r\n") == 1, written
    assert written.index(b"Connection: close") > written.index(b"answer-2")
    assert context.caller.closed


@behave.when("the core answers the second request")
def answer_second_request(context):
    context.caller.answer(2)


@behave.when('the caller sends a head that expects "{value}"')
def send_expecting_head(context, value):
    context.caller.send(
        b"POST /a/2 HTTP/1.1\r\n"
        + COMMON_HEADERS % 2
        + b"Content-Length: 2\r\nExpect: %s\r\n\r\n" % value.encode()
    )


@behave.then("the caller is not asked for the body")
def check_body_not_invited(context):
    assert not context.caller.transport.value()


@behave.then("the caller is asked for the body after the first answer")
def check_body_invited(context):
    written = context.caller.transport.value()
    assert written.endswith(CONTINUE_RESPONSE), written
    assert written.count(CONTINUE_RESPONSE) == 1
    assert written.startswith(b"HTTP/1.1 200 OK\r\n")


HTTP_FRAGMENTS = strategies.one_of(
    strategies.binary(max_size=40),
    strategies.sampled_from(
        (
            b"GET /a/ HTTP/1.1\r\n",
            b"POST /b/ HTTP/1.1\r\n",
            b"Host: h\r\n",
            b"Bluebellbay-Request-Id: 1\r\n",
            b"Content-Length: 5\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"\r\n",
            b"5\r\nhello\r\n0\r\n\r\n",
            b"Connection: close\r\n",
            b"Upgrade: other\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"bluebellbay-request-id: right\r\n",
        )
    ),
)


@behave.then(
    "for arbitrary bytes of a caller each request is answered once or rejected"
)
def check_arbitrary_caller_bytes(context):
    del context

    @hold_for_all(strategies.lists(HTTP_FRAGMENTS, max_size=12), examples=500)
    def check(fragments):
        caller = CallerHarness()
        for fragment in fragments:
            caller.send(fragment)
            for event in caller.list_opened_exchanges():
                caller.answer(event.exchange)
        opened = caller.list_opened_exchanges()
        written = caller.transport.value()
        answered = written.count(b"x: y\r\n")
        assert answered == len(opened)
        assert written.count(b"HTTP/1.1") == answered + len(caller.rejected)
        assert len(caller.rejected) <= 1

    check()


def call(fragments, *, lost, form):
    ends = []
    connection = Connection(
        free=lambda item: None,
        lost=lambda item: None,
        budget=ReceiveBudget(),
    )
    transport = FakeTransport()
    connection.makeConnection(transport)
    connection.run_call(b"request", ends.append, form)
    for fragment in fragments:
        if not transport.disconnecting:
            connection.dataReceived(fragment)
    connection.connectionLost(Failure(lost))
    return ends, transport


def match_right(headers):
    name = dict(headers).get(REQUEST_ID_HEADER)
    if name is None:
        return ResponseMatch.UNNAMED
    return ResponseMatch.SAME if name == b"right" else ResponseMatch.OTHER


MATCHING_FORM = ResponseForm(read_until_close=True, match=match_right)


@behave.then(
    "a replica's response is accepted only if complete and to the request"
)
def check_response_framing(context):
    del context
    head = b"HTTP/1.1 200 OK\r\nBluebellbay-Request-Id: %s\r\n"
    sized = b"Content-Length: 2\r\n\r\n"
    mismatched = head % b"other" + sized + b"no"
    complete_response = head % b"right" + sized + b"ok"
    until_close = head % b"right" + b"\r\nok"
    done, lost = ConnectionDone(), ConnectionLost()
    informational = b"HTTP/1.1 100 Continue\r\n\r\n"
    # Received chunks, why the connection closes, the body if a response is
    # accepted, whether the connection stays usable.
    table = (
        ([complete_response], done, b"ok", True),
        ([informational + complete_response], done, b"ok", True),
        ([mismatched, complete_response], done, b"ok", False),
        ([mismatched + complete_response], done, b"ok", False),
        ([complete_response + b"surplus"], done, b"ok", False),
        ([complete_response + complete_response], done, b"ok", False),
        ([until_close], done, b"ok", True),
        ([until_close], lost, None, True),
        ([complete_response[:-1]], done, None, True),
        ([mismatched], done, None, True),
        ([b"no answer at all"], done, None, False),
        ([], done, None, True),
    )
    for fragments, reason, body, reusable in table:
        (end,), transport = call(fragments, lost=reason, form=MATCHING_FORM)
        assert transport.disconnecting != reusable, fragments
        if body is None:
            assert isinstance(end, CallFailed), fragments
            assert end.sent
            continue
        assert isinstance(end, CallAnswered), fragments
        assert end.body == body, fragments


@behave.then("for arbitrary bytes of a replica the call ends exactly once")
def check_arbitrary_replica_bytes(context):
    del context

    @hold_for_all(strategies.lists(HTTP_FRAGMENTS, max_size=12), examples=500)
    def check(fragments):
        ends, _ = call(fragments, lost=ConnectionDone(), form=MATCHING_FORM)
        assert len(ends) == 1

    check()
