"""Follows the store's changes, and keeps this node registered in it."""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import StoreAnswered
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored
from bluebellbay.protocol.registry import StoreEraChanged
from bluebellbay.protocol.registry import StoreReadAhead
from bluebellbay.transport._backoff import Backoff
from bluebellbay.transport.node_lease import NodeLease
from bluebellbay.transport.priority_items import PriorityItems
from bluebellbay.transport.store import HistoryCompacted
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.store import StorePage
from bluebellbay.transport.store import StoreRestored
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.store_age import StoreAge
from bluebellbay.transport.store_listing import StoreListing
from bluebellbay.transport.store_pace import StorePace
from bluebellbay.transport.watch_guard import WatchGuard
from bluebellbay.transport.wire import RoutingEventHandler

WATCH_S = 25.0
LOST_STORE_WATCH_S = 0.1

ExceptionHandler = Callable[[Exception], None]


class StoreFollower:
    """Reads all items of the store, then watches for changes.

    All items are read again once the store no longer holds the changes since
    the last revision read, and after an unexpected exception. The watch starts
    with the first page of them, so that a change never waits for a listing,
    however long it takes.

    A store that comes back from a copy has other items, under revisions that
    it had before. So all items are read again, and the node is registered
    anew, once any answer names a new era.

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
    :param read_version: Returns the version of the configuration in force.
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
        read_version: Callable[[], int],
    ) -> None:
        self.pace = pace
        self._count_nodes = count_nodes
        self._reactor = reactor
        self._client = client
        self._age = StoreAge(reactor=reactor, report=report)
        self._guard = WatchGuard(
            reactor=reactor,
            client=client,
            age=self._age,
            report_answer=self._report_answer,
            report_late=self._begin_reading_ahead,
        )
        self._schema = schema
        self._report = report
        self._report_exception = report_exception
        self._rng = rng
        self._lease = NodeLease(
            reactor=reactor,
            client=client,
            schema=schema,
            node=node,
            report=report,
            report_exception=report_exception,
            rng=rng,
            count_nodes=count_nodes,
            read_version=read_version,
        )
        client.eras.report = self._handle_era
        self._lost = False
        # Whether the store was restored since the last listing began.
        self._restored = False
        self._listing: StoreListing | None = None
        self._listing_task: Deferred[None] | None = None
        self._priority_items = PriorityItems(client=client, schema=schema)
        self._ahead_task: Deferred[None] | None = None
        self._tasks: list[Deferred[None]] = []

    def start(self) -> None:
        """Start to watch the store and to maintain the lease."""
        for task in (self._follow_changes(), self._lease.maintain()):
            running = Deferred.fromCoroutine(task)
            running.addErrback(self._report_task_failure)
            self._tasks.append(running)

    def stop(self) -> None:
        """Cancel the calls under way and make no more."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._cancel_listing()
        self._cancel_reading_ahead()

    async def _follow_changes(self) -> None:
        backoff = Backoff(reactor=self._reactor, rng=self._rng)
        revision: int | None = None
        listing = self._renew_listing("start")
        while True:
            if self._restored:
                listing = self._renew_listing("store restored")
                revision = None
            asked_at = self._reactor.seconds()
            try:
                if revision is None:
                    revision = await self._begin_listing(listing)
                else:
                    revision = await self._read_changes(revision)
                backoff.reset()
            except StoreRestored:
                backoff.reset()
            except HistoryCompacted:
                # The store has answered, and may be refusing a part of calls.
                backoff.reset()
                listing = self._renew_listing("history gone")
                revision = None
            except StoreUnavailable as error:
                self._report_lost(str(error), asked_at)
                await backoff.wait()
            except CancelledError:
                return
            except Exception as error:
                # A change that can't be handled must not end the watch.
                self._report_exception(error)
                listing = self._renew_listing("unexpected error")
                revision = None
                await backoff.wait()

    def _renew_listing(self, cause: str) -> StoreListing:
        self._cancel_listing()
        self._cancel_reading_ahead()
        self._age.begin_listing()
        listing = self._listing = StoreListing(
            reactor=self._reactor,
            client=self._client,
            schema=self._schema,
            report=self._report,
            backoff=Backoff(reactor=self._reactor, rng=self._rng),
            cause=cause,
        )
        return listing

    def _cancel_listing(self) -> None:
        self._listing = None
        if self._listing_task is not None:
            self._listing_task.cancel()
            self._listing_task = None

    async def _begin_listing(self, listing: StoreListing) -> int:
        """Read the first page; the others are read during the watch."""
        asked_at = self._reactor.seconds()
        page = await listing.read_first_page()
        # The page is of the present era, also if its answer has begun that.
        self._restored = False
        self._age.confirm(asked_at)
        self._report_answer()
        self._report_regained()
        self._listing_task = Deferred.fromCoroutine(
            self._finish_listing(listing, page)
        )
        return page.revision

    async def _finish_listing(
        self, listing: StoreListing, page: StorePage
    ) -> None:
        backoff = Backoff(reactor=self._reactor, rng=self._rng)
        while True:
            try:
                await listing.read_from(page)
                break
            except (CancelledError, StoreRestored):
                return
            except Exception as error:
                # Without the listing what is gone would be used for ever.
                self._report_exception(error)
                await backoff.wait()
        self._listing = None
        self._age.end_listing()

    def _report_answer(self) -> None:
        self._report(StoreAnswered())

    async def _read_changes(self, revision: int) -> int:
        nodes = self._count_nodes()
        # After a failure short watches notice the store's return early.
        watch_s = LOST_STORE_WATCH_S if self._lost else WATCH_S
        changes = await self._guard.watch(
            revision,
            watch_s,
            first_check_s=self.pace.compute_first_check(self._age.measure()),
            check_interval_s=self.pace.check_interval_s,
        )
        answered_at = changes.began_at or self._reactor.seconds()
        self._report_regained()
        self._report_changes(self._priority_items.select_newer(changes))
        if not self.pace.may_be_partial(changes.items):
            self._age.confirm(answered_at)
        batch_delay_s = self.pace.compute_batch_delay(nodes, changes.items)
        if batch_delay_s > 0:
            await deferLater(self._reactor, batch_delay_s)
        return max(revision, changes.revision)

    def _report_changes(self, items: tuple[StoreItem, ...]) -> None:
        if self._listing is not None:
            items = self._listing.add_changes(items)
        for item in items:
            for event in self._schema.decode_change(item):
                self._report(event)

    def _begin_reading_ahead(self) -> None:
        if self._ahead_task is not None and not self._ahead_task.called:
            return
        self._ahead_task = Deferred.fromCoroutine(self._read_ahead())
        self._ahead_task.addErrback(self._report_task_failure)

    def _cancel_reading_ahead(self) -> None:
        self._priority_items.clear()
        if self._ahead_task is not None:
            self._ahead_task.cancel()

    async def _read_ahead(self) -> None:
        """Read what must not wait while a watch's answer is arriving."""
        received_bytes = self._client.count_watch_bytes()
        items: tuple[StoreItem, ...] = ()
        error = ""
        try:
            items = await self._priority_items.read()
        except (CancelledError, StoreRestored):
            return
        except StoreUnavailable as failure:
            error = str(failure)
        self._report(
            StoreReadAhead(
                received_bytes=received_bytes,
                age_s=self._age.measure(),
                items=len(items),
                error=error,
            )
        )
        self._report_changes(items)

    def _handle_era(self, era: int, former: int | None) -> None:
        """Begin anew; the answer that told of the era is still handled."""
        self._report(StoreEraChanged(era=era, former=former))
        if former is None:
            return
        self._restored = True
        self._guard.interrupt()
        self._reactor.callLater(0, self._lease.renew_all)

    def _report_lost(self, reason: str, asked_at: float) -> None:
        self._lost = True
        self._report(StoreConnectionLost(reason=reason, asked_at=asked_at))

    def _report_regained(self) -> None:
        if self._lost:
            self._lost = False
            self._report(StoreConnectionRestored())

    def _report_task_failure(self, failure: Any) -> None:
        if not failure.check(CancelledError):
            self._report_exception(failure.value)
