"""Steps for what callers get while a routing node is stopped as planned."""

import itertools
import socket
import time

from _reactor_thread import call_in_reactor
import behave
from entry_steps import build_get_request
from routing_harness import RoutingHarness
from twisted.internet import reactor

from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.process import StopProcess
from bluebellbay.protocol.registry import CallersDrained
from bluebellbay.protocol.registry import DrainCallers
from bluebellbay.transport.entry import EntryListener
from bluebellbay_platform.wire import PlatformWire

TIMEOUT_S = 20.0


class DrainedListener:
    """A listener over sockets, its callers, and a core that answers."""

    def __init__(self, *, answers_at_once):
        self.waiting = []
        self.callers = []
        self.expected_answers = 1
        self.drained = []
        self._answers_at_once = answers_at_once
        self._listener = EntryListener(
            reactor=reactor,
            listen="127.0.0.1:0",
            wire=PlatformWire(),
            exchange_numbers=itertools.count(1),
            report=self._report,
            count_rejected=lambda status: None,
        )
        call_in_reactor(self._listener.start)
        self.address = ("127.0.0.1", self._listener.port)

    def connect(self):
        caller = socket.create_connection(self.address, TIMEOUT_S)
        self.callers.append(caller)
        return caller

    def drain(self):
        self._listener.drain().addCallback(self.drained.append)

    def answer_all(self):
        # An answer makes the connection report its next request.
        self._answers_at_once = True
        waiting, self.waiting = self.waiting, []
        for exchange in waiting:
            self._answer(exchange)

    def stop(self):
        for caller in self.callers:
            caller.close()
        call_in_reactor(self._listener.stop)

    def _report(self, event):
        if not isinstance(event, ExchangeOpened):
            return
        if self._answers_at_once:
            reactor.callLater(0, self._answer, event.exchange)
        else:
            self.waiting.append(event.exchange)

    def _answer(self, exchange):
        reply = ReplicaReply(
            status=200, digest="d", forwarded=b"x: y\r\n", body=b"answer"
        )
        self._listener.answer(ForwardAnswer(exchange=exchange, reply=reply))


def start_listener(context, *, answers_at_once):
    context.listener = DrainedListener(answers_at_once=answers_at_once)
    context.add_cleanup(context.listener.stop)


@behave.given("a listener whose core answers at once")
def start_answering_listener(context):
    start_listener(context, answers_at_once=True)


@behave.given("a listener whose core answers when told")
def start_waiting_listener(context):
    start_listener(context, answers_at_once=False)


@behave.when(
    "{count:d} callers connect and send a request, and the listener is "
    "drained before it has accepted them"
)
def drain_before_accept(context, count):
    listener = context.listener

    # The reactor accepts nothing while this runs in its thread.
    def connect_and_drain():
        for number in range(count):
            listener.connect().sendall(build_get_request(number))
        listener.drain()

    call_in_reactor(connect_and_drain)


@behave.when("a caller sends half of a request and the listener is drained")
def drain_with_half_request(context):
    request = build_get_request(1)
    context.other_half = request[len(request) // 2 :]
    context.caller = context.listener.connect()
    context.caller.sendall(request[: len(request) // 2])
    call_in_reactor(context.listener.drain)


@behave.when("the other half is sent {delay_s:g} s later")
def send_other_half(context, delay_s):
    time.sleep(delay_s)
    context.caller.sendall(context.other_half)


@behave.when(
    "a caller sends {count:d} requests ahead and the listener is drained"
)
def drain_with_pipelined_requests(context, count):
    listener = context.listener
    listener.expected_answers = count
    listener.connect().sendall(
        b"".join(build_get_request(number) for number in range(count))
    )
    call_in_reactor(listener.drain)


@behave.then("the listener is not drained for {seconds:g} s")
def check_not_drained(context, seconds):
    time.sleep(seconds)
    assert not context.listener.drained


@behave.when("the core answers all")
def answer_all(context):
    call_in_reactor(context.listener.answer_all)


@behave.when(
    "a caller that sends nothing is connected and the listener is drained"
)
def drain_with_idle_caller(context):
    context.caller = context.listener.connect()
    call_in_reactor(context.listener.drain)


@behave.then("its connection is closed cleanly")
def check_closed_cleanly(context):
    assert read_to_end(context.caller) == b""


@behave.then("a further caller can't connect")
def check_port_closed(context):
    try:
        context.listener.connect()
    except ConnectionRefusedError:
        return
    raise AssertionError("the listener accepts connections")


def read_to_end(caller):
    caller.settimeout(TIMEOUT_S)
    received = b""
    while data := caller.recv(65_536):
        received += data
    return received


@behave.then("each of them gets its answer, and then the connection is closed")
def check_answered(context):
    listener = context.listener
    for caller in listener.callers:
        received = read_to_end(caller)
        count = received.count(b"HTTP/1.1 200 OK\r\n")
        assert count == listener.expected_answers, received
        assert received.endswith(b"\r\n\r\nanswer"), received
        assert received.count(b"Connection: close\r\n") == 1, received


@behave.then("the listener is drained")
def check_drained(context):
    give_up_at = time.monotonic() + TIMEOUT_S
    while not context.listener.drained:
        assert time.monotonic() < give_up_at
        time.sleep(0.01)


@behave.given("a routing node that drains its callers for at most 6 s")
def start_node(context):
    context.harness = RoutingHarness()
    assert context.harness.rules.grace_s == 6.0


@behave.when("the node gets two shutdown requests")
def request_shutdown_twice(context):
    harness = context.harness
    context.shutdown_at = harness.now
    harness.feed(ShutdownRequested())
    harness.advance(1.0)
    harness.feed(ShutdownRequested())


def has_emitted(context, kind):
    return any(isinstance(item, kind) for item in context.harness.commands)


@behave.then("it accepts callers' connections for {seconds:g} s")
def check_accepting(context, seconds):
    harness = context.harness
    left_s = context.shutdown_at + seconds - harness.now
    harness.advance(left_s - 0.01)
    assert not has_emitted(context, DrainCallers)
    harness.advance(0.02)
    assert has_emitted(context, DrainCallers)


@behave.then("it stops only once callers' connections are closed")
def check_stop_after_drain(context):
    context.harness.advance(1.0)
    assert not has_emitted(context, StopProcess)
    context.harness.feed(CallersDrained())
    assert has_emitted(context, StopProcess)


@behave.then(
    "it stops within {seconds:g} s though callers' connections stay open"
)
def check_stop_by_limit(context, seconds):
    harness = context.harness
    harness.advance(context.shutdown_at + seconds - harness.now)
    assert has_emitted(context, StopProcess)
