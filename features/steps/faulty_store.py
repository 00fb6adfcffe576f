"""A store over sockets whose answers can be refused or fall silent."""

import contextlib
import json
import threading
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from fake_platform import FakeStore

SILENCE_S = 60.0
# No key begins so.
NO_ITEMS_PREFIX = "none/"
LINK_CHUNK_BYTES = 8192
# What a late timer has left unused is made up for.
LINK_SLACK_S = 0.05
UNAVAILABLE = 503
GONE = 410


class ThinLink:
    """A link that all connections share.

    :param bytes_per_s: Bytes that it carries in a second.
    """

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._lock = threading.Lock()
        self._free_at = 0.0

    def wait(self, size):
        """Wait until so many more bytes have been carried."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now - LINK_SLACK_S, self._free_at)
            self._free_at += size / self._bytes_per_s
            left_s = self._free_at - now
        time.sleep(max(0.0, left_s))


class LinkedFile:
    """What a connection writes, over a link."""

    def __init__(self, file, link):
        self._file = file
        self._link = link

    def write(self, data):
        for start in range(0, len(data), LINK_CHUNK_BYTES):
            chunk = data[start : start + LINK_CHUNK_BYTES]
            self._link.wait(len(chunk))
            self._file.write(chunk)

    def __getattr__(self, name):
        return getattr(self._file, name)


class FaultyStore(FakeStore):
    """The fake store, with lost history and faults.

    :ivar refuses_all: Whether every call is refused.
    :ivar refuses_every_second: Whether every second call is refused.
    :ivar delay_s: Seconds until a call is answered.
    :ivar checks: Number of reads of the revision alone so far.
    :ivar copy_age_s: Age in seconds of the store's copies.
    :ivar link: The link that answers come over; none if it is fast.
    :ivar loses_next_change: Whether the answer of the next watch that tells a
        change is lost.
    """

    def __init__(self):
        self.refuses_all = False
        self.refuses_every_second = False
        self.delay_s = 0.0
        self.checks = 0
        self.copy_age_s = 0.0
        self.link = None
        self.loses_next_change = False
        # Time and revision of each change.
        self._written = []
        self._calls = 0
        self._cuts = 0
        self._era = 0
        self._gone_revision = 0
        # Each call has a thread of its own.
        self._watching = threading.local()
        self._ended = threading.Event()
        super().__init__()

    def silence_connections(self):
        """Answer nothing more on the connections that are open."""
        self._era += 1

    def cut_watches(self):
        """Close the connections of the watches that wait."""
        with self._changed:
            self._cuts += 1
            self._changed.notify_all()

    def remove(self, key):
        with self._changed:
            self.revision += 1
            del self.items[key]
            self._events.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )
            self._changed.notify_all()

    def forget_history(self):
        """Drop all events and end the watches that wait."""
        with self._changed:
            self._gone_revision = self.revision
            self._events.clear()
            self._changed.notify_all()

    def stop(self):
        self._ended.set()
        self.server.stop()

    def _handle(self, request):
        body = request.read_body()
        if not hasattr(request, "era"):
            request.era = self._era
        url = urlsplit(request.path)
        query = parse_qs(url.query, keep_blank_values=True)
        self._calls += 1
        if url.path == "/-/kv-range" and query["prefix"] == [NO_ITEMS_PREFIX]:
            self.checks += 1
        if self.refuses_all or (self.refuses_every_second and self._calls % 2):
            request.answer(UNAVAILABLE, **self.build_headers(query))
            return
        self._ended.wait(self.delay_s)
        cuts = self._cuts
        answer = self._answer(url.path, query, body)
        if cuts != self._cuts and url.path == "/-/kv-watch":
            request.close_connection = True
            return
        if request.era != self._era or self._loses(url.path, answer):
            self._ended.wait(SILENCE_S)
            request.close_connection = True
            return
        if self.link is not None:
            request.wfile = LinkedFile(request.wfile, self.link)
        with contextlib.suppress(OSError):
            self._send(request, answer, self.build_headers(query))

    def _send(self, request, answer, headers):
        if answer is None:
            request.answer(GONE, b"{}", **headers)
        elif isinstance(answer, int):
            request.answer(answer, b"{}", **headers)
        else:
            request.answer(200, json.dumps(answer).encode(), **headers)

    def put_text(self, key, text):
        with self._changed:
            super().put_text(key, text)
            self._written.append((time.monotonic(), self.revision))

    def _loses(self, path, answer):
        """Tell whether the answer of a watch is lost; one is, if set so."""
        tells = path == "/-/kv-watch" and answer and answer["events"]
        if not tells or not self.loses_next_change:
            return False
        self.loses_next_change = False
        return True

    def _find_copied_revision(self):
        until = time.monotonic() - self.copy_age_s
        return max(
            (revision for at, revision in self._written if at <= until),
            default=1,
        )

    def build_headers(self, query):
        """Build the headers that all answers have."""
        del query
        return {}

    def _answer(self, path, query, body):
        if path == "/-/kv-key":
            item = self.items[query["key"][0]]
            return {**item, "store-revision": self.revision}
        answer = super()._answer(path, query, body)
        if "allow-stale" in query:
            answer["store-revision"] = self._find_copied_revision()
        if path == "/-/kv-watch" and self._has_lost(int(query["after"][0])):
            return None
        return answer

    def _wait_for_events(self, after, wait_s):
        self._watching.cuts = self._cuts
        return super()._wait_for_events(after, wait_s)

    def _ends_watch(self, after):
        if self._cuts != self._watching.cuts:
            return True
        return self._has_lost(after)

    def _has_lost(self, after):
        return after < self._gone_revision
