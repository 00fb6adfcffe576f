"""A watch that is cut gives replicas that are gone more time."""

import asyncio
import pathlib
import random
import sys
import time
from typing import Any

import standins

FOLDER = pathlib.Path(__file__).resolve().parent
NODES = 4
SHARDS = 20
DRAIN_S = 3.0
# Of 40 replicas four leave in a round: 0.1, where `scale_in` has up to 0.13.
LEAVING = 4
GAP_S = 0.5
# A waiting watch is cut once in a round, this long after the first removal.
CUT_AFTER_S = 2.0
# How long a replica serves after its removal: `drain-ms`, and "a little longer
# (at times many seconds)".
SERVES_ON_S = 5.0
REPLICA_PAUSE_S = 0.150
REPLICA_PAUSE_EVERY_S = 3.6
ROUNDS = 5


class Work:
    """Times of a shard's work, with the pauses that replicas have."""

    def __init__(self, rng: Any) -> None:
        self._rng = rng
        self._phase = rng.random() * REPLICA_PAUSE_EVERY_S

    def __call__(self) -> Any:
        work_s = self._rng.uniform(0.005, 0.020)
        since = (time.monotonic() + self._phase) % REPLICA_PAUSE_EVERY_S
        if since < REPLICA_PAUSE_S:
            work_s += REPLICA_PAUSE_S - since
        return work_s


async def press(world: Any, client: Any, number: Any, stopped: Any) -> None:
    """Send queries one by one."""
    count = 0
    while not stopped.is_set():
        count += 1
        await client.call(
            f"{number:02d}-{count:05d}", "/search/lot", deadline_ms=2000
        )
        await asyncio.sleep(0.15)
    client.close()


async def leave(world: Any, replica: Any, number: Any) -> Any:
    """Let a replica leave; return its requests that came too late."""
    write = world.record.write
    await world.store.remove(f"servers/{replica.name}")
    write(f"round {number}: the entry of {replica.name} is removed")
    left_at = time.monotonic()
    await asyncio.sleep(SERVES_ON_S)
    replica.stop()
    write(f"round {number}: {replica.name} exits")
    late = [
        arrival
        for arrival in replica.arrivals
        if arrival.at > left_at + DRAIN_S
    ]
    for arrival in late:
        write(
            f"DRAIN: {arrival.replica} got {arrival.request_id} from "
            f"{arrival.node} {arrival.at - left_at:.3f} s after the ack, "
            f"sent by its client {arrival.sent_at - left_at:.3f} s after it"
        )
    return len(late)


async def play_round(world: Any, number: Any, replicas: Any) -> Any:
    """Let replicas leave shortly one after the other."""
    leaving = []
    for replica in replicas:
        leaving.append(asyncio.create_task(leave(world, replica, number)))
        await asyncio.sleep(GAP_S)
    if standins.is_troubled():
        await asyncio.sleep(CUT_AFTER_S - LEAVING * GAP_S)
        await world.store.cut_watches()
        world.record.write(f"round {number}: the watches that wait are cut")
    return sum(await asyncio.gather(*leaving))


async def play(world: Any) -> Any:
    await world.start_store()
    rng = random.Random(4)
    services = [f"shard-{number}" for number in range(SHARDS)]
    for service in services:
        for side in "ab":
            await world.add_replica(
                name=f"{service}-{side}",
                service=service,
                slots=2,
                queue=12,
                work_s=Work(rng),
            )
    route = standins.build_route(
        "search",
        shards=services,
        **{
            "timeout-ms": 2000,
            "target-latency-ms": 120,
            "top-k": 10,
            "min-shard-ratio": 0.75,
        },
    )
    await world.store.put(
        "op/config", standins.build_configuration(3, [route], services)
    )
    for _ in range(NODES):
        await world.add_node()
    for node in world.nodes:
        await node.wait_until_ready()
    stopped = asyncio.Event()
    clients = [
        asyncio.create_task(
            press(
                world,
                standins.Client(
                    record=world.record, node=world.nodes[number % NODES]
                ),
                number,
                stopped,
            )
        )
        for number in range(2 * NODES)
    ]
    # Nothing counts before the machines have been calm for contact-ms.
    await asyncio.sleep(5)
    late = 0
    for number in range(ROUNDS):
        first = LEAVING * number
        names = [f"shard-{shard}-b" for shard in range(first, first + LEAVING)]
        late += await play_round(
            world,
            number,
            [replica for replica in world.replicas if replica.name in names],
        )
        await asyncio.sleep(2 + rng.random())
    stopped.set()
    await asyncio.gather(*clients)
    world.record.write(f"{late} requests broke DRAIN")
    return late > 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play, 80))
