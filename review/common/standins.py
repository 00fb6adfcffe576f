"""Stand-ins for the scripts of the review: platform, replicas and clients.

Only the standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import tempfile
import time
import tomllib
import traceback
from typing import Any
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "pupu76.example"
STORE_DELAY_S = 0.004
HISTORY_S = 20.0
RETURN_OF_ENTRIES_S = 3.6
REASONS = {200: "OK", 421: "Misdirected Request", 503: "Unavailable"}


def is_troubled() -> Any:
    """Tell whether the run includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of ``record.txt``, with seconds since the start."""

    def __init__(self, path: Any) -> None:
        self._started_at = time.monotonic()
        self._descriptor = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644
        )

    def now(self) -> Any:
        return time.monotonic() - self._started_at

    def write(self, line: Any) -> None:
        os.write(self._descriptor, f"{self.now():8.3f} {line}\n".encode())

    def close(self) -> None:
        os.close(self._descriptor)


@contextlib.contextmanager
def closing(writer: Any) -> Any:
    """Close a connection at the end, which may come from its peer."""
    try:
        yield
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def read_message(reader: Any) -> Any:
    """Read one HTTP message: its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def build_response(status: Any, body: Any = b"", **headers: Any) -> Any:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: items, watches and leases, as PROTOCOL.md says.

    It is linearizable, loses nothing, and answers after 4 ms.
    """

    def __init__(self, record: Any) -> None:
        self.port = 0
        self._record = record
        self._revision = 100
        self._items = {}
        self._events = []
        self._leases = {}
        self._changed = asyncio.Condition()
        self._cuts = 0
        self._server = None
        self._tasks = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.add(asyncio.create_task(self._expire_leases()))

    def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def put(self, key: Any, value: Any, lease: Any = 0) -> None:
        """Write an item; the return is the ack.

        :param value: Bytes, or what is encoded as JSON.
        """
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        async with self._changed:
            self._revision += 1
            former = self._items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "created": former["created"] if former else self._revision,
                "lease": lease,
            }
            self._items[key] = item
            self._add_event(item)

    async def cut_watches(self) -> None:
        """Close the connections of all watches that wait."""
        async with self._changed:
            self._cuts += 1
            self._changed.notify_all()

    async def remove(self, key: Any) -> None:
        async with self._changed:
            self._remove(key)

    def _remove(self, key: Any) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._add_event(
            {"key": key, "revision": self._revision, "tombstone": True}
        )

    def _add_event(self, event: Any) -> None:
        self._events.append((time.monotonic(), event))
        self._changed.notify_all()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            async with self._changed:
                for lease, ends_at in tuple(self._leases.items()):
                    if now < ends_at[0]:
                        continue
                    del self._leases[lease]
                    for key, item in tuple(self._items.items()):
                        if item["lease"] == lease:
                            self._remove(key)
                while self._events and (now - self._events[0][0] > HISTORY_S):
                    self._events.pop(0)

    async def _serve(self, reader: Any, writer: Any) -> None:
        with closing(writer):
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(
                    urllib.parse.parse_qsl(url.query, keep_blank_values=True)
                )
                status, answer = await self._answer(
                    method, url.path, query, json.loads(body or b"{}")
                )
                await asyncio.sleep(STORE_DELAY_S)
                writer.write(
                    build_response(status, json.dumps(answer).encode())
                )
                await writer.drain()

    async def _answer(
        self, method: Any, path: Any, query: Any, body: Any
    ) -> Any:
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return await self._write(body)
        if path == "/-/kv-range":
            return 200, self._read_range(query)
        if path == "/-/kv-lease":
            ttl_s = body["ttl-ms"] / 1000
            return 200, self._extend(random.randrange(1, 1 << 48), ttl_s)
        lease = int(path.rpartition("/")[2])
        if not path.startswith("/-/kv-keep/") or lease not in self._leases:
            return 404, {}
        return 200, self._extend(lease, self._leases[lease][1])

    def _extend(self, lease: Any, ttl_s: Any) -> Any:
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return {"lease": lease, "ttl-ms": round(ttl_s * 1000)}

    def _read_range(self, query: Any) -> Any:
        keys = [
            key
            for key in sorted(self._items)
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return {
            "items": [self._items[key] for key in keys[:500]],
            "has-more": len(keys) > 500,
            "store-revision": self._revision,
        }

    async def _watch(self, query: Any) -> Any:
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait-ms"]) / 1000

        def list_events() -> Any:
            return [
                event
                for _, event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]

        cuts = self._cuts
        async with self._changed:
            while not list_events() and time.monotonic() < ends_at:
                if cuts != self._cuts:
                    raise ConnectionAbortedError
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait(), ends_at - time.monotonic()
                    )
            return 200, {
                "events": list_events(),
                "store-revision": self._revision,
            }

    async def _write(self, body: Any) -> Any:
        for write in body.get("writes", ()):
            lease = write.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
            value = base64.b64decode(write["value"])
            await self.put(write["key"], value, lease)
        for key in body.get("removals", ()):
            await self.remove(key)
        return 200, {"revision": self._revision}


class Proxy:
    """Forwards connections; can make those that are open go silent."""

    def __init__(self, target_port: Any) -> None:
        self.port = 0
        self._target_port = target_port
        self._server = None
        self._links = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._link, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()

    def silence(self) -> Any:
        """Forward nothing more on open connections, and don't close them."""
        count = 0
        for link in self._links:
            if not link["silent"] and not link["ended"]:
                link["silent"] = True
                count += 1
        return count

    async def _link(self, reader: Any, writer: Any) -> None:
        link = {
            "silent": False,
            "ended": False,
            "task": asyncio.current_task(),
        }
        self._links.append(link)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.close()
            return
        with closing(writer), closing(far_writer):
            await asyncio.gather(
                self._copy(reader, far_writer, link),
                self._copy(far_reader, writer, link),
            )
        link["ended"] = True

    async def _copy(self, reader: Any, writer: Any, link: Any) -> None:
        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            if link["silent"]:
                if not data:
                    return
                continue
            if not data:
                writer.close()
                return
            writer.write(data)


@dataclasses.dataclass
class Arrival:
    """A request that reached a replica."""

    at: float
    # When the client sent the request that it belongs to.
    sent_at: float
    request_id: str
    replica: str
    node: str
    ran: bool


class Replica:
    """One replica: slots, a short queue, and answers signed with a digest."""

    def __init__(
        self,
        *,
        record: Any,
        name: Any,
        service: Any,
        slots: Any,
        queue: Any,
        work_s: Any,
        zone: Any = "zone-a",
    ) -> None:
        self.name = name
        self.service = service
        self.port = 0
        self.arrivals = []
        # Called for each answer; true if a second copy of it arrives late.
        self.sends_copy = lambda status: False
        self.work_s = work_s
        self._record = record
        self._slots = slots
        self._queue = queue
        self._zone = zone
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._present = 0
        self._semaphore = asyncio.Semaphore(slots)
        self._server = None
        self.is_alive = True
        self._connections = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self.is_alive = False
        self._server.close()
        for writer in tuple(self._connections):
            writer.close()

    def build_entry(self, state: Any = "ready") -> Any:
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "version": "1",
            "max-concurrency": self._slots,
            "state": state,
            "warmup-remaining-ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _serve(self, reader: Any, writer: Any) -> None:
        self._connections.add(writer)
        late_copy = b""
        with closing(writer):
            while True:
                first, headers, body = await read_message(reader)
                if late_copy:
                    # An extra answer, where the next one is expected.
                    writer.write(late_copy)
                    late_copy = b""
                    await writer.drain()
                status, answer = await self._run(first, headers, body, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if self.sends_copy(status):
                    late_copy = answer
                    self._record.write(
                        f"{self.name} sends a second copy of its answer "
                        f"{status} to {headers['bluebellbay-request-id']} late"
                    )
        self._connections.discard(writer)

    async def _run(
        self, first: Any, headers: Any, body: Any, reader: Any
    ) -> Any:
        request_id = headers["bluebellbay-request-id"]
        node = headers.get("x-node", "")
        arrival = Arrival(
            at=time.monotonic(),
            sent_at=float(headers.get("x-sent-at", 0)),
            request_id=request_id,
            replica=self.name,
            node=node,
            ran=False,
        )
        self.arrivals.append(arrival)
        echo = {"Bluebellbay-Request-Id": request_id}
        if headers.get("bluebellbay-target-instance") != self.name:
            self._record.write(f"{self.name} answers 421 to {request_id}")
            return 421, build_response(421, **echo)
        refusal = build_response(
            503, **echo, **{"Bluebellbay-Not-Executed": "1"}
        )
        if self._present >= self._slots + self._queue:
            self._record.write(f"{self.name} refuses {request_id}")
            return 503, refusal
        left_s = int(headers["bluebellbay-deadline-ms"]) / 1000
        self._present += 1
        self._record.write(f"{self.name} takes {request_id}")
        try:
            started_at = time.monotonic()
            async with self._semaphore:
                if time.monotonic() - started_at >= left_s:
                    self._record.write(f"{self.name} refuses {request_id}")
                    return 503, refusal
                arrival.ran = True
                self._record.write(f"{self.name} runs {request_id}")
                await asyncio.sleep(self.work_s())
        finally:
            self._present -= 1
        if reader.at_eof():
            self._record.write(f"{self.name} lost the caller of {request_id}")
            return 0, None
        records = b"".join(os.urandom(16) for _ in range(4))
        return 200, build_response(
            200,
            body or records,
            **echo,
            **{"Bluebellbay-Response-Signature": f"{self.name}.{request_id}"},
        )


class Node:
    """A process of the system, started as the deploy file says."""

    def __init__(
        self,
        *,
        record: Any,
        folder: Any,
        number: Any,
        store_port: Any,
        zone: Any = "zone-a",
    ) -> None:
        self.name = f"front-{number}"
        self.zone = zone
        # The deploy file fixes the metrics port, so each has its address.
        block = random.randrange(16, 250)
        self.ip = f"127.{block}.{random.randrange(1, 250)}.{number + 1}"
        self.process = None
        self._record = record
        self._folder = pathlib.Path(folder)
        self._store_port = store_port
        self._settings = self._folder / f"{self.name}.toml"

    def write_settings(
        self, *, first_start: Any = True, slack: Any = 58
    ) -> None:
        self._settings.write_text(
            f"""
node-name = "{self.name}"
role = "router"
machine-class = "front"
serves = ["front"]
ip-address = "{self.ip}"
zone = "{self.zone}"
region = "region-1"
internal-port-range = [7380, 7395]
is-bootstrap = {str(first_start).lower()}
heartbeat-ms = 1200
[bind-addresses]
front = "{self.ip}:8104"
readiness = "{self.ip}:8108"
[bounds]
seed-lag-s = 3
address-reuse-s = 2
contact-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 3000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
downgrade-ms = 250
max-stretch-ms = 12000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-budget-slack = {slack}
recovery-s = 12
[platform]
address = "127.0.0.1:{self._store_port}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
""",
            encoding="utf-8",
        )

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": "target/deps",
            "BLUEBELLBAY_BOOT": str(self._settings),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> Any:
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8108)
        except OSError:
            return False
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        try:
            line = await asyncio.wait_for(reader.readline(), 1)
        except (TimeoutError, OSError):
            line = b""
        writer.close()
        return b" 200 " in line

    async def wait_until_ready(self) -> None:
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} isn't ready")

    def signal(self, number: Any) -> None:
        self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


@dataclasses.dataclass
class Answer:
    """What a client got; ``status`` is 0 for a closed connection."""

    status: int
    headers: dict
    body: bytes


class Client:
    """A client that keeps its connection open."""

    def __init__(self, *, record: Any, node: Any) -> None:
        self._record = record
        self._node = node
        self._streams = None

    async def call(
        self,
        request_id: Any,
        path: Any,
        *,
        method: Any = "GET",
        body: Any = b"",
        deadline_ms: Any = 8000,
    ) -> Any:
        """Send one request, once, and wait for its answer."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Bluebellbay-Request-Id: {request_id}\r\n"
            f"Bluebellbay-Deadline-Ms: {deadline_ms}\r\n"
            f"X-Node: {self._node.name}\r\n"
            f"X-Sent-At: {time.monotonic()}\r\n"
        )
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self._record.write(f"client sends {request_id} to {self._node.name}")
        try:
            if self._streams is None:
                self._streams = await asyncio.wait_for(
                    asyncio.open_connection(self._node.ip, 8104), 1
                )
            reader, writer = self._streams
            writer.write(head.encode() + b"\r\n" + body)
            first, headers, answer = await asyncio.wait_for(
                read_message(reader), deadline_ms / 1000
            )
            status = int(first.split(" ")[1])
        except (TimeoutError, OSError, EOFError):
            status, headers, answer = 0, {"connection": "close"}, b""
        if headers.get("connection", "").lower() == "close":
            self.close()
        self._record.write(f"client gets {status or 'no answer'} {request_id}")
        return Answer(status=status, headers=headers, body=answer)

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def build_route(
    name: Any,
    *,
    service: Any = None,
    shards: Any = None,
    kind: Any = "safe",
    **fields: Any,
) -> Any:
    route = {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout-ms": 8000,
        "target-latency-ms": 500,
        "max-attempts": 2,
        "priority": 1,
        **fields,
    }
    if service is not None:
        route["service"] = service
    if shards is not None:
        route["fanout-services"] = shards
    return route


def build_configuration(
    version: Any, routes: Any, services: Any, connections: Any = 26
) -> Any:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "max-connections": connections,
                "health-check-path": "/health",
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


class World:
    """The store, the replicas and the processes of one run."""

    def __init__(self, folder: Any) -> None:
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.store = Store(self.record)
        self.replicas = []
        self.proxies = []
        self.nodes = []
        self._temporary = tempfile.TemporaryDirectory()
        self._beats = {}

    async def start_store(self) -> None:
        await self.store.start()

    async def add_replica(self, **fields: Any) -> Any:
        replica = Replica(record=self.record, **fields)
        await replica.start()
        self.replicas.append(replica)
        await self.store.put(f"servers/{replica.name}", replica.build_entry())
        return replica

    async def add_node(
        self, *, through_proxy: Any = False, zone: Any = "zone-a"
    ) -> Any:
        port = self.store.port
        if through_proxy:
            proxy = Proxy(port)
            await proxy.start()
            self.proxies.append(proxy)
            port = proxy.port
        node = Node(
            record=self.record,
            folder=self._temporary.name,
            number=len(self.nodes),
            store_port=port,
            zone=zone,
        )
        node.write_settings()
        self.nodes.append(node)
        await node.start()
        return node

    def read_log(self, node: Any) -> Any:
        path = pathlib.Path(self._temporary.name) / f"{node.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    async def stop(self) -> None:
        for node in self.nodes:
            await node.stop()
        for proxy in self.proxies:
            proxy.stop()
        for replica in self.replicas:
            if replica.is_alive:
                replica.stop()
        self.store.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.record.close()
        self._temporary.cleanup()


async def _run_case(folder: Any, play: Any, limit_s: Any) -> int:
    world = World(folder)
    task = asyncio.create_task(play(world))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return int(await asyncio.wait_for(task, limit_s))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2
    finally:
        await world.stop()


def run_case(folder: Any, play: Any, limit_s: Any) -> int:
    """Run a case, and end all that it has started.

    :param folder: Folder for ``record.txt``.
    :param play: Coroutine that plays it; true if the rule was broken.
    :param limit_s: Seconds after which it counts as not run.
    :returns: 1 if the rule was broken, 0 if it held, 2 if it didn't run.
    """
    return asyncio.run(_run_case(folder, play, limit_s))
