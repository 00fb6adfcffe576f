"""A replica fails postings that it ran, by a 503 without a promise."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import harness  # noqa: E402

SERVICE = "settlement"
ZONES = ("zone-a", "zone-b", "zone-c")
SLOTS = 4
WORK_S = 0.05
POSTINGS = 120
GAP_S = 0.05
TIMEOUT_S = 5.0
# One replica of three fails this share of its requests; see claim.txt.
FAILED_SHARE = 0.4
FAILURE_STATUS = 503
PROMISES = ("408", "421", "429", "503")


class FailingReplica(harness.Replica):
    """Runs each request, and fails a share of them after the run."""

    def fail_share(self, share: float) -> None:
        """Fail a share of the requests from now on.

        :param share: The share, 0 to 1.
        """
        self._share = share
        self._due = 0.0

    async def run(self, request: harness.Message) -> tuple[int, bytes]:
        """Run a request, then answer it or fail.

        :param request: The request.
        """
        answer = await super().run(request)
        self._due += self._share
        if self._due < 1:
            return answer
        self._due -= 1
        return FAILURE_STATUS, b"failed after the run"


def build_configuration() -> dict[str, object]:
    """Build a configuration with one route that is not idempotent."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "settle",
                "hostname": harness.HOST,
                "prefix": "/settle/",
                "service": SERVICE,
                "type": "unsafe",
                "timeout-ms": 5000,
                "target-latency-ms": 800,
                "max-attempts": 2,
                "priority": 0,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health-check-path": "/health",
                "max-connections": 45,
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
    """Post settlements, and look for one that is denied though it ran.

    :param folder: Folder for settings and logs.
    :param record: What was sent, answered and run.
    :param nodes: Filled with the processes.
    :param trouble: Whether a replica fails.
    :returns: Whether the rule held.
    """
    runs: dict[str, str] = {}
    settled: dict[str, list[str]] = {}

    def note_run(replica: harness.Replica, request: harness.Message) -> None:
        request_id = request.headers["bluebellbay-request-id"]
        posting = json.loads(request.body)["posting"]
        runs[request_id] = replica.name
        settled.setdefault(posting, []).append(request_id)
        record.write(f"run {request_id} of {posting} at {replica.name}")

    store = harness.Store()
    await store.server.start()
    for number, zone in enumerate(ZONES):
        replica = FailingReplica(
            name=f"i-{number}",
            service=SERVICE,
            zone=zone,
            slots=SLOTS,
            work_s=WORK_S,
            on_run=note_run,
        )
        replica.fail_share(FAILED_SHARE if trouble and not number else 0.0)
        await replica.server.start()
        store.put(f"servers/{replica.name}", replica.build_entry())
    store.put("op/config", build_configuration())
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
    denied: list[str] = []

    async def post(number: int) -> None:
        posting = f"lot-{number}"
        body = json.dumps({"posting": posting}).encode()
        for attempt in (1, 2):
            request_id = f"{number:04x}-{attempt}"
            record.write(f"send {request_id} of {posting}")
            answer = await harness.call(
                node.front,
                "POST",
                "/settle/post",
                headers={
                    "Bluebellbay-Request-Id": request_id,
                    "Bluebellbay-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
                },
                timeout_s=TIMEOUT_S,
                body=body,
            )
            status = answer.start[1] if answer else "none"
            record.write(f"answer {request_id} {status}")
            if status not in PROMISES:
                return
            if request_id in runs:
                denied.append(request_id)
            # A promise: it has not run, so the caller sends it once more.
            retry_after = answer.headers.get("retry-after") if answer else ""
            await asyncio.sleep(float(retry_after or 0.0))

    posts = []
    for number in range(POSTINGS):
        posts.append(asyncio.create_task(post(number)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*posts)
    twice = sorted(name for name, ids in settled.items() if len(ids) > 1)
    record.write(f"answered as not run, but ran: {len(denied)} {denied}")
    record.write(f"settled twice: {len(twice)} {twice}")
    if not settled:
        raise harness.CannotRun("no posting has run")
    print(
        f"{POSTINGS} postings, {len(denied)} answered as not run that ran, "
        f"{len(twice)} settled twice"
    )
    return not denied


if __name__ == "__main__":
    sys.exit(harness.run_case(HERE, play))
