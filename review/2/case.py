"""One unreadable entry under ``servers/`` stops all changes, for good."""

import asyncio
import pathlib
import signal
import sys
import time
from typing import Any

import standins

FOLDER = pathlib.Path(__file__).resolve().parent
NODES = 4
APPLY_S = 3.0
# What another writer left: a structure that holds itself, written until it
# was cut. It is 24 kB long; a value may have 1 MiB.
LEVELS = 2000
FOREIGN_ENTRY = b'{"parent": ' * LEVELS + b"null" + b"}" * LEVELS
# After it: a change of the configuration, a replica that drains, a restart.
OLD_SERVICE = "stock-1"
NEW_SERVICE = "stock-2"


async def press(
    world: Any, client: Any, number: Any, stopped: Any, answers: Any
) -> None:
    """Send safe requests one by one, and note what ran them."""
    count = 0
    while not stopped.is_set():
        count += 1
        request_id = f"{number:02d}-{count:05d}"
        sent_at = time.monotonic()
        answer = await client.call(request_id, "/stock/ink", deadline_ms=2000)
        answers.append((sent_at, request_id, answer))
        await asyncio.sleep(0.1)
    client.close()


def build_configuration(version: Any, service: Any) -> Any:
    route = standins.build_route("stock", service=service)
    return standins.build_configuration(
        version, [route], [OLD_SERVICE, NEW_SERVICE], connections=110
    )


async def restart(world: Any, node: Any) -> None:
    """Stop a process as planned, and start it again."""
    node.signal(signal.SIGTERM)
    await node.process.wait()
    node.write_settings(first_start=False)
    await node.start()
    started_at = world.record.now()
    while world.record.now() < started_at + 12:
        if await node.is_ready():
            world.record.write(f"{node.name} is ready again")
            return
        await asyncio.sleep(0.2)
    world.record.write(f"{node.name} isn't ready 12 s after its restart")


def judge(world: Any, answers: Any, due_at: Any) -> Any:
    """Tell whether CONFIG was broken."""
    late = [
        (sent_at, request_id)
        for sent_at, request_id, answer in answers
        if sent_at > due_at
        and answer.headers.get(
            "bluebellbay-response-signature", ""
        ).startswith(OLD_SERVICE)
    ]
    world.record.write(
        f"CONFIG: {len(late)} requests that were sent later than "
        f"{APPLY_S} s after the ack ran at the old service: "
        f"{[request_id for _, request_id in late][:9]}"
    )
    if late:
        world.record.write(
            f"the last one was sent {late[-1][0] - due_at + APPLY_S:.1f} s "
            "after the ack"
        )
    return bool(late)


async def play(world: Any) -> Any:
    await world.start_store()
    for service in (OLD_SERVICE, NEW_SERVICE):
        for number in range(3):
            await world.add_replica(
                name=f"{service}-{number}",
                service=service,
                slots=4,
                queue=16,
                work_s=lambda: 0.05,
            )
    await world.store.put("op/config", build_configuration(3, OLD_SERVICE))
    for _ in range(NODES):
        await world.add_node()
    for node in world.nodes:
        await node.wait_until_ready()
    stopped = asyncio.Event()
    answers: list[Any] = []
    clients = [
        asyncio.create_task(
            press(
                world,
                standins.Client(
                    record=world.record, node=world.nodes[number % NODES]
                ),
                number,
                stopped,
                answers,
            )
        )
        for number in range(2 * NODES)
    ]
    await asyncio.sleep(5)
    if standins.is_troubled():
        await world.store.put("servers/i-7f3a91c2", FOREIGN_ENTRY)
        world.record.write("another writer's entry is in the store")
    await asyncio.sleep(5)
    await world.store.put("op/config", build_configuration(5, NEW_SERVICE))
    due_at = time.monotonic() + APPLY_S
    world.record.write("version 5 is acknowledged")
    await asyncio.sleep(20)
    broken = judge(world, answers, due_at)
    await restart(world, world.nodes[0])
    stopped.set()
    await asyncio.gather(*clients)
    return broken


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play, 80))
