"""Fakes of what stands around a program: the store and the replicas."""

import base64
import contextlib
import http.server
import json
import threading
import time
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from bluebellbay_standins.process import name_host

# Only this module listens on this address, so that a free port stays free
# until the program binds it.
LOOPBACK = name_host(200)
POLL_INTERVAL_S = 0.05


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
        self.page_items = 500
        self.items = {}
        self.revision = 1
        self.unavailable = False
        self._events = []
        self._changed = threading.Condition()
        self.server = Server(self._handle)

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        self.put_text(key, base64.b64encode(value).decode())

    def put_text(self, key, text):
        """Write the text that stands for a value, sound Base64 or not."""
        with self._changed:
            self.revision += 1
            item = {"key": key, "value": text, "revision": self.revision}
            self.items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def delete(self, key):
        with self._changed:
            self.revision += 1
            self.items.pop(key, None)
            self._events.append(
                {"key": key, "tombstone": True, "revision": self.revision}
            )
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
            return self._read_page(
                query["prefix"][0], query.get("after", [""])[0]
            )
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

    def _read_page(self, prefix, after):
        with self._changed:
            keys = [
                key
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return {
                "items": [self.items[key] for key in keys[: self.page_items]],
                "has-more": len(keys) > self.page_items,
                "store-revision": self.revision,
            }

    def _ends_watch(self, after):
        return self.unavailable

    def _wait_for_events(self, after, wait_s):
        def list_newer_events():
            return [item for item in self._events if item["revision"] > after]

        with self._changed:
            self._changed.wait_for(
                lambda: list_newer_events() or self._ends_watch(after),
                timeout=wait_s,
            )
            return {
                "events": list_newer_events(),
                "store-revision": self.revision,
            }


class Receipt(NamedTuple):
    """One request that reached a replica, at a time of the steady clock."""

    at: float
    path: str
    ran: bool
    accounts: tuple
    has_credentials: bool


class FakeReplica:
    """A replica that signs its answers and records the requests it got."""

    def __init__(self, replica_id, service, zone="zone-a"):
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.ran = []
        self.receipts = []
        # End of its warm-up, at a time of the steady clock.
        self.cold_until = 0.0
        self._restarts = 0
        self.delay_s = 0.0
        # Values of the headers that tell of leaving and of a pause, if any.
        self.leaving = None
        self.retry_after = None
        # Value of the header that names a rate limit, if any.
        self.rate_limit = None
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
            "zone": self.zone,
            "max-concurrency": 4,
            "state": "ready",
            "sequence": 1,
            "born": 1000 + self._restarts,
            "warmup-remaining-ms": self._compute_warmup_ms(),
            **fields,
        }

    def restart_cold(self, warmup_s):
        """Come back under another id, so that it refuses older requests."""
        self._restarts += 1
        self.replica_id = (
            f"{self.replica_id.partition('.')[0]}.{self._restarts}"
        )
        self.cold_until = time.monotonic() + warmup_s

    def _compute_warmup_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def _record(self, request, *, ran):
        headers = request.headers
        receipt = Receipt(
            at=time.monotonic(),
            path=request.path,
            ran=ran,
            accounts=tuple(headers.get_all("Bluebellbay-Tenant-Id") or ()),
            has_credentials="Authorization" in headers,
        )
        self.receipts.append(receipt)

    def _handle(self, request):
        body = request.read_body()
        headers = request.headers
        echo = {"Bluebellbay_Request_Id": headers["Bluebellbay-Request-Id"]}
        is_target = headers["Bluebellbay-Target-Instance"] == self.replica_id
        self._record(request, ran=is_target and self.mode != "refuse")
        if not is_target:
            request.answer(421, **echo)
            return
        if self.cold_until:
            echo["Bluebellbay_Warmup_Ms"] = str(self._compute_warmup_ms())
        if self.leaving is not None:
            echo["Server_Leaving"] = self.leaving
        if self.rate_limit is not None:
            echo["Server_Limit"] = self.rate_limit
        if self.mode == "refuse":
            if self.retry_after is not None:
                echo["Retry_After"] = self.retry_after
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
