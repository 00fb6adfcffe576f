"""Helpers for steps about the routing core."""

from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import RoutingHarness

ROUTE = "route"


SERVICE = "service"


def start(context, *routes, replicas=()):
    context.harness = RoutingHarness()
    context.exchange = 0
    if routes:
        context.harness.configure(5, *routes)
    context.harness.add_replicas(*replicas)


def list_shards(count):
    return [f"shard-{number}" for number in range(count)]


def send_request(context, **fields):
    context.exchange += 1
    context.harness.open_exchange(context.exchange, ROUTE, **fields)


def find_answer(context):
    return context.harness.answers.get(context.exchange)


def reply_to_attempts(context, count=None, *, skip=(), skip_replica=None):
    harness = context.harness
    replicas = {
        number: harness.attempts[number].command.replica
        for number in harness.list_open_attempts()
    }
    open_ = [
        number
        for number, replica in replicas.items()
        if replica.service not in skip and replica.replica_id != skip_replica
    ]
    for number in open_[:count]:
        service = harness.attempts[number].command.replica.service
        harness.reply(number, digest=service, body=build_records(service))


def build_records(service):
    return b"".join(
        f"{service}-{number}".ljust(16)[:16].encode() for number in range(3)
    )


def list_replicas(count):
    return [
        build_replica(f"r{number}", SERVICE) for number in range(1, count + 1)
    ]


def find_last_command(context, kind):
    return [
        command
        for command in context.harness.commands
        if isinstance(command, kind)
    ][-1]


def start_query(context, count):
    shards = list_shards(count)
    start(
        context,
        build_route(ROUTE, shards=shards),
        replicas=[build_replica(f"r-{shard}", shard) for shard in shards],
    )
