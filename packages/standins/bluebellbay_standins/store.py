"""A stand-in for the platform's key-value store."""

import dataclasses
import enum
import pathlib
from typing import Any
import uuid

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from bluebellbay.protocol.codec import decode_json
from bluebellbay_standins.clock import Clock
from bluebellbay_standins.clock import sleep
from bluebellbay_standins.keyspace import KeyEntry
from bluebellbay_standins.keyspace import KeySpace
from bluebellbay_standins.rate import RateLimit
from bluebellbay_standins.site import abort_connection
from bluebellbay_standins.site import merge_behaviour
from bluebellbay_standins.site import read_body
from bluebellbay_standins.site import write_json

MAX_VALUE_BYTES = 1_048_576
MAX_WATCH_S = 60.0


class Outage(enum.StrEnum):
    """How the store or the list of VMs is out of service."""

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreBehaviour:
    """What the store is told to do; each field may be set while it runs.

    :param outage: Whether calls are answered 503, or not at all.
    :param delay_s: Time in seconds before a call takes effect.
    :param answer_delay_s: Time in seconds between effect and answer.
    :param lose_answers: Next writes whose answer is lost after the effect.
    :param hold_answers: Whether writes take effect, but wait with their
        answers until this is taken back.
    :param hold_reads: Key whose reads, but not watches, take effect and wait
        with their answers until this is taken back; none if empty.
    :param hold_one: Whether one read is held at a time, and others pass.
    :param writes_per_s: Rate of writes, leases included.
    :param reads_per_s: Rate of reads, each watch counted as one.
    """

    outage: Outage = Outage.NONE
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    lose_answers: int = 0
    hold_answers: bool = False
    hold_reads: str = ""
    hold_one: bool = False
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


@dataclasses.dataclass(kw_only=True)
class StoreCounts:
    """Calls seen since the start, by kind.

    :param reads: Reads, served or not.
    :param writes: Writes, served or not.
    :param watches: Watches, served or not.
    :param leases: Calls about leases, served or not.
    :param conflicts: Writes whose expected version did not stand.
    :param throttled: Calls answered 429.
    :param failed: Calls met by an outage.
    :param lost: Writes whose answer was lost.
    :param held: Reads whose answers were held.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0
    conflicts: int = 0
    throttled: int = 0
    failed: int = 0
    lost: int = 0
    held: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyWrite:
    """Body of a write.

    :param value: The new text; none deletes the key.
    :param expected_version: Version that must stand; 0 for absent.
    """

    value: str | None
    expected_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseWish:
    """Body of a call for a lease.

    :param ttl_s: Time to live in seconds.
    """

    ttl_s: float


class StoreServer:
    """Serves the store over HTTP.

    :param clock: Source of time.
    :param behaviour: What it is told to do at first.
    :param journal: File that keeps the keys over a restart, if any.
    """

    app = Klein()

    def __init__(
        self,
        *,
        clock: Clock,
        behaviour: StoreBehaviour | None = None,
        journal: pathlib.Path | None = None,
    ) -> None:
        self.counts = StoreCounts()
        self.keys = KeySpace(journal=journal)
        self._clock = clock
        self._behaviour = behaviour or StoreBehaviour()
        now = clock.seconds()
        self._reads = RateLimit(rate=self._behaviour.reads_per_s, now=now)
        self._writes = RateLimit(rate=self._behaviour.writes_per_s, now=now)
        self._watches: dict[str, set[Deferred[None]]] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._held: set[Deferred[None]] = set()
        self._saved: tuple[KeyEntry, ...] = ()

    @app.route("/v1/keys/<path:key>", methods=["GET"])
    async def read_key(self, request: Request, key: str) -> bytes:
        """Answer a read or a watch."""
        args: dict[bytes, list[bytes]] = request.args
        if b"after" in args:
            self.counts.watches += 1
        else:
            self.counts.reads += 1
        refusal = await self._admit(request, self._reads)
        if refusal is not None:
            return refusal
        if b"after" not in args:
            entry = self.keys.read(key)
            if self._is_to_be_held(key):
                self.counts.held += 1
                await self._wait_for_release()
            return await self._answer(request, entry)
        after = int(args[b"after"][0])
        timeout_s = float(args.get(b"timeout_s", [b"30"])[0])
        if self.keys.read(key).version == after:
            await self._wait_for_change(key, min(timeout_s, MAX_WATCH_S))
        if self._behaviour.outage is not Outage.NONE:
            return await self._fail(request)
        return await self._answer(request, self.keys.read(key))

    @app.route("/v1/keys/<path:key>", methods=["PUT"])
    async def write_key(self, request: Request, key: str) -> bytes:
        """Answer a compare-and-swap."""
        self.counts.writes += 1
        body = decode_json(read_body(request), KeyWrite)
        refusal = await self._admit(request, self._writes)
        if refusal is not None:
            return refusal
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        wish = body.ok
        if len((wish.value or "").encode()) > MAX_VALUE_BYTES:
            return write_json(request, {"error": "value too large"}, 413)
        done = self.keys.write(
            key=key, value=wish.value, expected_version=wish.expected_version
        )
        if done.is_error():
            self.counts.conflicts += 1
            return await self._answer(request, done.error, 409)
        self._wake_watches(key)
        if self._behaviour.hold_answers:
            await self._wait_for_release()
        if self._behaviour.lose_answers > 0:
            return await self._lose_answer(request)
        return await self._answer(request, done.ok)

    @app.route("/v1/leases", methods=["POST"])
    async def grant_lease(self, request: Request) -> bytes:
        """Grant a lease."""
        self.counts.leases += 1
        body = decode_json(read_body(request), LeaseWish)
        refusal = await self._admit(request, self._writes)
        if refusal is not None:
            return refusal
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        lease = uuid.uuid4().hex
        return await self._renew(request, lease, body.ok.ttl_s)

    @app.route("/v1/leases/<lease>", methods=["POST"])
    async def renew_lease(self, request: Request, lease: str) -> bytes:
        """Renew a lease that has not lapsed."""
        self.counts.leases += 1
        refusal = await self._admit(request, self._writes)
        if refusal is not None:
            return refusal
        ttl_s, lapses_at = self._leases.get(lease, (0.0, 0.0))
        if lapses_at <= self._clock.seconds():
            self._leases.pop(lease, None)
            return await self._answer(request, {"lease": lease}, 404)
        return await self._renew(request, lease, ttl_s)

    @app.route("/control", methods=["POST"])
    def change_behaviour(self, request: Request) -> bytes:
        """Change the fields of the behaviour that the body names."""
        merged = merge_behaviour(self._behaviour, read_body(request))
        if merged.is_error():
            return write_json(request, {"error": merged.error.reason}, 400)
        self._behaviour = merged.ok
        self._reads.set_rate(self._behaviour.reads_per_s)
        self._writes.set_rate(self._behaviour.writes_per_s)
        if not self._behaviour.hold_answers and not self._behaviour.hold_reads:
            self._release_answers()
        if self._behaviour.outage is not Outage.NONE:
            for key in tuple(self._watches):
                self._wake_watches(key)
        return write_json(request, self._behaviour)

    @app.route("/control/snapshot", methods=["POST"])
    def save_snapshot(self, request: Request) -> bytes:
        """Keep the present state, to be restored later."""
        self._saved = self.keys.list_entries()
        return write_json(request, {"keys": len(self._saved)})

    @app.route("/control/restore", methods=["POST"])
    def restore_snapshot(self, request: Request) -> bytes:
        """Go back to the state that was kept."""
        self.keys.restore(self._saved)
        for key in tuple(self._watches):
            self._wake_watches(key)
        return write_json(request, {"keys": len(self._saved)})

    @app.route("/control/counts", methods=["GET"])
    def report_counts(self, request: Request) -> bytes:
        """Report the calls seen."""
        return write_json(request, self.counts)

    @app.route("/control/keys", methods=["GET"])
    def report_keys(self, request: Request) -> bytes:
        """Report every key without counting it as a call."""
        return write_json(request, self.keys.list_entries())

    async def _admit(self, request: Request, limit: RateLimit) -> bytes | None:
        if self._behaviour.outage is not Outage.NONE:
            return await self._fail(request)
        if not limit.admit(self._clock.seconds()):
            self.counts.throttled += 1
            return write_json(request, {"error": "over the rate"}, 429)
        if self._behaviour.delay_s > 0:
            await sleep(self._clock, self._behaviour.delay_s)
        if self._behaviour.outage is not Outage.NONE:
            return await self._fail(request)
        return None

    async def _fail(self, request: Request) -> bytes:
        self.counts.failed += 1
        if self._behaviour.outage is Outage.HANG:
            await Deferred()
        return write_json(request, {"error": "out of service"}, 503)

    async def _answer(
        self, request: Request, message: Any, status: int = 200
    ) -> bytes:
        if self._behaviour.answer_delay_s > 0:
            await sleep(self._clock, self._behaviour.answer_delay_s)
        return write_json(request, message, status)

    async def _lose_answer(self, request: Request) -> bytes:
        left = self._behaviour.lose_answers - 1
        self._behaviour = dataclasses.replace(
            self._behaviour, lose_answers=left
        )
        self.counts.lost += 1
        abort_connection(request)
        return b""

    async def _renew(
        self, request: Request, lease: str, ttl_s: float
    ) -> bytes:
        self._leases[lease] = (ttl_s, self._clock.seconds() + ttl_s)
        return await self._answer(request, {"lease": lease, "ttl_s": ttl_s})

    def _is_to_be_held(self, key: str) -> bool:
        if self._behaviour.hold_reads != key:
            return False
        return not (self._behaviour.hold_one and self._held)

    async def _wait_for_release(self) -> None:
        released: Deferred[None] = Deferred()
        self._held.add(released)
        try:
            await released
        finally:
            self._held.discard(released)

    def _release_answers(self) -> None:
        for released in tuple(self._held):
            released.callback(None)

    async def _wait_for_change(self, key: str, timeout_s: float) -> None:
        changed: Deferred[None] = Deferred()
        waiting = self._watches.setdefault(key, set())
        waiting.add(changed)
        changed.addTimeout(
            timeout_s,
            self._clock,  # type: ignore[arg-type]
            onTimeoutCancel=lambda *_: None,
        )
        try:
            await changed
        finally:
            waiting.discard(changed)

    def _wake_watches(self, key: str) -> None:
        for changed in self._watches.pop(key, set()).copy():
            if not changed.called:
                changed.callback(None)
