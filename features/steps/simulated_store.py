"""A store and its replicas on a manual clock, with faults at set times."""

import dataclasses
import json

from twisted.internet.task import deferLater

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.transport.store import HistoryCompacted
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.store import StoreItems
from bluebellbay.transport.store import StorePage
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.store_era import StoreEras
from bluebellbay_platform.store import REVISION_PATH

ANSWER_S = 0.004
TIMEOUT_S = 1.5
POLL_S = 0.01
HEARTBEAT_S = 1.2
# A check that may be answered by a copy of the store is as old as the copy.
READS_COPIES = "allow-stale" in REVISION_PATH
LAPSE_S = 3 * HEARTBEAT_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outage:
    """A time in which the store answers nothing, by refusal or silence."""

    start: float
    end: float
    refuses: bool


@dataclasses.dataclass(kw_only=True)
class SimulatedReplica:
    """A replica that writes its entry at each heartbeat until it leaves."""

    name: str
    next_beat_at: float
    last_beat_at: float = 0.0
    removed_at: float | None = None


class SimulatedStore(StoreClient):
    """A store whose calls take time on a clock and may fail.

    :param clock: Twisted clock.
    :param rng: Source of the times of heartbeats.
    :param page_items: Largest number of items on a page.
    :param outages: When the store is away.
    :param silent_at: Times at which the open connections go silent.
    :param copy_age_s: Age of the store's copies.
    """

    def __init__(
        self,
        *,
        clock,
        rng,
        page_items=500,
        outages=(),
        silent_at=(),
        copy_age_s=0.0,
    ):
        self.clock = clock
        self.eras = StoreEras()
        self.outages = outages
        self.silent_at = silent_at
        self.replicas = {}
        self._rng = rng
        self.page_items = page_items
        self._copy_age_s = copy_age_s
        self._items = {}
        self._events = []
        # Time of each revision.
        self._written_at = {}
        self._revision = 1
        self._gone_revision = 0
        self._cut_at = -1.0
        # Connections opened since then work.
        self._reconnected_at = 0.0

    @property
    def now(self):
        return self.clock.seconds()

    def write_node(self, schema, name):
        item = schema.encode_node(build_node(name))
        self.write(item.key, item.value)

    def add_replica(self, name):
        self.replicas[name] = SimulatedReplica(
            name=name, next_beat_at=self.now
        )
        self.run_replicas()

    def remove_replica(self, name):
        """Remove the entry of a replica that leaves unannounced."""
        self.replicas[name].removed_at = self.now
        if f"servers/{name}" in self._items:
            self.write(f"servers/{name}", None)

    def cut_watches(self):
        self._cut_at = self.now

    def forget_history(self):
        self._gone_revision = self._revision
        self._events.clear()

    def run_replicas(self):
        """Let the heartbeats that are due be written, and entries lapse."""
        away = self._find_outage(self.now) is not None
        for replica in self.replicas.values():
            if replica.removed_at is not None:
                continue
            key = f"servers/{replica.name}"
            lapsed = self.now - replica.last_beat_at > LAPSE_S
            if key in self._items and lapsed:
                self.write(key, None)
            if self.now < replica.next_beat_at:
                continue
            replica.next_beat_at = self.now + HEARTBEAT_S * (
                self._rng.uniform(0.95, 1.0)
            )
            if away:
                continue
            replica.last_beat_at = self.now
            if key not in self._items:
                self.write(key, build_value(replica.name))

    async def read_page(self, after):
        await self._wait_for_answer()
        keys = [key for key in sorted(self._items) if key > after]
        page = keys[: self.page_items]
        return StorePage(
            items=tuple(self._items[key] for key in page),
            revision=self._revision,
            next_after=page[-1] if len(keys) > len(page) else None,
        )

    async def read_item(self, key):
        await self._wait_for_answer()
        return self._items.get(key)

    async def read_prefix(self, prefix):
        await self._wait_for_answer()
        return tuple(
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix)
        )

    async def watch(self, after, wait_s):
        called_at = self.now
        await self._wait_for_answer(wait_s)
        while True:
            if self._is_silent():
                await self._time_out(called_at, wait_s)
            outage = self._find_outage(self.now)
            if self._cut_at > called_at or (outage and outage.refuses):
                raise StoreUnavailable("cut")
            if outage is None:
                if after < self._gone_revision:
                    raise HistoryCompacted
                items = tuple(
                    item for item in self._events if item.revision > after
                )
                if items or self.now >= called_at + wait_s:
                    return StoreItems(items=items, revision=self._revision)
            if self.now >= called_at + wait_s + TIMEOUT_S:
                raise StoreUnavailable("timed out")
            await self._sleep(POLL_S)

    async def read_revision(self):
        await self._wait_for_answer()
        age_s = self._copy_age_s if READS_COPIES else 0.0
        copied_until = self.now - age_s
        return max(
            (
                item.revision
                for item in self._events
                if self._written_at[item.revision] <= copied_until
            ),
            default=self._gone_revision,
        )

    async def open_lease(self, ttl_s):
        return 1

    async def renew_lease(self, lease):
        return None

    async def put(self, key, value, lease):
        return None

    def write(self, key, value):
        self._revision += 1
        item = StoreItem(key=key, value=value, revision=self._revision)
        self._events.append(item)
        self._written_at[self._revision] = self.now
        if value is None:
            del self._items[key]
        else:
            self._items[key] = item

    def _find_outage(self, now):
        for outage in self.outages:
            if outage.start <= now < outage.end:
                return outage
        return None

    def _is_silent(self):
        """Tell whether the connections in use have gone silent."""
        return any(
            self._reconnected_at <= silent_at <= self.now
            for silent_at in self.silent_at
        )

    async def _wait_for_answer(self, wait_s=0.0):
        called_at = self.now
        await self._sleep(ANSWER_S)
        if self._is_silent():
            await self._time_out(called_at, wait_s)
        outage = self._find_outage(self.now)
        if outage is None:
            return
        if outage.refuses:
            raise StoreUnavailable("refused")
        await self._time_out(called_at, wait_s)

    async def _time_out(self, called_at, wait_s):
        left_s = called_at + wait_s + TIMEOUT_S - self.now
        await self._sleep(max(0.0, left_s))
        self._reconnected_at = self.now
        raise StoreUnavailable("timed out")

    def _sleep(self, seconds):
        return deferLater(self.clock, seconds)


def build_node(name):
    return NodeEntry(
        name=name, address="10.0.0.1:7380", failure_domain="zone-a"
    )


def build_value(name):
    return json.dumps(
        {
            "service": "service",
            "address": f"10.0.0.1:{9000 + sum(map(ord, name)) % 900}",
            "zone": "z",
            "max-concurrency": 2,
            "state": "ready",
            "sequence": 1,
            "born": 1000,
        }
    ).encode()
