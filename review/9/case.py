"""The answer of one watch is lost, and copies of the store are seconds old."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import harness  # noqa: E402

SERVICE = "desk"
ZONES = ("zone-a", "zone-b", "zone-c")
SLOTS = 16
WORK_S = 0.01
# How far behind the store a stale read is; see claim.txt.
COPY_LAG_S = 5.5
CONFIG_APPLY_S = 3.0
CONTACT_S = 4.0
# For the way of an answer and of a request.
MARGIN_S = 0.1
# Time between two changes of the configuration.
ROUND_S = 9.0
ROUNDS = 4
GAP_S = 0.05
DEADLINE_S = 2.0


class LosingStore(harness.Store):
    """Loses the answer of a watch, and lets copies lag behind."""

    def __init__(self) -> None:
        super().__init__()
        self.lose_next = False
        self.lost_at: float | None = None
        # Time and revision of each change.
        self._history: list[tuple[float, int]] = []

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item, and note when.

        :param key: Its key.
        :param value: Its value.
        :param lease: The lease that it hangs on.
        """
        super().put(key, value, lease)
        self._history.append((time.monotonic(), self.revision))

    async def _watch(self, query: dict[str, str]) -> bytes:
        answer = await super()._watch(query)
        if self.lose_next and b"op/config" in answer:
            self.lose_next = False
            self.lost_at = time.monotonic()
            # The connection returns nothing further.
            await asyncio.Event().wait()
        return answer

    def _read_range(self, query: dict[str, str]) -> bytes:
        if query.get("allow-stale") != "1":
            return super()._read_range(query)
        until = time.monotonic() - COPY_LAG_S
        seen = [rev for at, rev in self._history if at <= until]
        return harness.build_answer(
            200,
            json.dumps(
                {
                    "items": [],
                    "has-more": False,
                    "store-revision": max(seen, default=1),
                }
            ).encode(),
            (("Content-Type", "application/json"),),
        )


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


async def play(
    folder: pathlib.Path,
    record: harness.Record,
    nodes: list[harness.Node],
    trouble: bool,
) -> bool:
    """Drop routes, and look for requests that still run on them.

    :param folder: Folder for settings and logs.
    :param record: What was sent, answered and run.
    :param nodes: Filled with the processes.
    :param trouble: Whether an answer is lost at each change.
    :returns: Whether the rule held.
    """
    ran: set[str] = set()

    def note_run(replica: harness.Replica, request: harness.Message) -> None:
        request_id = request.headers["bluebellbay-request-id"]
        record.write(f"run {request_id} {request.start[1]} at {replica.name}")
        ran.add(request_id)

    store = LosingStore()
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
    store.put("op/config", build_configuration(7, "/route-0/"))
    node = harness.Node(
        name="entry-1",
        zone=ZONES[0],
        folder=folder,
        settings=lambda node, first: harness.build_settings(
            node,
            first_start=first,
            store_port=store.server.port,
            zones=ZONES,
        ),
    )
    nodes.append(node)
    node.start()
    await harness.wait_until_ready(nodes)
    await asyncio.sleep(harness.LEAD_S)
    late: list[float] = []
    number = 0

    async def fetch(path: str) -> str:
        nonlocal number
        number += 1
        request_id = f"{number:05x}"
        record.write(f"send {request_id} to {path}")
        answer = await harness.call(
            node.front,
            "GET",
            path,
            headers={
                "Bluebellbay-Request-Id": request_id,
                "Bluebellbay-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            },
            timeout_s=DEADLINE_S,
        )
        record.write(f"answer {request_id} {answer and answer.start[1]}")
        return request_id

    for change in range(ROUNDS):
        await fetch(f"/route-{change}/one")
        store.lose_next = trouble
        store.lost_at = None
        store.put(
            "op/config",
            build_configuration(10 + 3 * change, f"/route-{change + 1}/"),
        )
        acked_at = time.monotonic()
        record.write(f"ack of a version without /route-{change}/")
        await asyncio.sleep(0.5)
        if trouble and store.lost_at is None:
            raise harness.CannotRun("no watch told of the change")
        while (age_s := time.monotonic() - acked_at) < ROUND_S:
            request_id = await fetch(f"/route-{change}/one")
            in_touch_s = max(CONFIG_APPLY_S, CONTACT_S if trouble else 0.0)
            if request_id in ran and age_s > in_touch_s + MARGIN_S:
                late.append(age_s)
            await asyncio.sleep(GAP_S)
    text = (
        f"{len(late)} requests ran on a dropped route, sent up to "
        f"{max(late, default=0.0):.2f} s after the ack"
    )
    record.write(text)
    print(text)
    if not ran:
        raise harness.CannotRun("no request has run")
    return not late


if __name__ == "__main__":
    sys.exit(harness.run_case(HERE, play))
