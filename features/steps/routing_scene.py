"""What steps about the routing core share."""

from routing_world import build_replica
from routing_world import build_route
from routing_world import RoutingWorld

ROUTE = "route"


SERVICE = "service"


def start(context, *routes, replicas=()):
    context.world = RoutingWorld()
    context.exchange = 0
    if routes:
        context.world.configure(5, *routes)
    context.world.see(*replicas)


def list_shards(count):
    return [f"shard-{number}" for number in range(count)]


def arrive(context, **fields):
    context.exchange += 1
    context.world.open(context.exchange, ROUTE, **fields)


def find_answer(context):
    return context.world.answers.get(context.exchange)


def reply_to(context, count=None, *, skip=(), skip_replica=None):
    world = context.world
    replicas = {
        number: world.arrivals[number].command.replica
        for number in world.list_open()
    }
    open_ = [
        number
        for number, replica in replicas.items()
        if replica.service not in skip and replica.replica_id != skip_replica
    ]
    for number in open_[:count]:
        service = world.arrivals[number].command.replica.service
        world.reply(number, digest=service, body=build_records(service))


def build_records(service):
    return b"".join(
        f"{service}-{number}".ljust(16)[:16].encode() for number in range(3)
    )


def list_replicas(count):
    return [
        build_replica(f"r{number}", SERVICE) for number in range(1, count + 1)
    ]


def read_last(context, kind):
    return [
        command
        for command in context.world.commands
        if isinstance(command, kind)
    ][-1]


def start_query(context, count):
    shards = list_shards(count)
    start(
        context,
        build_route(ROUTE, shards=shards),
        replicas=[build_replica(f"r-{shard}", shard) for shard in shards],
    )
