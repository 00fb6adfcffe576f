"""Reads all items of the store while its changes are watched."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import TypeVar

from bluebellbay.protocol.registry import StoreListed
from bluebellbay.transport._backoff import Backoff
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.store import StorePage
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.wire import RoutingEventHandler

_Answer = TypeVar("_Answer")


class StoreListing:
    """Reads all items page by page, and reports each page as it comes.

    Pages and changes arrive in any order. Of each item the highest revision
    counts, so that a page never undoes a change. A page that fails is read
    again by itself. After the last page the whole listing is reported, which
    tells what is gone.

    :param reactor: Twisted reactor.
    :param client: Makes the calls to the store.
    :param schema: Converts store items to events.
    :param report: Called with each event.
    :param backoff: Pauses between tries of a page.
    :param cause: Why all items are read, as a short phrase.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        client: StoreClient,
        schema: StoreSchema,
        report: RoutingEventHandler,
        backoff: Backoff,
        cause: str,
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._schema = schema
        self._report = report
        self._backoff = backoff
        self._cause = cause
        self._failures = 0
        self._began_at = reactor.seconds()
        self._pages = 0
        # Newest known form of each item; without a value if it was removed.
        self._items: dict[str, StoreItem] = {}

    def add_changes(self, items: Iterable[StoreItem]) -> tuple[StoreItem, ...]:
        """Take note of items that were read or have changed.

        :param items: The items, in order of their revisions.
        :returns: Those that are newer than what was known.
        """
        newer = []
        for item in items:
            known = self._items.get(item.key)
            if known is None or item.revision >= known.revision:
                self._items[item.key] = item
                newer.append(item)
        return tuple(newer)

    async def read_first_page(self) -> StorePage:
        """Read the first page, with one try.

        :returns: The page, for :meth:`read_from`; nothing is reported of it.
        :raises StoreUnavailable: If it could not be read.
        """
        try:
            return await self._client.read_page("")
        except StoreUnavailable as error:
            self._failures += 1
            self._report_progress(error=str(error))
            raise

    async def read_from(self, page: StorePage) -> None:
        """Report a page, then read and report all that follow.

        :param page: The first page.
        """
        first_key = self._schema.first_key
        if page.next_after is not None and page.next_after < first_key:
            await self._read_first_key(first_key)
        first_prefix = self._schema.first_prefix
        if page.next_after is not None and page.next_after < first_prefix:
            self._report_items((await self._read_page(first_prefix)).items)
        while page.next_after is not None:
            self._add_page(page)
            page = await self._read_page(page.next_after)
        self._pages += 1
        self.add_changes(page.items)
        self._report_whole()

    async def _read_first_key(self, key: str) -> None:
        item = await self._retry(lambda: self._client.read_item(key))
        if item is not None:
            self._report_items((item,))

    async def _read_page(self, after: str) -> StorePage:
        return await self._retry(lambda: self._client.read_page(after))

    def _add_page(self, page: StorePage) -> None:
        self._pages += 1
        self._report_items(page.items)

    def _report_items(self, items: Iterable[StoreItem]) -> None:
        newer = self.add_changes(items)
        for event in self._schema.decode_items(newer, complete=False):
            self._report(event)

    def _report_whole(self) -> None:
        items = tuple(
            item for item in self._items.values() if item.value is not None
        )
        for event in self._schema.decode_items(items, complete=True):
            self._report(event)
        self._report_progress()

    async def _retry(self, call: Callable[[], Awaitable[_Answer]]) -> _Answer:
        while True:
            try:
                answer = await call()
            except StoreUnavailable as error:
                self._failures += 1
                if self._failures.bit_count() == 1:
                    # Few lines, however many tries fail.
                    self._report_progress(error=str(error))
                await self._backoff.wait()
                continue
            self._backoff.reset()
            return answer

    def _report_progress(self, error: str = "") -> None:
        self._report(
            StoreListed(
                cause=self._cause,
                items=len(self._items),
                pages=self._pages,
                seconds=self._reactor.seconds() - self._began_at,
                failures=self._failures,
                error=error,
            )
        )
