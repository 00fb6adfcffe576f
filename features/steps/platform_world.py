"""Fake store and replicas, and the platform program as a process."""

import base64
import collections
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import msgspec

from bluebellbay_report.record import RunEvent
from bluebellbay_report.record import RunRecord
from bluebellbay_report.record import Window
from bluebellbay_standins.process import name_host

HOST = "calls.example"
# Only this module listens on this address, so that a free port stays free
# until the program binds it.
LOOPBACK = name_host(200)
STEP_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.05
_allocated_ports = set()
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


def allocate_ports(count):
    # The kernel may assign a port again as soon as its probe is closed.
    probes = []
    while len(probes) < count:
        probe = socket.create_server((LOOPBACK, 0))
        if probe.getsockname()[1] in _allocated_ports:
            probe.close()
            continue
        probes.append(probe)
        _allocated_ports.add(probe.getsockname()[1])
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def wait_for(condition, seconds=STEP_TIMEOUT_S):
    until = time.monotonic() + seconds
    while True:
        result = condition()
        if result or time.monotonic() > until:
            return result
        time.sleep(POLL_INTERVAL_S)


class RunLog:
    """Records requests and faults of a run, for the report page."""

    def __init__(self, title):
        self._title = title
        self._started_at = time.monotonic()
        self._calls = []
        self._events = []

    def record_call(self, started_at, status):
        ms = (time.monotonic() - started_at) * 1000
        self._calls.append((started_at - self._started_at, status, ms))

    def record_fault(self, fault):
        start_s = time.monotonic() - self._started_at
        try:
            fault()
        finally:
            self._events.append(
                RunEvent(
                    start_s=start_s,
                    end_s=time.monotonic() - self._started_at,
                    name=fault.__name__.strip("_"),
                )
            )

    def write(self, path):
        by_second = collections.defaultdict(list)
        for start_s, status, ms in self._calls:
            by_second[int(start_s)].append((status, ms))
        record = RunRecord(
            title=self._title,
            windows=tuple(
                build_window(second, calls)
                for second, calls in sorted(by_second.items())
            ),
            troubles=tuple(self._events),
        )
        pathlib.Path(path).write_bytes(msgspec.json.encode(record))


def build_window(second, calls):
    latencies_ms = sorted(ms for _, ms in calls)
    in_time = sum(200 <= status < 300 for status, _ in calls)
    refused = sum(status in NOT_EXECUTED_STATUSES for status, _ in calls)
    return Window(
        start_s=float(second),
        asked=len(calls),
        in_time=in_time,
        late=0,
        refused=refused,
        failed=len(calls) - in_time - refused,
        median_ms=latencies_ms[len(latencies_ms) // 2],
        tail_ms=latencies_ms[int(0.99 * len(latencies_ms))],
    )


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        """Suppress the default log to standard error."""

    def answer(self, status, body=b"", length=None, **headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header(
            "Content-Length", str(len(body) if length is None else length)
        )
        self.end_headers()
        self.wfile.write(body)

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))


class Server:
    """A threaded HTTP server that can be stopped and started again."""

    def __init__(self, handle, port=0):
        self._handle = handle
        self._server = None
        self.port = port
        self.start()

    def start(self):
        handle = self._handle

        class BoundHandler(Handler):
            def do_GET(self):  # noqa: N802
                handle(self)

            do_POST = do_GET  # noqa: N815
            do_DELETE = do_GET  # noqa: N815

        self._server = http.server.ThreadingHTTPServer(
            (LOOPBACK, self.port), BoundHandler
        )
        self._server.daemon_threads = True
        # Resets by killed programs are expected and must not be printed.
        self._server.handle_error = lambda *arguments: None
        self.port = self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever,
            args=(POLL_INTERVAL_S,),
            daemon=True,
        ).start()

    def stop(self):
        self._server.shutdown()
        self._server.server_close()


class FakeStore:
    """In-memory store that answers ranges, watches, leases and writes."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.unavailable = False
        self._events = []
        self._changed = threading.Condition()
        self.server = Server(self._handle)

    def put(self, key, value):
        with self._changed:
            self.revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision,
            }
            self.items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def _handle(self, request):
        body = request.read_body()
        if self.unavailable:
            request.close_connection = True
            return
        url = urlsplit(request.path)
        query = parse_qs(url.query, keep_blank_values=True)
        answer = self._answer(url.path, query, body)
        with contextlib.suppress(OSError):
            request.answer(200, json.dumps(answer).encode())

    def _answer(self, path, query, body):
        if path == "/-/kv-range":
            return self._read_range(query["prefix"][0])
        if path == "/-/kv-watch":
            return self._wait_for_events(
                int(query["after"][0]), int(query["wait-ms"][0]) / 1000
            )
        if path == "/-/kv-txn":
            for write in json.loads(body)["writes"]:
                value = base64.b64decode(write["value"])
                self.put(write["key"], json.loads(value))
            return {"revision": self.revision}
        return {"lease": 1, "ttl-ms": 30000}

    def _read_range(self, prefix):
        with self._changed:
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix)
            ]
            return {
                "items": items,
                "has-more": False,
                "store-revision": self.revision,
            }

    def _wait_for_events(self, after, wait_s):
        def list_newer_events():
            return [item for item in self._events if item["revision"] > after]

        with self._changed:
            self._changed.wait_for(
                lambda: list_newer_events() or self.unavailable, timeout=wait_s
            )
            return {
                "events": list_newer_events(),
                "store-revision": self.revision,
            }


class FakeReplica:
    """A replica that signs its answers and records the requests it ran."""

    def __init__(self, replica_id, service):
        self.replica_id = replica_id
        self.service = service
        self.ran = []
        self.delay_s = 0.0
        # ``serve`` answers, ``break`` runs the request and closes the
        # connection without an answer, ``refuse`` answers 503 without running.
        # The modes in ``MISBEHAVIOURS`` run it and send other bytes.
        self.mode = "serve"
        self.server = Server(self._handle)
        self.records = b"".join(
            f"{replica_id}-{number}".ljust(16)[:16].encode()
            for number in range(4)
        )

    def build_entry(self, **fields):
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.server.port}",
            "zone": "zone-a",
            "max-concurrency": 4,
            "state": "ready",
            "sequence": 1,
            "born": 1000,
            **fields,
        }

    def _handle(self, request):
        body = request.read_body()
        headers = request.headers
        echo = {"Bluebellbay_Request_Id": headers["Bluebellbay-Request-Id"]}
        if headers["Bluebellbay-Target-Instance"] != self.replica_id:
            request.answer(421, **echo)
            return
        if self.mode == "refuse":
            request.answer(503, Bluebellbay_Not_Executed="1", **echo)
            return
        self.ran.append((request.command, request.path, body))
        time.sleep(self.delay_s)
        if self.mode == "break":
            request.close_connection = True
            return
        headers = {
            **echo,
            "Bluebellbay_Response_Signature": f"digest-{self.replica_id}",
        }
        if self.mode == "serve":
            request.answer(200, body or self.records, **headers)
        else:
            misbehave(request, self.mode, body or self.records, headers)


MISBEHAVIOURS = (
    "cut the head",
    "cut the body",
    "send a copy",
    "send a late copy",
    "send without end",
)
LATE_S = 0.05
ENDLESS_BLOCKS = 1_000
ENDLESS_STARTS = {
    "send without end": b"HTTP/1.1 200 OK\r\nX: ",
    "send a body without end": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n"
    ),
}


def misbehave(request, mode, body, headers):
    """Send something else than one whole response."""
    if mode == "cut the head":
        request.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Le")
        request.close_connection = True
    elif mode == "cut the body":
        request.answer(200, body, length=len(body) + 9, **headers)
        request.close_connection = True
    elif mode == "send a copy":
        request.answer(200, body, **headers)
        request.answer(200, body, **headers)
    elif mode == "send a late copy":
        request.answer(200, body, **headers)
        time.sleep(LATE_S)
        request.answer(200, body, **headers)
    else:
        request.wfile.write(ENDLESS_STARTS[mode])
        for _ in range(ENDLESS_BLOCKS):
            request.wfile.write(b"x" * 65_536)


class Program:
    """One process of the platform program, with its own ports and log."""

    def __init__(self, *, name, folder, store_port):
        self.name = name
        self.process = None
        self.ports = allocate_ports(4)
        self.log = pathlib.Path(folder) / f"{name}.log"
        self._settings = pathlib.Path(folder) / f"{name}.toml"
        self._store_port = store_port

    def write_settings(self, *, store=True, slack=58, grace_s=20):
        callers, health, peers, _ = self.ports
        text = f"""
node-name = "{self.name}"
zone = "zone-a"
ip-address = "{LOOPBACK}"
is-bootstrap = true
internal-port-range = [{peers}, {peers}]
[bind-addresses]
front = "{LOOPBACK}:{callers}"
readiness = "{LOOPBACK}:{health}"
[bounds]
grace-s = {grace_s}
retry-budget-slack = {slack}
[platform]
"""
        if store:
            text += f'address = "{LOOPBACK}:{self._store_port}"\n'
        self._settings.write_text(text, encoding="utf-8")

    def start(self, **settings):
        self.write_settings(**settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._build_command(),
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._build_environment(),
            )

    def check_settings(self, environment):
        """Let the program check its settings, and return its exit code."""
        return subprocess.run(
            [*self._build_command(), "--check-settings"],
            env=self._build_environment() | environment,
            check=False,
            timeout=STEP_TIMEOUT_S,
        ).returncode

    def _build_command(self):
        return [
            sys.executable,
            "-m",
            "bluebellbay_platform",
            "--metrics-port",
            str(self.ports[3]),
        ]

    def _build_environment(self):
        return {**os.environ, "BLUEBELLBAY_BOOT": str(self._settings)}

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(STEP_TIMEOUT_S)

    def call(self, path, *, method="GET", body=None, number=1):
        connection = http.client.HTTPConnection(
            LOOPBACK, self.ports[0], timeout=STEP_TIMEOUT_S
        )
        headers = {
            "Host": HOST,
            "Bluebellbay-Request-Id": f"id-{number}",
            "Bluebellbay-Deadline-Ms": "5000",
        }
        try:
            connection.request(method, path, body=body, headers=headers)
            answer = connection.getresponse()
            return answer, answer.read()
        finally:
            connection.close()

    def fetch_page(self, port, path):
        connection = http.client.HTTPConnection(
            LOOPBACK, port, timeout=STEP_TIMEOUT_S
        )
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_listening(self):
        return self.fetch_page(self.ports[1], "/-/ready")[0] != 0

    def is_ready(self):
        return self.fetch_page(self.ports[1], "/-/ready")[0] == 200


class PlatformWorld:
    """A fake store, fake replicas and the program processes under test."""

    def __init__(self, *, programs=1, shards=4, postings=2):
        self.folder = tempfile.TemporaryDirectory()
        self.store = FakeStore()
        self.shards = [
            FakeReplica(f"shard-{number}", f"shard-{number}")
            for number in range(shards)
        ]
        self.posting_servers = [
            FakeReplica(f"posting-{number}", "posting")
            for number in range(postings)
        ]
        self.programs = [
            Program(
                name=f"node-{number}",
                folder=self.folder.name,
                store_port=self.store.server.port,
            )
            for number in range(programs)
        ]
        self.program = self.programs[0]
        for replica in (*self.shards, *self.posting_servers):
            self.store.put(
                f"servers/{replica.replica_id}", replica.build_entry()
            )
        self.configure(7, "/post/", self.shards)

    def configure(self, version, prefix, shards):
        common_fields = {
            "hostname": HOST,
            "timeout-ms": 5000,
            "target-latency-ms": 2000,
            "max-attempts": 2,
        }
        services = [replica.service for replica in shards]
        query = {
            **common_fields,
            "name": "query",
            "prefix": "/query/",
            "type": "safe",
            "fanout-services": services,
            "top-k": 5,
            "min-shard-ratio": 0.75,
        }
        post = {
            **common_fields,
            "name": "post",
            "prefix": prefix,
            "type": "unsafe",
            "service": "posting",
        }
        value = {
            "version": version,
            "routes": [query, post],
            "services": [
                {"name": name, "max-connections": 26}
                for name in (*services, "posting")
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        self.store.put("op/config", value)

    def stop(self):
        for program in self.programs:
            program.kill()
        for replica in (*self.shards, *self.posting_servers):
            replica.server.stop()
        self.store.server.stop()
        self.folder.cleanup()
