"""Steps about errors that no code expects."""

import http.client
import random

from _reactor_thread import call_in_reactor
import behave
from daemon_steps import start_daemon
from entry_steps import CallerHarness
from follower_steps import FakeSchema
from follower_steps import FakeStore
from routing_harness import build_replica
from twisted.internet import reactor
from twisted.internet.task import Clock

from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay_platform.wire import PlatformWire
from bluebellbayd.driver import CoreDriver
from bluebellbayd.failure import build_failure_event
from bluebellbayd.listening import ListenAddresses
from bluebellbayd.router import RouterDaemon
from bluebellbayd.routing_failure import build_routing_failure_event

TIMEOUT_S = 20
WAKEUP_S = 1.0
COMMANDS = tuple(
    ReportHealth(healthy=healthy) for healthy in (True, False, True)
)
REQUEST = RoutedRequest(
    request_id="id", method=b"GET", target=b"/a/", host="h", forwarded=b""
)
PEER = NodeEntry(name="peer", address="nowhere", failure_domain="zone-a")
FAILED_COMMANDS = {
    "send an attempt to a replica": SendAttempt(
        attempt=7,
        request=REQUEST,
        replica=build_replica("r", "s"),
        deadline_s=1.0,
    ),
    "delegate a query to a peer": DelegateQuery(
        attempt=7,
        request=REQUEST,
        peer=PEER,
        terms=DelegationTerms(
            shards=("s",), objective_s=0.1, most_records=1, most_attempts=1
        ),
        deadline_s=1.0,
    ),
    "send a leg to a server": SendLeg(
        server="server",
        address="nowhere",
        leg=LegRequest(
            attempt="leg-7",
            request_id="id",
            index="index",
            service="s",
            snapshot=1,
            start=0,
            end=1,
            query=None,
            repeatable=False,
            deadline_ms=100,
        ),
        timeout_s=1.0,
    ),
    "probe a peer": ProbePeer(peer=PEER, timeout_s=1.0),
}


class ScriptedCore:
    """Answers each event with the same commands, or fails."""

    def __init__(self):
        self.failing = False
        self._wakeup_time = WAKEUP_S

    def step(self, event, now):
        self._wakeup_time = now + WAKEUP_S
        if self.failing:
            raise ZeroDivisionError("unexpected")
        return COMMANDS

    def get_wakeup_time(self):
        return self._wakeup_time


@behave.given("a driver whose core answers each event with 3 commands")
def step_driver(context):
    context.clock = Clock()
    context.core = ScriptedCore()
    context.executed = []
    context.failing_number = None
    context.failed_events = []
    context.failed_commands = []
    context.driver = CoreDriver(
        core=context.core,
        reactor=context.clock,
        read_clock=context.clock.seconds,
        on_event=lambda event: None,
        execute=lambda command: execute(context, command),
        observe_step_time=lambda seconds: None,
        on_event_failure=context.failed_events.append,
        on_command_failure=context.failed_commands.append,
    )


def execute(context, command):
    context.executed.append(command)
    if len(context.executed) == context.failing_number:
        raise ZeroDivisionError("unexpected")


@behave.when("the second command of an event fails")
def step_command_fails(context):
    context.failing_number = 2
    context.driver.feed(TimerTick())


@behave.then(
    "the other two commands were executed and the failure was reported"
)
def step_others_executed(context):
    assert context.executed == list(COMMANDS), context.executed
    assert context.failed_commands == [COMMANDS[1]], context.failed_commands


@behave.then("the core's next timer is still set")
def step_timer_set(context):
    context.clock.advance(WAKEUP_S)
    assert len(context.executed) == 2 * len(COMMANDS), context.executed


@behave.when("the core fails on an event")
def step_core_fails(context):
    context.core.failing = True
    context.driver.feed(TimerTick())
    context.core.failing = False


@behave.then("the failed event was reported")
def step_event_reported(context):
    assert context.failed_events == [TimerTick()], context.failed_events


@behave.then("the 3 commands of the next event are executed")
def step_next_event(context):
    context.driver.feed(TimerTick())
    assert context.executed == list(COMMANDS), context.executed


@behave.given("a command to {action} that failed")
def step_failed_command(context, action):
    command = FAILED_COMMANDS[action]
    build = (
        build_failure_event
        if isinstance(command, SendLeg)
        else build_routing_failure_event
    )
    context.event = build(command)


@behave.then("the core is told that {result}")
def step_core_told(context, result):
    expected = {
        "the attempt failed and may have run": AttemptFailed(
            attempt=7, sent=True, reason="internal error"
        ),
        "the leg failed and may have run": LegFailed(
            server="server",
            attempt="leg-7",
            sent=True,
            reason="internal error",
        ),
        "the peer did not answer": PeerProbed(name="peer", answered=False),
    }
    assert context.event == expected[result], context.event


@behave.given("a routing daemon in this process")
def step_router(context):
    address = "127.0.0.1:0"
    context.daemon = RouterDaemon(
        reactor=reactor,
        addresses=ListenAddresses(
            callers=address, health=address, metrics=address, peers=address
        ),
        rules=RouterRules(node="n", failure_domain="zone-a"),
        entry_wire=PlatformWire(),
        replica_wire=PlatformWire(),
        store=FakeStore(1),
        schema=FakeSchema(),
        rng=random.Random(1),
    )
    call_in_reactor(context.daemon.start)


@behave.when("its core fails on the arrival of a request")
def step_router_fails(context):
    core = context.daemon.core
    sound_step = core.step

    def fail(event, now):
        core.step = sound_step
        raise ZeroDivisionError("unexpected")

    context.connection = http.client.HTTPConnection(
        "127.0.0.1", context.daemon.port, timeout=TIMEOUT_S
    )
    context.connection.connect()
    call_in_reactor(setattr, core, "step", fail)
    context.response = send_request(context)


def send_request(context):
    context.connection.request(
        "GET", "/a/", headers={"Bluebellbay-Request-Id": "id"}
    )
    response = context.connection.getresponse()
    response.read()
    return response


@behave.then("the caller is told by status 502 that it may have run")
def step_bad_gateway(context):
    assert context.response.status == 502, context.response.status


@behave.then("the error was counted")
def step_counted(context):
    count = context.daemon.metrics.registry.get_sample_value(
        "bluebellbay_unexpected_errors_total"
    )
    assert count == 1, count


@behave.then("the next request on that connection is answered")
def step_next_answered(context):
    assert send_request(context).status == 503


@behave.given("a query daemon in this process")
def step_query_daemon(context):
    start_daemon(context)


@behave.when("its core fails on the arrival of a query")
def step_query_daemon_fails(context):
    def fail(event, now):
        raise ZeroDivisionError("unexpected")

    core = context.daemon.core
    sound_step = core.step
    call_in_reactor(setattr, core, "step", fail)
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.daemon.port, timeout=TIMEOUT_S
    )
    connection.request("POST", "/v1/query/press-desk", b'{"profile": "p"}')
    context.response = connection.getresponse()
    context.body = context.response.read()
    call_in_reactor(setattr, core, "step", sound_step)


@behave.then('the caller gets status 502 and the outcome "unknown"')
def step_unknown(context):
    assert context.response.status == 502, context.response.status
    assert b'"unknown"' in context.body, context.body


class FailingWire(PlatformWire):
    """Can't encode any answer."""

    def encode_answer(self, answer, *, close):
        raise ZeroDivisionError("unexpected")


@behave.given("a caller's connection whose answer can't be encoded")
def step_failing_wire(context):
    context.harness = CallerHarness(wire=FailingWire())
    context.harness.connection.dataReceived(
        b"GET /a/ HTTP/1.1\r\nHost: h\r\nBluebellbay-Request-Id: id\r\n\r\n"
    )


@behave.when("the answer is given")
def step_answer_given(context):
    answer = MergedAnswer(exchange=1, records=b"", digests=("d",), missing=0)
    context.error = None
    try:
        context.harness.entry.answer(answer)
    except ZeroDivisionError as error:
        context.error = error


@behave.then("the connection was aborted and the error reported")
def step_aborted(context):
    assert context.harness.transport.aborted
    assert context.error is not None
