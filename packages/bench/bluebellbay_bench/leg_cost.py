"""Measures the processor time of a leg: the core, and the call around it.

One run prints the core alone, one treq call a leg, one call of the daemon's
own pool a leg, and several legs to a server in one call, as ratios.
"""

import argparse
import functools
import multiprocessing
import random
import socket
import sys
import time
from typing import Any

import pynng
import tabulate
import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.endpoints import serverFromString
from twisted.internet.task import react
from twisted.web.client import HTTPConnectionPool
from twisted.web.resource import Resource
from twisted.web.server import Request
from twisted.web.server import Site

from bluebellbay.coordination.core import Core
from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import decode_peer
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.codec import encode_peer
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import QueryArrived
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.protocol.peer import ConfigurationDigest
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmList
from bluebellbay.protocol.vm import VmRole
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.pool import ConnectionPool
from bluebellbay.transport.pool import PooledCall
from bluebellbay_bench.situation import Steady
from bluebellbay_bench.world import build_settings
from bluebellbay_bench.world import INDEX
from bluebellbay_bench.world import split_key_space

US_PER_S = 1_000_000
CONNECTIONS = 8
BATCH = 10
READY_TIMEOUT_S = 10.0


def drive_core(queries: int) -> float:
    """Run queries through a core whose servers answer at once.

    :param queries: Number of queries.
    :returns: Processor time of a leg in seconds.
    """
    situation = Steady()
    shape = situation.shape
    core = Core(settings=build_settings(shape, {}), rng=random.Random(1))
    core.state.configuration.accept(situation.build_configuration())
    now = 1000.0
    names = core.state.servers.indexes[INDEX].service_names
    holdings = split_key_space(shape.services)
    entries = tuple(
        VmEntry(
            name=f"{service}-{letter}",
            role=VmRole.BACKEND,
            failure_domain="bench-a",
            address="127.0.0.1:1",
            index=INDEX,
            service=service,
        )
        for service in names
        for letter in "ab"
    )
    core.step(VmListRead(vm_list=VmList(sequence=1, vms=entries)), now)
    for entry in entries:
        holding = holdings[names.index(entry.service)]
        report = ServerReport(server=entry.name, holdings=(holding,))
        core.step(ServerPolled(server=entry.name, report=report), now)
    legs = 0
    started = time.process_time()
    for number in range(queries):
        now += 0.02
        legs += _run_query(core, number, now)
    return (time.process_time() - started) / legs


def _run_query(core: Core, number: int, now: float) -> int:
    request = QueryRequest(
        request_id=f"q{number}", index=INDEX, profile="first"
    )
    event = QueryArrived(caller=number, request=request)
    sent = [
        item for item in core.step(event, now) if isinstance(item, SendLeg)
    ]
    for command in sent:
        leg = command.leg
        reply = LegReply(
            attempt=leg.attempt,
            snapshot=leg.snapshot,
            start=leg.start,
            end=leg.end,
        )
        core.step(
            LegReplied(
                server=command.server, attempt=leg.attempt, reply=reply
            ),
            now + 0.01,
        )
    return len(sent)


def drive_peers(messages: int) -> float:
    """Send messages from one peer's socket to another's in this process.

    :param messages: Number of messages.
    :returns: Processor time of a message in seconds, sent and received.
    """
    message = ConfigurationDigest(revision=1, change_id="bench")
    with pynng.Pull0(listen="tcp://127.0.0.1:0") as receiver:
        port = receiver.listeners[0].local_address.port
        with pynng.Push0(dial=f"tcp://127.0.0.1:{socket.ntohs(port)}") as out:
            started = time.process_time()
            for number in range(messages):
                envelope = PeerEnvelope(
                    sender="a", incarnation=1, sequence=number, message=message
                )
                out.send(encode_peer(envelope))
                decode_peer(receiver.recv()).ok  # noqa: B018
            return (time.process_time() - started) / messages


class _Server(Resource):
    isLeaf = True  # noqa: N815

    def render_POST(self, request: Request) -> bytes:  # noqa: N802
        content: Any = request.content
        legs = decode_json(content.read(), tuple[LegRequest, ...]).ok
        replies = [
            LegReply(
                attempt=leg.attempt,
                snapshot=leg.snapshot,
                start=leg.start,
                end=leg.end,
            )
            for leg in legs
        ]
        return encode_json(replies)


def serve(port: Any) -> None:
    """Serve legs in a process of its own.

    :param port: Told the port.
    """
    endpoint = serverFromString(reactor, "tcp:0:interface=127.0.0.1")
    listening = endpoint.listen(Site(_Server()))
    listening.addCallback(lambda found: port.send(found.getHost().port))
    reactor.run()  # type: ignore[misc]


def build_body(legs: int, number: int) -> bytes:
    """Build the body of a call.

    :param legs: Legs in the call.
    :param number: Number of the call.
    :returns: JSON.
    """
    return encode_json(
        [
            LegRequest(
                attempt=f"{number}-{leg}",
                request_id=f"q{number}",
                index=INDEX,
                service=INDEX,
                snapshot=1,
                start=0,
                end=1,
                query={"text": "pigment"},
            )
            for leg in range(legs)
        ]
    )


async def call_with_treq(port: int, calls: int, legs: int) -> float:
    """Make calls with treq over persistent connections.

    :param port: Port of the server.
    :param calls: Number of calls.
    :param legs: Legs in each call.
    :returns: Processor time of a leg in seconds.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = CONNECTIONS
    url = f"http://127.0.0.1:{port}/"

    async def run(number: int) -> None:
        for turn in range(calls // CONNECTIONS):
            body = build_body(legs, number * calls + turn)
            response = await treq.post(url, data=body, pool=pool)
            found = await response.content()
            decode_json(found, tuple[LegReply, ...]).ok  # noqa: B018

    started = time.process_time()
    runs = [Deferred.fromCoroutine(run(n)) for n in range(CONNECTIONS)]
    await gatherResults(runs)
    spent_s = time.process_time() - started
    await pool.closeCachedConnections()
    return spent_s / (calls // CONNECTIONS * CONNECTIONS * legs)


async def call_with_pool(port: int, calls: int, legs: int) -> float:
    """Make calls with the daemon's own pool.

    :param port: Port of the server.
    :param calls: Number of calls.
    :param legs: Legs in each call.
    :returns: Processor time of a leg in seconds.
    """
    pool = ConnectionPool(
        reactor=reactor,
        address=f"127.0.0.1:{port}",
        limit=CONNECTIONS,
        report_in_force=lambda limit: None,
    )

    async def run(number: int) -> None:
        for turn in range(calls // CONNECTIONS):
            body = build_body(legs, number * calls + turn)
            ended: Deferred[Any] = Deferred()
            pool.submit(
                PooledCall(
                    method=b"POST",
                    path=b"/",
                    timeout_s=READY_TIMEOUT_S,
                    build_body=functools.partial(bytes, body),
                    report=ended.callback,
                )
            )
            end = await ended
            assert isinstance(end, CallAnswered)  # noqa: S101
            decode_json(end.body, tuple[LegReply, ...]).ok  # noqa: B018

    started = time.process_time()
    runs = [Deferred.fromCoroutine(run(n)) for n in range(CONNECTIONS)]
    await gatherResults(runs)
    spent_s = time.process_time() - started
    await pool.stop()
    return spent_s / (calls // CONNECTIONS * CONNECTIONS * legs)


async def measure_all(port: int, calls: int) -> None:
    """Measure every way and print a table.

    :param port: Port of the server.
    :param calls: Number of calls of each way.
    """
    await call_with_treq(port, calls // 4, 1)
    costs = {
        "core": drive_core(max(10, calls // 10)),
        "peer message, sent and received": drive_peers(calls),
        "treq, one leg a call": await call_with_treq(port, calls, 1),
        "pool, one leg a call": await call_with_pool(port, calls, 1),
        f"treq, {BATCH} legs a call": await call_with_treq(port, calls, BATCH),
        f"pool, {BATCH} legs a call": await call_with_pool(port, calls, BATCH),
    }
    base = costs["treq, one leg a call"]
    rows = [
        (name, cost * US_PER_S, cost / base) for name, cost in costs.items()
    ]
    print(
        tabulate.tabulate(
            rows, headers=["way", "us a leg", "by treq"], floatfmt=".3f"
        )
    )


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        prog="python -m bluebellbay_bench.leg_cost"
    )
    parser.add_argument("--calls", type=int, default=4000)
    arguments = parser.parse_args()
    context = multiprocessing.get_context("spawn")
    near, far = context.Pipe()
    server = context.Process(target=serve, args=(far,), daemon=True)
    server.start()
    if not near.poll(READY_TIMEOUT_S):
        sys.exit("the server did not start")
    port = near.recv()
    try:
        react(
            lambda _: Deferred.fromCoroutine(
                measure_all(port, arguments.calls)
            )
        )
    finally:
        server.kill()


if __name__ == "__main__":
    main()
