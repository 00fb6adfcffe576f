"""Stand-ins for the users' platform, and the processes under test.

The store, the replicas and the callers run on one asyncio loop, and speak
HTTP/1.1 as PROTOCOL.md describes it. The entry VMs are separate processes,
started with the command of the deploy file.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import TextIO
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
# Nothing else uses ports of this address, so that one found free stays free.
NODE_ADDRESS = f"127.71.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250 + 1}"
HOST = "calls.example"
READY_LIMIT_S = 30.0
# Bounds on a page of a range, and how long the store keeps its history.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
# Installations let traffic begin this long after the machines start.
LEAD_S = 12.0
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class CannotRun(Exception):
    """The case could not be played, so that it tells nothing."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """A request or an answer.

    :param start: Parts of the first line.
    :param headers: Values by name in lower case.
    :param body: The whole body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""


class Record:
    """What was sent, answered and run, as lines of a file.

    :param path: The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write a line with the time.

        :param text: The line.
        """
        self._file.write(f"{self.now():9.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message whose body has a length.

    :param reader: The connection.
    :returns: The message; none if the connection ended before it.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(start=lines[0].split(" ", 2), headers=headers, body=body)


def build_answer(
    status: int, body: bytes, headers: Sequence[tuple[str, str]] = ()
) -> bytes:
    """Format an answer.

    :param status: HTTP status.
    :param body: The body.
    :param headers: Further headers.
    """
    lines = [f"HTTP/1.1 {status} Status"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Handler = Callable[[Message], Awaitable[bytes]]


class Server:
    """Serves HTTP on a free port of the loopback address.

    :param handle: Builds the answer to a request.
    """

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        # The loop itself doesn't keep the tasks of connections.
        self._tasks: set[asyncio.Task[Any] | None] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, 0, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                writer.write(await self._handle(request))
                await writer.drain()
        self._tasks.discard(task)
        writer.close()


class Store:
    """The platform's metadata store: items, watches and leases."""

    def __init__(self) -> None:
        self.server = Server(self.handle)
        self.revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        # Time, revision, key and JSON text of each change.
        self._events: list[tuple[float, int, str, str]] = []
        self._forgotten = 0
        self._changed = asyncio.Event()
        # Time to live and end of each lease.
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item.

        :param key: Its key.
        :param value: Its value, to be encoded as JSON.
        :param lease: The lease that it hangs on; 0 for none.
        """
        self._put_bytes(key, json.dumps(value).encode(), lease)

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write an item as another writer does.

        :param key: Its key.
        :param value: Its value.
        """
        self._put_bytes(key, value, 0)

    def list_keys(self, prefix: str) -> list[str]:
        """List the keys that begin so.

        :param prefix: The prefix.
        """
        return [key for key in sorted(self._items) if key.startswith(prefix)]

    async def expire_leases(self) -> None:
        """Remove what hangs on leases that have ended, again and again."""
        while True:
            now = time.monotonic()
            for lease, (_, end) in tuple(self._leases.items()):
                if now >= end:
                    self._end_lease(lease)
            await asyncio.sleep(0.1)

    def _put_bytes(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        former = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": former["created"] if former else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._announce(item)

    def _remove(self, key: str) -> None:
        self.revision += 1
        del self._items[key]
        self._announce(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    def _announce(self, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self._events.append(
            (now, event["revision"], event["key"], json.dumps(event))
        )
        while self._events[0][0] < now - HISTORY_S:
            self._forgotten = self._events.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in tuple(self._items.items()):
            if item["lease"] == lease:
                self._remove(key)

    async def handle(self, request: Message) -> bytes:
        """Build the answer to a call.

        :param request: The call.
        """
        url = urlsplit(request.start[1])
        query = {
            name: values[0]
            for name, values in parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }
        path = url.path
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-range":
            return self._read_range(query)
        if path == "/-/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return build_answer(404, b"{}")
            return _encode(200, {**item, "store-revision": self.revision})
        body = json.loads(request.body) if request.body else {}
        if path == "/-/kv-txn":
            return self._commit(body)
        return self._change_lease(path, body)

    def _read_range(self, query: dict[str, str]) -> bytes:
        after = query.get("after", "")
        keys = [key for key in self.list_keys(query["prefix"]) if key > after]
        page: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self._items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(self._items[key])
        return _encode(
            200,
            {
                "items": page,
                "has-more": len(keys) > len(page),
                "store-revision": self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> bytes:
        after = int(query["after"])
        prefix = query["prefix"]
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self._forgotten:
                return build_answer(410, b"{}")
            events = [
                text
                for _, revision, key, text in self._events
                if revision > after and key.startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return build_answer(
                    200,
                    b'{"events":[%s],"store-revision":%d}'
                    % (",".join(events).encode(), self.revision),
                    (("Content-Type", "application/json"),),
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _commit(self, body: dict[str, Any]) -> bytes:
        expected = body.get("expected-revision", [])
        current = [self._items.get(row["key"]) for row in expected]
        if any(
            (item["revision"] if item else 0) != row["revision"]
            for item, row in zip(current, expected, strict=True)
        ):
            return _encode(412, {"items": [one for one in current if one]})
        writes = body.get("writes", [])
        if any(
            write.get("lease") and write["lease"] not in self._leases
            for write in writes
        ):
            return build_answer(404, b"{}")
        for write in writes:
            value = base64.b64decode(write["value"])
            self._put_bytes(write["key"], value, write.get("lease", 0))
        for key in body.get("removals", []):
            if key in self._items:
                self._remove(key)
        return _encode(200, {"revision": self.revision})

    def _change_lease(self, path: str, body: dict[str, Any]) -> bytes:
        if path == "/-/kv-lease":
            self._last_lease += 1
            ttl_s = body["ttl-ms"] / 1000
            self._leases[self._last_lease] = (
                ttl_s,
                time.monotonic() + ttl_s,
            )
            return _encode(
                200, {"lease": self._last_lease, "ttl-ms": body["ttl-ms"]}
            )
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return build_answer(404, b"{}")
        ttl_s, _ = self._leases[lease]
        if "/kv-keep/" in path:
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        else:
            self._end_lease(lease)
        return _encode(200, {"lease": lease, "ttl-ms": int(ttl_s * 1000)})


def _encode(status: int, value: object) -> bytes:
    headers = (("Content-Type", "application/json"),)
    return build_answer(status, json.dumps(value).encode(), headers)


class Replica:
    """A sound replica that notes each request that it runs.

    :param name: Its instance id.
    :param service: Its service.
    :param zone: Its failure domain.
    :param slots: Requests that it runs at once.
    :param work_s: Seconds that a request takes.
    :param on_run: Called with the replica and each request that it runs.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        slots: int,
        work_s: float,
        on_run: Callable[["Replica", Message], None],
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.server = Server(self._handle)
        self._slots = slots
        self._work_s = work_s
        self._on_run = on_run
        self._running = 0
        self._number = 0

    def build_entry(self) -> dict[str, Any]:
        """Build the entry by which the replica registers."""
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.server.port}",
            "zone": self.zone,
            "version": "1",
            "max-concurrency": self._slots,
            "state": "ready",
            "warmup-remaining-ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def run(self, request: Message) -> tuple[int, bytes]:
        """Run a request; may be replaced.

        :param request: The request.
        :returns: Status and body of the answer.
        """
        await asyncio.sleep(self._work_s)
        return 200, request.body or self.name.ljust(16)[:16].encode()

    async def _handle(self, request: Message) -> bytes:
        headers = request.headers
        request_id = headers.get("bluebellbay-request-id", "")
        echo = [("Bluebellbay-Request-Id", request_id)]
        refused = [*echo, ("Bluebellbay-Not-Executed", "1")]
        if not request_id:
            return build_answer(400, b"", refused[1:])
        if headers.get("bluebellbay-target-instance", self.name) != self.name:
            return build_answer(421, b"", refused)
        if self._running >= self._slots:
            return build_answer(503, b"", refused)
        self._running += 1
        self._number += 1
        signature = f"{self.name}.{self._number}"
        self._on_run(self, request)
        try:
            status, body = await self.run(request)
        finally:
            self._running -= 1
        signed = [*echo, ("Bluebellbay-Response-Signature", signature)]
        return build_answer(status, body, signed)


class Node:
    """An entry VM: one process of the program under test.

    :param name: Its name.
    :param zone: Its failure domain.
    :param folder: Folder for its settings and its log.
    :param settings: Builds the text of its settings.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        folder: pathlib.Path,
        settings: Callable[["Node", bool], str],
    ) -> None:
        self.name = name
        self.zone = zone
        self.front, self.readiness, self.metrics, self.peers = list_ports(4)
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._starts += 1
        text = self._settings(self, self._starts == 1)
        self._path.write_text(text, encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BLUEBELLBAY_BOOT"] = str(self._path)
        command = "python3 -m bluebellbay_platform --metrics-port"
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [*command.split(), str(self.metrics)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """End the process by SIGKILL."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    async def is_ready(self) -> bool:
        """Tell whether the process answers the balancer that it is ready."""
        try:
            answer = await call(
                self.readiness, "GET", "/-/ready", headers={}, timeout_s=1.0
            )
        except OSError:
            return False
        return answer is not None and answer.start[1] == "200"


def list_ports(count: int) -> list[int]:
    """Find free ports.

    :param count: Number of ports.
    """
    probes = [socket.create_server((NODE_ADDRESS, 0)) for _ in range(count)]
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def build_settings(
    node: Node,
    *,
    first_start: bool,
    store_port: int,
    zones: Sequence[str],
    contact_ms: int = 4000,
    limit_ms: int = 3000,
) -> str:
    """Build settings like those of a small deployment.

    :param node: The node.
    :param first_start: Whether the whole system starts for the first time.
    :param store_port: Port of the store.
    :param zones: All failure domains.
    :param contact_ms: Milliseconds after which a machine is in touch.
    :param limit_ms: Milliseconds in which a change must take effect.
    """
    listed = "\n".join(f'{zone} = "region-1"' for zone in zones)
    return f"""
node-name = "{node.name}"
role = "router"
machine-class = "front"
serves = ["front"]
ip-address = "{NODE_ADDRESS}"
zone = "{node.zone}"
region = "region-1"
internal-port-range = [{node.peers}, {node.peers}]
is-bootstrap = {"true" if first_start else "false"}
loss-counts = false
discovery = "platform"
entry-mode = "virtual_ip"
heartbeat-ms = 1200
[zones]
{listed}
[bind-addresses]
front = "{NODE_ADDRESS}:{node.front}"
readiness = "{NODE_ADDRESS}:{node.readiness}"
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
address-reuse-s = 2
contact-ms = {contact_ms}
ack-ms = 5000
catch-up-s = 4
drain-ms = {limit_ms}
grace-s = 6
loss-slack-ms = 200
config-apply-ms = {limit_ms}
downgrade-ms = 250
max-stretch-ms = 12000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-budget-slack = 58
quota-window-s = 5
quota-overage = 0.1
quota-slack = 20
recovery-s = 12
[platform]
address = "{LOOPBACK}:{store_port}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
"""


async def call(
    port: int,
    method: str,
    path: str,
    *,
    headers: dict[str, str],
    timeout_s: float,
    body: bytes = b"",
) -> Message | None:
    """Send a request on a new connection.

    :param port: Port of an entry VM.
    :param method: HTTP method.
    :param path: Path and query.
    :param headers: Headers.
    :param timeout_s: Seconds until the connection is closed.
    :param body: The body.
    :returns: The answer; none if there was none.
    :raises OSError: If the connection can't be opened.
    """
    reader, writer = await asyncio.open_connection(NODE_ADDRESS, port)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines.extend(
            f"{name}: {value}"
            for name, value in {"Host": HOST, **headers}.items()
        )
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await asyncio.wait_for(read_message(reader), timeout_s)
    except (OSError, TimeoutError):
        return None
    finally:
        writer.close()


async def wait_until_ready(nodes: Sequence[Node]) -> None:
    """Wait until all nodes are ready.

    :param nodes: The nodes.
    :raises CannotRun: If one doesn't become ready.
    """
    until = time.monotonic() + READY_LIMIT_S
    for node in nodes:
        while not await node.is_ready():
            if time.monotonic() > until or not node.is_running:
                raise CannotRun(f"{node.name} is not ready")
            await asyncio.sleep(0.05)


Case = Callable[[pathlib.Path, Record, list[Node], bool], Awaitable[bool]]


def run_case(folder: pathlib.Path, play: Case) -> int:
    """Play a case and end all its processes.

    :param folder: Folder of the case, for the record.
    :param play: Plays it: gets a temporary folder, the record, a list for
        its nodes, and whether there is trouble; returns whether the rule held.
    :returns: The exit code.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    nodes: list[Node] = []
    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as name:
        try:
            held = asyncio.run(
                play(pathlib.Path(name), record, nodes, trouble)
            )
            code = EXIT_HELD if held else EXIT_BROKEN
        except (CannotRun, OSError) as error:
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
        finally:
            for node in nodes:
                node.kill()
            record.close()
    return code
