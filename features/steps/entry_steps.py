"""Steps about callers' connections and replicas' answers."""

import itertools

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
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import CallFailed
from bluebellbay.transport.connection import Connection
from bluebellbay.transport.connection import ResponseForm
from bluebellbay.transport.entry import CallerConnection
from bluebellbay.transport.entry import EntryListener
from bluebellbay_platform.wire import PlatformWire

HEAD = b"Host: h\r\nBluebellbay-Request-Id: id-%d\r\n"
ID = b"bluebellbay-request-id"


class FakeSocket:
    def setsockopt(self, *arguments):
        self.last = arguments


class FakeTransport(StringTransport):
    """A transport in memory with the options of a TCP connection."""

    def __init__(self):
        super().__init__()
        self.aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        self.no_delay = enabled

    def setTcpKeepAlive(self, enabled):  # noqa: N802
        self.keep_alive = enabled

    def getHandle(self):  # noqa: N802
        return FakeSocket()

    def abortConnection(self):  # noqa: N802
        self.aborted = True
        self.loseConnection()


class Caller:
    """A caller's connection to a listener that never listens."""

    def __init__(self):
        self.clock = Clock()
        self.events = []
        self.rejected = []
        self.entry = EntryListener(
            reactor=self.clock,
            listen="127.0.0.1:0",
            wire=PlatformWire(),
            exchange_numbers=itertools.count(1),
            report=self.events.append,
            count_rejected=self.rejected.append,
        )
        self.transport = FakeTransport()
        self.connection = CallerConnection(entry=self.entry)
        self.connection.makeConnection(self.transport)

    def send(self, data):
        if not self.transport.disconnecting:
            self.connection.dataReceived(data)

    def list_opened(self):
        return [
            event for event in self.events if isinstance(event, ExchangeOpened)
        ]

    def answer(self, exchange, body=b"answer"):
        reply = ReplicaReply(
            status=200, digest="d", forwarded=b"x: y\r\n", body=body
        )
        self.entry.answer(ForwardAnswer(exchange=exchange, reply=reply))

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        self.connection.check_timeouts(self.entry.now())

    @property
    def closed(self):
        return self.transport.disconnecting


def write_get(number):
    return b"GET /a/%d HTTP/1.1\r\n" % number + HEAD % number + b"\r\n"


@behave.given("a caller's connection")
def step_connection(context):
    context.caller = Caller()


@behave.given("the listener closes connections after their answers")
def step_no_keep_alive(context):
    context.caller.entry.keep_alive = False


@behave.when("the caller sends a posting in pieces")
def step_pieces(context):
    data = (
        b"POST /a/1?q=1 HTTP/1.1\r\n"
        + HEAD % 1
        + b"X-Other: kept\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\n"
        + b"Bluebellbay-Deadline-Ms: 500\r\n"
        + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n"
        + b"0\r\n\r\n"
    )
    for at in range(len(data)):
        context.caller.send(data[at : at + 1])


@behave.then("one request with its whole body is reported")
def step_whole(context):
    (event,) = context.caller.list_opened()
    request = event.request
    assert request.body == b"hello world"
    assert request.has_body
    assert request.target == b"/a/1?q=1"
    assert request.request_id == "id-1"
    assert request.patience_s == 0.5
    assert b"x-other: kept\r\n" in request.forwarded
    assert b"x-hop" not in request.forwarded
    assert b"deadline" not in request.forwarded.lower()


@behave.then("its answer is written once the core gives it")
def step_answer(context):
    assert not context.caller.transport.value()
    context.caller.answer(1)
    written = context.caller.transport.value()
    assert written.startswith(b"HTTP/1.1 200 OK\r\n")
    assert written.endswith(b"\r\n\r\nanswer")
    assert b"Content-Length: 6\r\n" in written
    assert not context.caller.closed


@behave.when("the caller sends {count:d} requests at once")
def step_send_many(context, count):
    data = b"".join(write_get(number) for number in range(1, count + 1))
    context.caller.send(data)


@behave.then("{count:d} request is reported")
def step_reported(context, count):
    assert len(context.caller.list_opened()) == count


@behave.then("each answer is followed by the next request")
def step_in_order(context):
    for number in range(1, 4):
        opened = context.caller.list_opened()
        assert len(opened) == number
        assert opened[-1].request.request_id == f"id-{number}"
        context.caller.answer(number, body=b"answer-%d" % number)
    written = context.caller.transport.value()
    places = [written.index(b"answer-%d" % number) for number in range(1, 4)]
    assert places == sorted(places)


@behave.when("the caller closes its connection")
def step_close(context):
    context.caller.connection.connectionLost(Failure(ConnectionDone()))


@behave.then("its request is reported as abandoned")
def step_abandoned(context):
    assert context.caller.events[-1] == ExchangeAbandoned(exchange=1)


@behave.then("a late answer goes nowhere")
def step_late_answer(context):
    context.caller.answer(1)
    assert not context.caller.transport.value()


@behave.when('the caller sends "{text}"')
def step_send_text(context, text):
    data = text.encode().decode("unicode_escape").encode("latin-1")
    context.caller.send(data)


@behave.when("the caller sends {count:d} bytes of a header")
def step_send_header(context, count):
    context.caller.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\nX-Long: ")
    for _ in range(count // 100):
        context.caller.send(b"x" * 100)


@behave.when("the caller sends {count:d} bytes in chunks")
def step_send_chunks(context, count):
    context.caller.send(
        b"POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        + HEAD % 1
        + b"\r\n"
    )
    for _ in range(count // 1000):
        context.caller.send(b"3e8\r\n" + b"x" * 1000 + b"\r\n")


@behave.then("it is answered {status:d} and closed")
def step_rejected(context, status):
    written = context.caller.transport.value()
    assert written.startswith(b"HTTP/1.1 %d " % status), written
    assert b"Connection: close\r\n" in written
    assert context.caller.closed
    assert context.caller.rejected == [status]


@behave.then("no request is reported")
def step_none(context):
    assert not context.caller.list_opened()


@behave.when("{seconds:d} s pass for the connection")
def step_time(context, seconds):
    context.caller.pass_time(seconds)


@behave.then("it is closed")
def step_closed(context):
    assert context.caller.closed


@behave.then("it is open")
def step_open(context):
    assert not context.caller.closed


@behave.when("the core answers")
def step_core_answers(context):
    context.caller.answer(1)


@behave.then("the answer says so and the connection is closed")
def step_says_close(context):
    assert b"Connection: close\r\n" in context.caller.transport.value()
    assert context.caller.closed


PIECES = strategies.one_of(
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
    "whatever bytes a caller sends the reader answers or closes in order"
)
def check_callers(context):
    del context

    @hold_for_all(strategies.lists(PIECES, max_size=12), examples=500)
    def check(pieces):
        caller = Caller()
        for piece in pieces:
            caller.send(piece)
            for event in caller.list_opened():
                caller.answer(event.exchange)
        opened = caller.list_opened()
        written = caller.transport.value()
        answered = written.count(b"x: y\r\n")
        assert answered == len(opened)
        assert written.count(b"HTTP/1.1") == answered + len(caller.rejected)
        assert len(caller.rejected) <= 1

    check()


def call(pieces, *, lost, form):
    ends = []
    connection = Connection(free=lambda item: None, lost=lambda item: None)
    transport = FakeTransport()
    connection.makeConnection(transport)
    connection.run_call(b"request", ends.append, form)
    for piece in pieces:
        if not transport.disconnecting:
            connection.dataReceived(piece)
    connection.connectionLost(Failure(lost))
    return ends, transport


FORM = ResponseForm(
    read_until_close=True,
    matches=lambda headers: dict(headers).get(ID, b"right") == b"right",
)


@behave.then("a replica's answer is whole, foreign or broken as its bytes say")
def check_answers(context):
    del context
    head = b"HTTP/1.1 200 OK\r\nBluebellbay-Request-Id: %s\r\n"
    sized = b"Content-Length: 2\r\n\r\n"
    foreign = head % b"other" + sized + b"no"
    whole = head % b"right" + sized + b"ok"
    endless = head % b"right" + b"\r\nok"
    done, lost = ConnectionDone(), ConnectionLost()
    early = b"HTTP/1.1 100 Continue\r\n\r\n"
    # Pieces, how the connection ends, the body if whole, whether reusable.
    table = (
        ([whole], done, b"ok", True),
        ([early + whole], done, b"ok", True),
        ([foreign, whole], done, b"ok", False),
        ([foreign + whole], done, b"ok", False),
        ([whole + b"surplus"], done, b"ok", False),
        ([whole + whole], done, b"ok", False),
        ([endless], done, b"ok", True),
        ([endless], lost, None, True),
        ([whole[:-1]], done, None, True),
        ([foreign], done, None, True),
        ([b"no answer at all"], done, None, False),
        ([], done, None, True),
    )
    for pieces, reason, body, reusable in table:
        (end,), transport = call(pieces, lost=reason, form=FORM)
        assert transport.disconnecting != reusable, pieces
        if body is None:
            assert isinstance(end, CallFailed), pieces
            assert end.sent
            continue
        assert isinstance(end, CallAnswered), pieces
        assert end.body == body, pieces


@behave.then("whatever bytes a replica sends the call ends once")
def check_replicas(context):
    del context

    @hold_for_all(strategies.lists(PIECES, max_size=12), examples=500)
    def check(pieces):
        ends, _ = call(pieces, lost=ConnectionDone(), form=FORM)
        assert len(ends) == 1

    check()
