"""A second copy of a refusal makes an unsafe request run twice."""

import asyncio
import collections
import pathlib
import random
import sys
from typing import Any

import standins

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICES = ("settlement-1", "settlement-2")
# The figures of the site file's `garble` with `extra late`: at most 0.6 of
# the servers, 0.03 of their answers, for 5 s. Here 0.5 of the servers.
COPY_SHARE = 0.03
WINDOW_S = 5.0
PAUSE_S = 2.0
LENGTH_S = 84.0
# For each service.
CLIENTS = 18


class Copies:
    """Picks the answers of which a second copy is sent: refusals.

    Of all answers of a window that were sent so far, at most
    ``COPY_SHARE`` are picked.
    """

    def __init__(self, *, record: Any, start: Any) -> None:
        self._record = record
        self._start = start
        self._window = -1
        self._answers = 0
        self._copies = 0

    def __call__(self, status: Any) -> Any:
        window, since = divmod(
            self._record.now() - self._start, WINDOW_S + PAUSE_S
        )
        if since >= WINDOW_S:
            return False
        if window != self._window:
            self._window = window
            self._answers = self._copies = 0
        self._answers += 1
        if status != 503:
            return False
        if self._copies + 1 > COPY_SHARE * self._answers:
            return False
        self._copies += 1
        return True


async def press(
    world: Any,
    client: Any,
    *,
    route: Any,
    number: Any,
    ends_at: Any,
    answers: Any,
) -> None:
    """Send unsafe requests one by one; each is a new client attempt."""
    count = 0
    while world.record.now() < ends_at:
        count += 1
        request_id = f"{number:02d}-{count:05d}"
        answers[request_id] = await client.call(
            request_id,
            f"/{route}/lot",
            method="POST",
            body=f"lot {request_id}".encode(),
        )
        # The pause that a refusal asks for, and a moment between requests.
        if answers[request_id].status == 503:
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.02)
    client.close()


def judge(world: Any, answers: Any) -> Any:
    """Tell whether TWICE or REFUSED was broken."""
    runs = collections.Counter(
        arrival.request_id
        for replica in world.replicas
        for arrival in replica.arrivals
        if arrival.ran
    )
    twice = [name for name, count in runs.items() if count > 1]
    refused = [
        name
        for name, answer in answers.items()
        if answer.status in (408, 421, 429, 503) and runs[name]
    ]
    arrivals = sum(len(replica.arrivals) for replica in world.replicas)
    write = world.record.write
    write(
        f"sent {len(answers)}, arrivals {arrivals}, run {sum(runs.values())}"
    )
    write(f"TWICE: {len(twice)} requests ran more than once: {twice[:9]}")
    write(
        f"REFUSED: {len(refused)} answered as not run, but ran: {refused[:9]}"
    )
    return bool(twice or refused)


async def play(world: Any) -> Any:
    await world.start_store()
    rng = random.Random(1)
    replicas = [
        await world.add_replica(
            name=f"{service}-{number}",
            service=service,
            slots=4,
            queue=4,
            work_s=lambda: rng.uniform(0.02, 0.08),
        )
        for service in SERVICES
        for number in range(2)
    ]
    routes = [
        standins.build_route(
            service, service=service, kind="unsafe", **{"max-attempts": 3}
        )
        for service in SERVICES
    ]
    await world.store.put(
        "op/config",
        standins.build_configuration(3, routes, SERVICES, connections=45),
    )
    for _ in range(4):
        await world.add_node()
    for node in world.nodes:
        await node.wait_until_ready()
    start = world.record.now()

    if standins.is_troubled():
        # One of the two replicas of each service is faulty.
        for replica in replicas[::2]:
            replica.sends_copy = Copies(record=world.record, start=start)
    answers = {}
    await asyncio.gather(
        *(
            press(
                world,
                standins.Client(
                    record=world.record, node=world.nodes[number % 4]
                ),
                route=SERVICES[number // CLIENTS],
                number=number,
                ends_at=start + LENGTH_S,
                answers=answers,
            )
            for number in range(CLIENTS * len(SERVICES))
        )
    )
    return judge(world, answers)


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play, 100))
