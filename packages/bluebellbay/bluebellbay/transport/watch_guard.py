"""Watches the store, and ends watches that have died silently."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bluebellbay.transport.store import STALL_S
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreItems
from bluebellbay.transport.store import StoreRestored
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.store_age import StoreAge

# The answer of a watch begins to arrive no later than that of a check.
ANSWER_GRACE_S = 0.5


class WatchGuard:
    """Checks during a watch whether the store is ahead of it.

    A watch whose answer was lost, or whose connection is dead, looks like one
    without changes. So the store itself is asked for its revision before what
    is known gets too old. A copy would show a loss later by its own age.

    A large answer on a slow link is no lost one: a watch whose answer is
    arriving goes on, as the next one would have to bring the same.

    :param reactor: Twisted reactor.
    :param client: Makes the calls to the store.
    :param age: Told when a check shows that nothing was missed.
    :param report_answer: Called with each answer of the store.
    :param report_late: Called at each check that finds the watch's answer
        still arriving.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        client: StoreClient,
        age: StoreAge,
        report_answer: Callable[[], None],
        report_late: Callable[[], None],
    ) -> None:
        self._report_late = report_late
        self._report_answer = report_answer
        self._reactor = reactor
        self._client = client
        self._age = age
        self._fault: str | None = None
        self._watch: Deferred[StoreItems] | None = None

    def interrupt(self) -> None:
        """End the watch under way, as it is of an earlier era of the store.

        It is not ended here: its own answer may have told of the new era.
        """
        self._reactor.callLater(0, self._end, self._watch)

    def _end(self, watch: Deferred[StoreItems] | None) -> None:
        if watch is not None and watch is self._watch:
            self._watch = None
            watch.cancel()

    async def watch(
        self,
        after: int,
        wait_s: float,
        *,
        first_check_s: float,
        check_interval_s: float,
    ) -> StoreItems:
        """Wait for changes to any key.

        :param after: Revision after which to return changes.
        :param wait_s: Longest time in seconds to wait for a change.
        :param first_check_s: Seconds until the first check.
        :param check_interval_s: Seconds between two checks.
        :returns: The changes; no items if there was none in time.
        :raises HistoryCompacted: If the store no longer holds the changes
            after the revision.
        :raises StoreRestored: If the revision is of an earlier era.
        :raises StoreUnavailable: If the watch failed, or a check failed or
            found changes that the watch did not report.
        """
        self._fault = None
        watch = Deferred.fromCoroutine(self._client.watch(after, wait_s))
        self._watch = watch
        checks = Deferred.fromCoroutine(
            self._check(watch, after, first_check_s, check_interval_s)
        )
        checks.addErrback(lambda failure: failure.trap(CancelledError))
        try:
            items = await watch
            self._report_answer()
            return items
        except CancelledError:
            if self._watch is None:
                raise StoreRestored from None
            if self._fault is None:
                raise
            raise StoreUnavailable(self._fault) from None
        finally:
            self._watch = None
            checks.cancel()

    async def _check(
        self,
        watch: Deferred[StoreItems],
        after: int,
        delay_s: float,
        interval_s: float,
    ) -> None:
        while self._fault is None:
            await deferLater(self._reactor, delay_s)
            checked_at = self._reactor.seconds()
            self._fault = await self._find_fault(after)
            elapsed_s = self._reactor.seconds() - checked_at
            delay_s = max(0.0, interval_s - elapsed_s)
        watch.cancel()

    async def _find_fault(self, after: int) -> str | None:
        asked_at = self._reactor.seconds()
        received = self._client.count_watch_bytes()
        try:
            revision = await self._client.read_revision()
        except CancelledError:
            raise
        except StoreRestored:
            # The watch is interrupted.
            return None
        except Exception as error:
            if self._client.count_watch_bytes() > received:
                return None
            return f"a check failed: {error}"
        self._report_answer()
        if revision <= after:
            self._age.confirm(asked_at)
            return None
        if await self._is_arriving(received):
            self._report_late()
            return None
        return f"the watch did not report revision {revision}"

    async def _is_arriving(self, received: int) -> bool:
        """Tell whether more of the watch's answer comes within its time.

        :param received: Bytes of it that had come before the check.
        """
        if self._client.count_watch_bytes() > received:
            return True
        await deferLater(self._reactor, ANSWER_GRACE_S)
        if received and self._client.count_watch_bytes() == received:
            await deferLater(self._reactor, STALL_S - ANSWER_GRACE_S)
        return self._client.count_watch_bytes() > received
