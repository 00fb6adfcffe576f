"""Follows the store's changes and maintains this node's lease in it."""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored
from bluebellbay.protocol.registry import StoreListed
from bluebellbay.transport.store import HistoryCompacted
from bluebellbay.transport.store import LeaseExpired
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreItems
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.store_pace import StorePace
from bluebellbay.transport.watch_guard import WatchGuard
from bluebellbay.transport.wire import RoutingEventHandler

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
WATCH_S = 25.0
LOST_STORE_WATCH_S = 0.1
LEASE_TTL_S = 30.0
RENEWALS_PER_LEASE = 3

ExceptionHandler = Callable[[Exception], None]


class _Backoff:
    def __init__(self, *, reactor: Any, rng: random.Random) -> None:
        self._reactor = reactor
        self._rng = rng
        self._next_delay_s = INITIAL_BACKOFF_S

    def reset(self) -> None:
        self._next_delay_s = INITIAL_BACKOFF_S

    def wait(self) -> Deferred[None]:
        seconds = self._next_delay_s * (0.5 + self._rng.random())
        self._next_delay_s = min(MAX_BACKOFF_S, 2 * self._next_delay_s)
        return deferLater(self._reactor, seconds)


class StoreFollower:
    """Reads all items of the store, then watches for changes.

    All items are read again once the store no longer holds the changes since
    the last revision read, and after an unexpected exception. The node's item
    is written under a lease, and again under a new one if that expires.

    :param reactor: Twisted reactor.
    :param client: Makes the calls to the store.
    :param schema: Converts store items to events.
    :param node: This node.
    :param report: Called with each event.
    :param report_exception: Called with each unexpected exception, as from
        the handling of a change.
    :param rng: Source of the jitter of retries.
    :param pace: Intervals of checks and batch delays; may be replaced at any
        time.
    :param count_nodes: Returns the number of nodes that call the store.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        client: StoreClient,
        schema: StoreSchema,
        node: NodeEntry,
        report: RoutingEventHandler,
        report_exception: ExceptionHandler,
        rng: random.Random,
        pace: StorePace,
        count_nodes: Callable[[], int],
    ) -> None:
        self.pace = pace
        self._count_nodes = count_nodes
        self._reactor = reactor
        self._client = client
        self._guard = WatchGuard(
            reactor=reactor, client=client, report_answer=self._record_answer
        )
        self._schema = schema
        self._node = node
        self._report = report
        self._report_exception = report_exception
        self._rng = rng
        self._lost = False
        self._answered_at: float | None = None
        # Time between the last two answers.
        self._silent_s: float | None = None
        self._listing_cause = "start"
        self._listing_failures = 0
        self._tasks: list[Deferred[None]] = []

    def start(self) -> None:
        """Start to watch the store and to maintain the lease."""
        for task in (self._follow_changes(), self._maintain_lease()):
            running = Deferred.fromCoroutine(task)
            running.addErrback(self._report_task_failure)
            self._tasks.append(running)

    def stop(self) -> None:
        """Cancel the calls under way and make no more."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    def measure_silence(self) -> float | None:
        """Measure how long the store has not answered a watch or a check.

        :returns: Seconds since its last answer; ``None`` if it never did.
        """
        if self._answered_at is None:
            return None
        return float(self._reactor.seconds()) - self._answered_at

    async def _follow_changes(self) -> None:
        backoff = _Backoff(reactor=self._reactor, rng=self._rng)
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    revision = await self._read_changes(revision)
                backoff.reset()
            except HistoryCompacted:
                self._listing_cause = "history gone"
                revision = None
            except StoreUnavailable as error:
                self._report_lost(str(error))
                await backoff.wait()
            except CancelledError:
                return
            except Exception as error:
                # A change that can't be handled must not end the watch.
                self._report_exception(error)
                self._listing_cause = "unexpected error"
                revision = None
                await backoff.wait()

    async def _read_all(self) -> int:
        items = await self._list_items()
        self._report_regained()
        for event in self._schema.decode_items(items.items):
            self._report(event)
        return items.revision

    async def _list_items(self) -> StoreItems:
        began_at = self._reactor.seconds()
        try:
            items = await self._client.list_items()
        except StoreUnavailable as error:
            self._listing_failures += 1
            self._report_listing(began_at, error=str(error))
            raise
        self._record_answer()
        self._report_listing(
            began_at, items=len(items.items), pages=items.pages
        )
        self._listing_failures = 0
        return items

    def _report_listing(
        self,
        began_at: float,
        *,
        items: int = 0,
        pages: int = 0,
        error: str = "",
    ) -> None:
        self._report(
            StoreListed(
                cause=self._listing_cause,
                items=items,
                pages=pages,
                seconds=self._reactor.seconds() - began_at,
                failures=self._listing_failures,
                error=error,
            )
        )

    def _record_answer(self) -> None:
        self._silent_s = self.measure_silence()
        self._answered_at = self._reactor.seconds()

    async def _read_changes(self, revision: int) -> int:
        nodes = self._count_nodes()
        # After a failure short watches notice the store's return early.
        watch_s = LOST_STORE_WATCH_S if self._lost else WATCH_S
        changes = await self._guard.watch(
            revision,
            watch_s,
            check_interval_s=self.pace.check_interval_s,
        )
        self._report_regained()
        for item in changes.items:
            for event in self._schema.decode_change(item):
                self._report(event)
        batch_delay_s = self.pace.compute_batch_delay(nodes, changes.items)
        if batch_delay_s > 0:
            await deferLater(self._reactor, batch_delay_s)
        return max(revision, changes.revision)

    async def _maintain_lease(self) -> None:
        backoff = _Backoff(reactor=self._reactor, rng=self._rng)
        lease: int | None = None
        item = self._schema.encode_node(self._node)
        while True:
            try:
                if lease is None:
                    lease = await self._client.open_lease(LEASE_TTL_S)
                    await self._client.put(item.key, item.value or b"", lease)
                else:
                    await self._client.renew_lease(lease)
                backoff.reset()
                await deferLater(
                    self._reactor, LEASE_TTL_S / RENEWALS_PER_LEASE
                )
            except LeaseExpired:
                lease = None
            except StoreUnavailable:
                # The watch reports the outage.
                await backoff.wait()
            except CancelledError:
                return
            except Exception as error:
                # Without a lease the other nodes would not count this one.
                self._report_exception(error)
                await backoff.wait()

    def _report_lost(self, reason: str) -> None:
        self._lost = True
        self._report(
            StoreConnectionLost(reason=reason, silent_s=self.measure_silence())
        )

    def _report_regained(self) -> None:
        if self._lost:
            self._lost = False
            self._report(StoreConnectionRestored(silent_s=self._silent_s))

    def _report_task_failure(self, failure: Any) -> None:
        if not failure.check(CancelledError):
            self._report_exception(failure.value)
