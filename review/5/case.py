"""A replica that is gone gets requests for seconds after a silent failure."""

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
# From DEPLOY.md and the bounds of the small site.
CONTACT_S = 4.0
DRAIN_S = 3.0
# After the failure the entry is removed. A replica then serves on for
# `drain-ms` and "a little longer (at times many seconds)".
REMOVED_AFTER_S = 0.4
SERVES_ON_S = 9.0
REPLICA_PAUSE_S = 0.150
REPLICA_PAUSE_EVERY_S = 3.6
ROUNDS = 5
# Of 40 replicas four go in a round: 0.1, where `scale_in` has up to 0.13.
REMOVED_PER_ROUND = 4


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
    count = 0
    while not stopped.is_set():
        count += 1
        await client.call(
            f"{number:02d}-{count:05d}", "/search/lot", deadline_ms=2000
        )
        await asyncio.sleep(0.15)
    client.close()


async def play_round(world: Any, number: Any, replicas: Any) -> Any:
    """Silence the open connections to the store; then replicas go."""
    write = world.record.write
    if standins.is_troubled():
        silent = sum(proxy.silence() for proxy in world.proxies)
        write(f"round {number}: {silent} connections to the store go silent")
    silenced_at = time.monotonic()
    await asyncio.sleep(REMOVED_AFTER_S)
    for replica in replicas:
        await world.store.remove(f"servers/{replica.name}")
        write(f"round {number}: the entry of {replica.name} is removed")
    removed_at = time.monotonic()
    await asyncio.sleep(SERVES_ON_S)
    late = 0
    # From then on the machines are in touch, and the removal is due.
    since = max(removed_at + DRAIN_S, silenced_at + CONTACT_S)
    for replica in replicas:
        replica.stop()
        write(f"round {number}: {replica.name} exits")
        for arrival in replica.arrivals:
            if min(arrival.sent_at, arrival.at) <= since:
                continue
            late += 1
            write(
                f"DRAIN: {arrival.replica} got {arrival.request_id} from "
                f"{arrival.node} {arrival.at - removed_at:.3f} s after its "
                f"removal, {arrival.at - silenced_at:.3f} s after the failure"
            )
    return late


async def play(world: Any) -> Any:
    await world.start_store()
    rng = random.Random(2)
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
        await world.add_node(through_proxy=True)
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
    await asyncio.sleep(CONTACT_S + 1)
    late = 0
    for number in range(ROUNDS):
        first = REMOVED_PER_ROUND * number
        names = {
            f"shard-{shard}-b"
            for shard in range(first, first + REMOVED_PER_ROUND)
        }
        late += await play_round(
            world,
            number,
            [replica for replica in world.replicas if replica.name in names],
        )
        await asyncio.sleep(CONTACT_S + rng.random())
    stopped.set()
    await asyncio.gather(*clients)
    world.record.write(f"{late} requests broke DRAIN")
    return late > 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play, 105))
