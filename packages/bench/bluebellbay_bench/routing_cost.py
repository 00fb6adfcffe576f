"""What a wide query costs the routing core, asked alone and divided.

Run by ``python -m bluebellbay_bench.routing_cost``. No socket is opened; the
replies and the peers' answers are made up at once.
"""

import argparse
from collections.abc import Sequence
import dataclasses
import random
import sys
import time

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.command import Command
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.route import Idempotency
from bluebellbay.protocol.route import Route
from bluebellbay.protocol.route import RouteConfiguration
from bluebellbay.protocol.route import ScatterRule
from bluebellbay.protocol.route import ServiceLimits
from bluebellbay.protocol.router_rules import RouterRules

DOMAIN = "domain"
HOST = "calls.example"
RECORDS = 60
MOST_RECORDS = 50
BODY = random.Random(1).randbytes(16 * RECORDS)
GAP_S = 0.1
WARM_QUERIES = 20
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingCost:
    """What one query costs the node that its caller reached.

    :param calls: Attempts and calls of peers.
    :param core_us: Microseconds in the core.
    """

    calls: float
    core_us: float


def build_core(*, shards: int, nodes: int, seed: int) -> RoutingCore:
    """Build a core that knows a set of shards and its peers.

    :param shards: Shards, a replica each.
    :param nodes: Nodes of the failure domain, this one included.
    :param seed: Seed of its random source.
    :returns: The core.
    """
    names = tuple(f"shard-{number}" for number in range(shards))
    core = RoutingCore(
        rules=RouterRules(
            node="node-0", failure_domain=DOMAIN, first_start=True
        ),
        rng=random.Random(seed),
    )
    core.step(NodesListed(nodes=_list_nodes(nodes)), 0.0)
    core.step(ConfigurationReceived(configuration=_configure(names)), 0.0)
    core.step(ReplicasListed(entries=_list_replicas(names)), 0.0)
    return core


def measure(*, shards: int, nodes: int, queries: int) -> RoutingCost:
    """Run queries one after the other and average their cost.

    :param shards: Shards of each query.
    :param nodes: Nodes of the failure domain, this one included.
    :param queries: How many.
    :returns: The mean.
    """
    core = build_core(shards=shards, nodes=nodes, seed=1)
    calls = 0
    spent_s = 0.0
    for number in range(WARM_QUERIES + queries):
        if number == WARM_QUERIES:
            calls, spent_s = 0, 0.0
        started = time.process_time()
        calls += _run_query(core, number, GAP_S * number)
        spent_s += time.process_time() - started
    return RoutingCost(
        calls=calls / queries, core_us=US_PER_S * spent_s / queries
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the costs.

    :param arguments: Arguments; the default is those of the process.
    :returns: The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shards", type=int, default=90)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--queries", type=int, default=200)
    options = parser.parse_args(arguments)
    for name, nodes in (("asked alone", 1), ("divided", options.nodes)):
        cost = measure(
            shards=options.shards, nodes=nodes, queries=options.queries
        )
        print(
            f"{name}: {cost.calls:.1f} calls, "
            f"{cost.core_us / 1000:.2f} ms in the core a query, "
            f"{cost.core_us / cost.calls:.1f} us a call"
        )
    return 0


def _run_query(core: RoutingCore, number: int, now: float) -> int:
    request = RoutedRequest(
        request_id=f"request-{number}",
        method=b"GET",
        target=b"/query/1",
        host=HOST,
        forwarded=b"",
        patience_s=1.0,
    )
    opened = ExchangeOpened(exchange=number, request=request, age_s=0.0)
    calls = [
        command
        for command in core.step(opened, now)
        if isinstance(command, SendAttempt | DelegateQuery)
    ]
    for command in calls:
        core.step(_answer(command), now)
    return len(calls)


def _answer(command: Command) -> AttemptReplied | DelegationAnswered:
    if isinstance(command, SendAttempt):
        reply = ReplicaReply(
            status=200,
            digest=command.replica.replica_id,
            forwarded=b"",
            body=BODY,
        )
        return AttemptReplied(attempt=command.attempt, reply=reply)
    assert isinstance(command, DelegateQuery)  # noqa: S101
    answer = MergedAnswer(
        exchange=0,
        records=BODY[: 16 * MOST_RECORDS],
        digests=command.terms.shards,
        missing=0,
    )
    return DelegationAnswered(attempt=command.attempt, answer=answer)


def _list_nodes(count: int) -> tuple[NodeEntry, ...]:
    return tuple(
        NodeEntry(
            name=f"node-{number}",
            address=f"10.0.0.{number}:7000",
            failure_domain=DOMAIN,
        )
        for number in range(count)
    )


def _list_replicas(names: tuple[str, ...]) -> tuple[ReplicaEntry, ...]:
    return tuple(
        ReplicaEntry(
            replica_id=f"replica-{name}",
            service=name,
            address="10.0.1.1:9000",
            failure_domain=DOMAIN,
            slots=2,
            draining=False,
            started_ms=1,
            sequence=1,
        )
        for name in names
    )


def _configure(names: tuple[str, ...]) -> RouteConfiguration:
    route = Route(
        name="query",
        host=HOST,
        prefix="/query/",
        idempotency=Idempotency.IDEMPOTENT,
        timeout_s=2.0,
        objective_s=0.15,
        most_attempts=2,
        rank=0,
        scatter=ScatterRule(
            shards=names, most_records=MOST_RECORDS, min_coverage=0.95
        ),
    )
    return RouteConfiguration(
        version=1,
        routes=(route,),
        services={
            name: ServiceLimits(name=name, connections=25) for name in names
        },
        limits=CallerLimits(),
    )


if __name__ == "__main__":
    sys.exit(main())
