"""Steps for callers of a program that is stopped as planned."""

import re
import signal
import socket
import threading
import time

import behave
from fake_platform import LOOPBACK
from platform_world import HOST
from platform_world import STEP_TIMEOUT_S

# The balancer opens no more connections from then on.
BALANCER_LAG_S = 2.0
LOAD_S = 0.5
LENGTH = re.compile(rb"Content-Length: (\d+)\r\n")


def build_query(number):
    return build_request(b"GET /query/%d" % number, b"stop-%d" % number)


def build_posting(number):
    return build_request(
        b"POST /post/%d" % number,
        b"late-%d" % number,
        b"Content-Length: 4\r\n\r\nbody",
    )


def build_request(target, request_id, rest=b"\r\n"):
    return (
        b"%s HTTP/1.1\r\nHost: %s\r\nBluebellbay-Request-Id: %s\r\n"
        b"Bluebellbay-Deadline-Ms: 5000\r\n%s"
    ) % (target, HOST.encode(), request_id, rest)


class StoppedCaller(threading.Thread):
    """Sends queries on one connection after another until told to end.

    :ivar faults: What was received in place of a whole answer.
    """

    def __init__(self, *, port, number, ahead):
        super().__init__(daemon=True)
        self.faults = []
        self.answered = 0
        self.no_new_connections = threading.Event()
        self._port = port
        self._number = number * 100_000
        self._ahead = ahead

    def run(self):
        while not self.no_new_connections.is_set():
            with connect(self._port) as connection:
                while self._send(connection):
                    pass

    def _send(self, connection):
        self._number += self._ahead
        queries = [build_query(self._number + n) for n in range(self._ahead)]
        try:
            connection.sendall(b"".join(queries))
            stream = connection.makefile("rb")
            closes = [read_answer(stream) for _ in queries]
        except (OSError, ValueError) as error:
            self.faults.append(repr(error))
            return False
        self.answered += len(closes)
        return not closes[-1]


def connect(port):
    return socket.create_connection((LOOPBACK, port), STEP_TIMEOUT_S)


def read_answer(stream):
    """Read one answer; return whether it announces a close."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = stream.readline()
        if not line:
            raise ValueError(f"connection closed after {head!r}")
        head += line
    length = int(LENGTH.search(head)[1])
    body = stream.read(length)
    if not head.startswith(b"HTTP/1.1 200 ") or len(body) != length:
        raise ValueError(f"{head!r} with {len(body)} bytes")
    return b"Connection: close\r\n" in head


@behave.when(
    "{count:d} callers keep sending queries, every second one two at a time"
)
def start_callers(context, count):
    port = context.platform.program.ports[0]
    context.callers = [
        StoppedCaller(port=port, number=number + 1, ahead=1 + number % 2)
        for number in range(count)
    ]
    for caller in context.callers:
        caller.start()
    time.sleep(LOAD_S)


@behave.when(
    "a caller sends half of a query that it completes {seconds:g} s after the "
    "stop"
)
def send_half(context, seconds):
    context.complete_after_s = seconds


@behave.when("the program receives SIGTERM, SIGHUP and SIGTERM again")
def stop_program(context):
    process = context.platform.program.process
    query = build_query(1)
    process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    sleep_until(stopped_at + BALANCER_LAG_S)
    context.half_sent = connect(context.platform.program.ports[0])
    context.half_sent.sendall(query[:40])
    for caller in context.callers:
        caller.no_new_connections.set()
    process.send_signal(signal.SIGTERM)
    sleep_until(stopped_at + context.complete_after_s)
    context.half_sent.sendall(query[40:])


def sleep_until(when):
    time.sleep(max(0.0, when - time.monotonic()))


@behave.then("every query was answered whole")
def check_answered_whole(context):
    assert read_answer(context.half_sent.makefile("rb"))
    for caller in context.callers:
        caller.join(STEP_TIMEOUT_S)
        assert not caller.is_alive()
        assert not caller.faults, caller.faults[:3]
        assert caller.answered
    print(sum(caller.answered for caller in context.callers), "answered")


@behave.when("posting servers take {seconds:d} s a posting")
def delay_postings(context, seconds):
    for server in context.platform.posting_servers:
        server.delay_s = seconds


@behave.when(
    "a posting is sent {first_s:g} s later, and half of another one that is "
    "whole after {second_s:g} s"
)
def send_late_postings(context, first_s, second_s):
    stopped_at = time.monotonic()
    port = context.platform.program.ports[0]
    sleep_until(stopped_at + first_s)
    context.late = [connect(port), connect(port)]
    context.late[0].sendall(build_posting(1))
    posting = build_posting(2)
    context.late[1].sendall(posting[:40])
    sleep_until(stopped_at + second_s)
    context.late[1].sendall(posting[40:])
    context.sent_at = time.monotonic()


@behave.then("the first posting is answered {status:d} as it may have run")
def check_first_posting(context, status):
    # The second one is read first, as it is due sooner.
    context.second_line = context.late[1].makefile("rb").readline()
    context.second_took_s = time.monotonic() - context.sent_at
    line = context.late[0].makefile("rb").readline()
    assert line.split()[1:2] == [b"%d" % status], line


@behave.then(
    "the second posting is answered {status:d} within {seconds:g} s and ran "
    "nowhere"
)
def check_second_posting(context, status, seconds):
    line = context.second_line
    assert line.split()[1:2] == [b"%d" % status], line
    assert context.second_took_s < seconds, context.second_took_s
    ran = [
        path
        for server in context.platform.posting_servers
        for _, path, _ in server.ran
    ]
    assert ran == ["/post/1"], ran
