"""Large entries keep all later changes from nodes with thin links."""

import asyncio
import contextlib
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import harness  # noqa: E402

SERVICE = "desk"
ZONES = ("zone-a", "zone-b", "zone-c")
NODE_ZONES = ("zone-a", "zone-b")
SLOTS = 16
WORK_S = 0.01
# Bounds and the thinnest link of grown/hsoc-bay-grown.
CONTACT_S = 5.0
CONFIG_APPLY_S = 5.0
LINK_BYTES_PER_S = 24.5e6 / 8
LINK_CHUNK_BYTES = 8192
LINK_SLACK_S = 0.05
# Entries of another writer, each within value-bytes, and the pause between.
ENTRIES = 10
ENTRY_BYTES = 1_000_000
ENTRY_GAP_S = 0.01
# From the last entry to the change of the configuration.
CALM_S = 8.0
MARGIN_S = 0.2
WATCHED_S = 12.0
GAP_S = 0.1
DEADLINE_S = 2.0


class ThinLink:
    """The way of one machine to the store, over its link.

    :param store_port: Port of the store.
    """

    def __init__(self, store_port: int) -> None:
        self.port = 0
        self._store_port = store_port
        self._free_at = 0.0
        self._tasks: set[asyncio.Task[None] | None] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, harness.LOOPBACK, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            store_reader, store_writer = await asyncio.open_connection(
                harness.LOOPBACK, self._store_port
            )
            up = asyncio.create_task(self._send_up(reader, store_writer))
            await self._send_down(store_reader, writer)
            up.cancel()
            store_writer.transport.abort()
        self._tasks.discard(task)
        writer.transport.abort()

    async def _send_up(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(LINK_CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        writer.transport.abort()

    async def _send_down(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.set_write_buffer_limits(LINK_CHUNK_BYTES)
        while data := await reader.read(LINK_CHUNK_BYTES):
            now = time.monotonic()
            # What a late timer has left unused is made up for.
            self._free_at = max(now - LINK_SLACK_S, self._free_at)
            self._free_at += len(data) / LINK_BYTES_PER_S
            await asyncio.sleep(max(0.0, self._free_at - now))
            if writer.transport.is_closing():
                return
            writer.write(data)
            await writer.drain()


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
                "max-connections": 120,
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
) -> harness.Store:
    """Start the store, the replicas and the entry VMs.

    :param folder: Folder for settings and logs.
    :param nodes: Filled with the processes.
    :param record: What was sent, answered and run.
    :param ran: Filled with the ids of the requests that run.
    :returns: The store.
    """

    def note_run(replica: harness.Replica, request: harness.Message) -> None:
        request_id = request.headers["bluebellbay-request-id"]
        record.write(f"run {request_id} {request.start[1]} at {replica.name}")
        ran.add(request_id)

    store = harness.Store()
    await store.server.start()
    links = []
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
    for number, zone in enumerate(NODE_ZONES, 1):
        link = ThinLink(store.server.port)
        await link.start()
        links.append(link)
        nodes.append(
            harness.Node(
                name=f"entry-{number}",
                zone=zone,
                folder=folder,
                settings=lambda node, first: harness.build_settings(
                    node,
                    first_start=first,
                    store_port=links[nodes.index(node)].port,
                    zones=ZONES,
                    contact_ms=int(CONTACT_S * 1000),
                    limit_ms=int(CONFIG_APPLY_S * 1000),
                ),
            )
        )
    for node in nodes:
        node.start()
    await harness.wait_until_ready(nodes)
    await asyncio.sleep(harness.LEAD_S)
    return store


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
    store = await start_installation(folder, nodes, record, ran)
    for number in range(ENTRIES if trouble else 0):
        store.put_bytes(f"servers/junk-{number}", b"\xff" * ENTRY_BYTES)
        record.write(f"another writer's entry {number}")
        await asyncio.sleep(ENTRY_GAP_S)
    await asyncio.sleep(CALM_S)
    store.put("op/config", build_configuration(10, "/new/"))
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
