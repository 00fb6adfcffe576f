"""Steps about one daemon, run in this process or started as a command."""

import contextlib
import http.client
import json
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time

from _reactor_thread import call_in_reactor
import behave
import hypothesis
from hypothesis import strategies
from node_settings import make_settings_data
from twisted.internet import reactor
import yaml

from bluebellbay.coordination.part import Part
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.answer import Row
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.event import CallerDisconnected
from bluebellbay.protocol.event import QueryArrived
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import StopProcess
from bluebellbay.protocol.process import TimerTick
from bluebellbay.settings import parse_settings
from bluebellbayd.clock import SlewedClock
from bluebellbayd.daemon import Daemon

TIMEOUT_S = 60


class ScriptedPart(Part):
    """Records the events of callers and emits commands set by the steps.

    Queries stay unanswered until a step queues their answer.
    """

    def __init__(self, *, state):
        super().__init__(state=state)
        self.caller_by_request_id = {}
        self.gone_callers = set()
        self.queued_commands = []
        state.scripted_part = self

    @property
    def event_types(self):
        return (QueryArrived, CallerDisconnected, TimerTick)

    def step(self, event, now):
        if isinstance(event, QueryArrived):
            self.caller_by_request_id[event.request.request_id] = event.caller
        if isinstance(event, CallerDisconnected):
            self.gone_callers.add(event.caller)
        queued_commands, self.queued_commands = self.queued_commands, []
        return queued_commands


@behave.given("a daemon whose core answers only when a step says so")
def start_daemon(context, **changes):
    context.daemon = Daemon(
        settings=parse_settings(make_settings_data(**changes)).ok,
        reactor=reactor,
        rng=random.Random(1),
        parts=(ScriptedPart,),
    )
    context.part = context.daemon.core.state.scripted_part
    call_in_reactor(context.daemon.start)
    context.address = f"127.0.0.1:{context.daemon.port}"
    context.add_cleanup(lambda: emit_from_core(context, StopProcess()))


@behave.given(
    "a daemon whose core answers only when a step says so, and a time-out of "
    "{head_s:g} s for the request head"
)
def start_daemon_with_head_timeout(context, head_s):
    start_daemon(context, limits={"head_s": head_s})


@behave.when("a caller keeps sending bytes without a line end")
def send_unfinished_head(context):
    with socket.create_connection(
        ("127.0.0.1", context.daemon.port), TIMEOUT_S
    ) as connection:
        connection.settimeout(0.05)
        context.received = b""
        until = time.monotonic() + TIMEOUT_S
        context.closed = False
        while not context.closed and time.monotonic() < until:
            with contextlib.suppress(OSError):
                connection.sendall(b"x")
            try:
                chunk = connection.recv(1000)
            except TimeoutError:
                continue
            context.received += chunk
            context.closed = not chunk


@behave.then("the caller gets status 408 and its connection is closed")
def check_closed_with_408(context):
    assert context.closed
    assert context.received.startswith(b"HTTP/1.1 408 "), context.received


@behave.when("{seconds:g} s pass at the daemon")
def wait_at_daemon(context, seconds):
    time.sleep(seconds)


def emit_from_core(context, *commands):
    def emit():
        context.part.queued_commands.extend(commands)
        context.daemon.feed(TimerTick())

    call_in_reactor(emit)


def wait_for(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def connect(context):
    return http.client.HTTPConnection(context.address, timeout=TIMEOUT_S)


def post_query(context, body):
    connection = connect(context)
    connection.request("POST", "/v1/query/press-desk", body)
    response = connection.getresponse()
    context.status = response.status
    context.answer = json.loads(response.read())
    connection.close()


@behave.when('a caller sends the body "{body}" to the daemon')
def send_body(context, body):
    post_query(context, body.replace('\\"', '"'))


@behave.when(
    "a caller sends a query nested {depth:d} levels deep to the daemon"
)
def send_nested_body(context, depth):
    query = "[" * depth + "]" * depth
    post_query(context, '{"profile": "p", "query": ' + query + "}")


@behave.when("a caller sends a body of {size:d} bytes to the daemon")
def send_large_body(context, size):
    post_query(context, "x" * size)


@behave.then(
    'the caller gets status {status:d}, error "{kind}" and outcome "not-run"'
)
def check_refused_as_not_run(context, status, kind):
    assert context.status == status, context.status
    assert context.answer["outcome"] == "not-run"
    assert context.answer["error"]["kind"] == kind
    assert context.answer["error"]["ran"] == "no"


@behave.then("no request has reached the core")
def check_no_request_reached_core(context):
    assert not context.part.caller_by_request_id


@behave.when('callers "{names}" each send a request')
def send_requests(context, names):
    context.connections = {}
    for name in names.split():
        connection = connect(context)
        body = json.dumps({"profile": "p", "request_id": name})
        connection.request("POST", "/v1/query/press-desk", body)
        context.connections[name] = connection
    wait_for(
        lambda: len(context.part.caller_by_request_id) == len(names.split())
    )


def make_answer(context, name, rows):
    answer = Answer(
        request_id=name,
        outcome=Outcome.ANSWERED,
        rows=tuple(Row(key=key, value=name) for key in range(rows)),
    )
    return AnswerCaller(
        caller=context.part.caller_by_request_id[name], answer=answer
    )


@behave.when('the core answers callers "{names}" with {rows:d} rows each')
def answer_callers(context, names, rows):
    context.rows = rows
    for name in names.split():
        emit_from_core(context, make_answer(context, name, rows))


@behave.when(
    'the core answers callers "{names}" with {rows:d} rows each and stops the '
    "process"
)
def answer_and_stop(context, names, rows):
    context.rows = rows
    answers = [make_answer(context, name, rows) for name in names.split()]
    emit_from_core(context, *answers, StopProcess())


@behave.when(
    "{count:d} callers connect and send a query, and the process is stopped "
    "before it has accepted them"
)
def stop_before_accept(context, count):
    context.half_sent = connect_socket(context)
    request = build_query("half")
    context.rest = request[len(request) // 2 :]
    context.half_sent.sendall(request[: len(request) // 2])
    context.callers = [context.half_sent]

    # The reactor accepts nothing while this runs in its thread.
    def connect_and_stop():
        for number in range(count):
            caller = connect_socket(context)
            caller.sendall(build_query(f"q{number}"))
            context.callers.append(caller)
        context.part.queued_commands.append(StopProcess())
        context.daemon.feed(TimerTick())

    call_in_reactor(connect_and_stop)


def connect_socket(context):
    return socket.create_connection(
        ("127.0.0.1", context.daemon.port), TIMEOUT_S
    )


def build_query(name):
    body = json.dumps({"profile": "p", "request_id": name}).encode()
    return (
        b"POST /v1/query/press-desk HTTP/1.1\r\nHost: h\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    )


@behave.when(
    "a caller that has sent half of a query sends the rest {delay_s:g} s later"
)
def send_rest(context, delay_s):
    time.sleep(delay_s)
    context.half_sent.sendall(context.rest)


@behave.when("the core answers all callers")
def answer_all_callers(context):
    wait_for(
        lambda: len(context.part.caller_by_request_id) == len(context.callers)
    )
    for name in tuple(context.part.caller_by_request_id):
        emit_from_core(context, make_answer(context, name, 1))


@behave.then("each of these callers receives an answer")
def check_all_answered(context):
    for caller in context.callers:
        received = b""
        while data := caller.recv(65_536):
            received += data
        assert received.startswith(b"HTTP/1.1 200 OK\r\n"), received


@behave.then(
    'callers "{names}" each receive the complete answer to their request'
)
def check_answers(context, names):
    for name in names.split():
        response = context.connections[name].getresponse()
        body = response.read()
        assert int(response.headers["Content-Length"]) == len(body)
        answer = json.loads(body)
        assert answer["request_id"] == name
        assert len(answer["rows"]) == context.rows
        assert all(row["value"] == name for row in answer["rows"])


@behave.when('caller "{name}" closes its connection')
def close_connection_of_caller(context, name):
    context.connections[name].close()


@behave.then('the core is notified that caller "{name}" has disconnected')
def check_caller_gone_reported(context, name):
    wait_for(
        lambda: (
            context.part.gone_callers
            == {context.part.caller_by_request_id[name]}
        )
    )


@behave.then('GET "{path}" gives status {status:d}')
def check_get(context, path, status):
    connection = connect(context)
    connection.request("GET", path)
    response = connection.getresponse()
    context.body = response.read().decode()
    assert response.status == status, response.status
    connection.close()


@behave.when(
    "a configuration of revision {revision:d} is in force at the daemon"
)
def set_configuration(context, revision):
    document = ConfigurationDocument(revision=revision, change_id="c")
    context.daemon.core.state.configuration.accept(document)


@behave.then('the metrics contain the line "{line}"')
def check_metrics(context, line):
    assert line in context.body.splitlines(), context.body


@behave.when("the core reports itself as healthy")
def report_healthy(context):
    emit_from_core(context, ReportHealth(healthy=True))


@behave.when("the core reports itself as not healthy")
def report_unhealthy(context):
    emit_from_core(context, ReportHealth(healthy=False))


@behave.then("the daemon has stopped")
def check_stopped(context):
    wait_for(lambda: context.daemon.stopped.called)


def list_clock_steps():
    return strategies.lists(
        strategies.tuples(
            strategies.floats(0, 1e6), strategies.floats(0.01, 1e4)
        ),
        min_size=1,
    )


class StepClock:
    """A daemon's clock whose wall and monotonic clocks the test sets."""

    def __init__(self):
        self.wall = 0.0
        self.monotonic = 0.0
        self.clock = SlewedClock(
            wall=lambda: self.wall, monotonic=lambda: self.monotonic
        )

    def read(self, wall, passed):
        self.wall = wall
        self.monotonic += passed
        return self.clock.read()


@behave.then(
    "under any steps of the wall clock the daemon's clock runs at 0.49 to "
    "1.51 times real time"
)
def check_clock_is_steady(context):
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(list_clock_steps())
    def check(history):
        clock = StepClock()
        last = clock.read(0.0, 0.0)
        for wall, passed in history:
            now = clock.read(wall, passed)
            assert 0.49 * passed <= now - last <= 1.51 * passed
            last = now

    check()


@behave.then(
    "the daemon's clock converges to a wall clock that has no further steps"
)
def check_clock_converges(context):
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(list_clock_steps())
    def check(history):
        clock = StepClock()
        for wall, passed in history:
            now = clock.read(wall, passed)
        # Half of the time that passes makes up for the distance.
        catch_up_s = 2.1 * abs(now - clock.wall) + 1.0
        wall = clock.wall + catch_up_s
        assert abs(clock.read(wall, catch_up_s) - wall) < 1e-3

    check()


def run_settings_check(context, data):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.yaml"
        path.write_text(yaml.safe_dump(data), encoding="utf-8")
        context.result = subprocess.run(
            [
                sys.executable,
                "-m",
                "bluebellbayd",
                f"--settings={path}",
                "--check-settings",
            ],
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_S,
        )


@behave.when("bluebellbayd checks settings with two invalid values")
def check_settings_with_faults(context):
    bad = make_settings_data(node={"name": "No Name"}, limits={"queries": 0})
    run_settings_check(context, bad)


@behave.when("bluebellbayd checks valid settings")
def check_valid_settings(context):
    run_settings_check(context, make_settings_data())


@behave.then(
    'bluebellbayd exits with code 2 and reports "{first}" and "{second}"'
)
def check_reported_faults(context, first, second):
    assert context.result.returncode == 2, context.result
    lines = context.result.stderr.splitlines()
    assert len(lines) == 2, lines
    assert first in lines[0], lines
    assert second in lines[1], lines


@behave.then("bluebellbayd exits with code 0")
def check_exit_ok(context):
    assert context.result.returncode == 0, context.result
