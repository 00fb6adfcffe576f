"""Large entries that a node has missed keep all later changes from it."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import harness  # noqa: E402

SERVICE = "desk"
ZONES = ("zone-a", "zone-b", "zone-c")
# Failure domain of each entry VM, as in a small deployment.
NODE_ZONES = ("zone-a", "zone-a", "zone-b", "zone-c")
SLOTS = 16
WORK_S = 0.01
# Entries of another writer, each within value-bytes, and the pause between.
ENTRIES = 20
ENTRY_BYTES = 1_000_000
ENTRY_GAP_S = 0.2
# The store turns one machine away for this long, while they are written.
TURNED_AWAY_S = 4.5
# From then to the change of the configuration; contact-ms is 4 s.
CALM_S = 5.0
CONFIG_APPLY_S = 3.0
MARGIN_S = 0.1
WATCHED_S = 10.0
GAP_S = 0.1
DEADLINE_S = 2.0


class Door:
    """The store as one machine meets it.

    :param store: The store.
    """

    def __init__(self, store: harness.Store) -> None:
        self.server = harness.Server(self._handle)
        self.refuses = False
        self._store = store

    async def _handle(self, request: harness.Message) -> bytes:
        if not self.refuses:
            answer = await self._store.handle(request)
            if not self.refuses:
                return answer
        return harness.build_answer(503, b"{}")


def build_configuration(version: int, prefix: str) -> dict[str, object]:
    """Build a configuration with a lasting route and one that moves.

    :param version: Its version.
    :param prefix: Prefix of the second route.
    """
    common = {
        "hostname": harness.HOST,
        "service": SERVICE,
        "type": "safe",
        "timeout-ms": 2000,
        "target-latency-ms": 500,
        "max-attempts": 2,
        "priority": 0,
    }
    return {
        "version": version,
        "routes": [
            {**common, "name": "lasting", "prefix": "/lasting/"},
            {**common, "name": prefix.strip("/"), "prefix": prefix},
        ],
        "services": [
            {
                "name": SERVICE,
                "health-check-path": "/health",
                "max-connections": 110,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


async def start_installation(
    folder: pathlib.Path,
    nodes: list[harness.Node],
    record: harness.Record,
    ran: set[str],
) -> tuple[harness.Store, Door]:
    """Start the store, the replicas and the entry VMs.

    :param folder: Folder for settings and logs.
    :param nodes: Filled with the processes.
    :param record: What was sent, answered and run.
    :param ran: Filled with the ids of the requests that run.
    :returns: The store, and the first entry VM's way to it.
    """

    def note_run(replica: harness.Replica, request: harness.Message) -> None:
        request_id = request.headers["bluebellbay-request-id"]
        record.write(f"run {request_id} {request.start[1]} at {replica.name}")
        ran.add(request_id)

    store = harness.Store()
    await store.server.start()
    for number, zone in enumerate(ZONES):
        replica = harness.Replica(
            name=f"i-{number}",
            service=SERVICE,
            zone=zone,
            slots=SLOTS,
            work_s=WORK_S,
            on_run=note_run,
        )
        await replica.server.start()
        store.put(f"servers/{replica.name}", replica.build_entry())
    store.put("op/config", build_configuration(7, "/dropped/"))
    door = Door(store)
    await door.server.start()
    for number, zone in enumerate(NODE_ZONES, 1):
        nodes.append(
            harness.Node(
                name=f"entry-{number}",
                zone=zone,
                folder=folder,
                settings=lambda node, first: harness.build_settings(
                    node,
                    first_start=first,
                    store_port=(
                        door.server.port
                        if node is nodes[0]
                        else store.server.port
                    ),
                    zones=ZONES,
                ),
            )
        )
    for node in nodes:
        node.start()
    await harness.wait_until_ready(nodes)
    await asyncio.sleep(harness.LEAD_S)
    return store, door


async def play(
    folder: pathlib.Path,
    record: harness.Record,
    nodes: list[harness.Node],
    trouble: bool,
) -> bool:
    """Drop a route after the entries, and look for requests on it.

    :param folder: Folder for settings and logs.
    :param record: What was sent, answered and run.
    :param nodes: Filled with the processes.
    :param trouble: Whether there are the large entries.
    :returns: Whether the rule held.
    """
    ran: set[str] = set()
    store, door = await start_installation(folder, nodes, record, ran)
    door.refuses = True
    record.write(f"the store turns {nodes[0].name} away")
    began_at = record.now()
    for number in range(ENTRIES if trouble else 0):
        store.put_bytes(f"servers/junk-{number}", b"\xff" * ENTRY_BYTES)
        record.write(f"another writer's entry {number}")
        await asyncio.sleep(ENTRY_GAP_S)
    await asyncio.sleep(began_at + TURNED_AWAY_S - record.now())
    door.refuses = False
    record.write(f"the store serves {nodes[0].name} again")
    await asyncio.sleep(CALM_S)
    await harness.call(
        nodes[0].front,
        "GET",
        "/dropped/first",
        headers={
            "Bluebellbay-Request-Id": "first",
            "Bluebellbay-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        },
        timeout_s=DEADLINE_S,
    )
    store.put("op/config", build_configuration(10, "/added/"))
    acked_at = time.monotonic()
    record.write("ack of a version without /dropped/")
    late: dict[str, list[float]] = {node.name: [] for node in nodes}

    async def watch(number: int, node: harness.Node) -> None:
        count = 0
        while (age_s := time.monotonic() - acked_at) < WATCHED_S:
            count += 1
            request_id = f"{number}{count:04x}"
            record.write(f"send {request_id} to {node.name}")
            answer = await harness.call(
                node.front,
                "GET",
                "/dropped/one",
                headers={
                    "Bluebellbay-Request-Id": request_id,
                    "Bluebellbay-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                },
                timeout_s=DEADLINE_S,
            )
            record.write(f"answer {request_id} {answer and answer.start[1]}")
            if request_id in ran and age_s > CONFIG_APPLY_S + MARGIN_S:
                late[node.name].append(age_s)
            await asyncio.sleep(GAP_S)

    await asyncio.gather(
        *(watch(number, node) for number, node in enumerate(nodes))
    )
    if not ran:
        raise harness.CannotRun("no request has run")
    total = sum(len(ages) for ages in late.values())
    behind = sum(bool(ages) for ages in late.values())
    last = max((max(ages) for ages in late.values() if ages), default=0.0)
    text = (
        f"{total} requests ran on a dropped route, at {behind} of "
        f"{len(nodes)} nodes, sent up to {last:.2f} s after the ack"
    )
    record.write(text)
    print(text)
    return not total


if __name__ == "__main__":
    sys.exit(harness.run_case(HERE, play))
