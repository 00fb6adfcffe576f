"""Abstract base classes for the platform's key-value store."""

import abc
import dataclasses
from typing import TYPE_CHECKING

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.routing import RoutingEvent

if TYPE_CHECKING:
    from bluebellbay.transport.store_era import StoreEras

# An answer that is arriving is waited for, unless no byte comes for so long.
STALL_S = 1.5


class StoreUnavailable(Exception):
    """The store did not answer, or its answer can't be decoded."""


class StoreRestored(Exception):
    """The store came back from a copy; what was asked for is of before."""


class HistoryCompacted(Exception):
    """The store no longer holds the changes since the given revision."""


class LeaseExpired(Exception):
    """The lease has expired or is unknown to the store."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreItem:
    """A key and its value.

    :param key: The key.
    :param value: The value; ``None`` if the key was removed.
    :param revision: The store's revision when it was written or removed.
    """

    key: str
    value: bytes | None
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreItems:
    """Changes and the store revision up to which they were read.

    :param items: The changes, in order.
    :param revision: Revision after which to watch for changes.
    :param began_at: Time in seconds when the answer began to arrive, of the
        reactor's clock; none if it came at once. What the store accepted
        since is not in it.
    """

    items: tuple[StoreItem, ...]
    revision: int
    began_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StorePage:
    """One page of a listing of the store.

    :param items: The items, in the order of their keys.
    :param revision: The store's revision when it was read. Watching after
        that of the first page also gives what changes during the listing.
    :param next_after: Key after which the next page begins; ``None`` on the
        last page.
    """

    items: tuple[StoreItem, ...]
    revision: int
    next_after: str | None = None


class StoreClient(abc.ABC):
    """Calls to the store; each raises ``StoreUnavailable`` if it fails.

    A call that belongs to an earlier era of the store raises
    ``StoreRestored``: a page after the first, a watch, and the calls with a
    lease.

    :ivar eras: Which era of the store answers are of.
    """

    eras: "StoreEras"

    @abc.abstractmethod
    async def read_page(self, after: str) -> StorePage:
        """Read one page of all items.

        :param after: Key after which the page begins; empty for the first.
        :returns: The page.
        """

    @abc.abstractmethod
    async def read_item(self, key: str) -> StoreItem | None:
        """Read one item.

        :param key: Its key.
        :returns: The item, or ``None`` if there is none.
        """

    @abc.abstractmethod
    async def read_prefix(self, prefix: str) -> tuple[StoreItem, ...]:
        """Read the items whose keys begin so, one page of them at most.

        :param prefix: How the keys begin.
        :returns: The items.
        """

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> StoreItems:
        """Wait for changes to any key.

        :param after: Revision after which to return changes.
        :param wait_s: Longest time in seconds to wait for a change.
        :returns: The changes; no items if there was none in time.
        :raises HistoryCompacted: If the store no longer holds the changes
            after the revision.
        """

    def count_watch_bytes(self) -> int:
        """Count the bytes received of the answer to the watch under way."""
        return 0

    @abc.abstractmethod
    async def read_revision(self) -> int:
        """Read the revision of the store itself, not of a copy.

        :returns: A revision that holds all that the store had accepted when
            it was asked.
        """

    @abc.abstractmethod
    async def open_lease(self, ttl_s: float) -> int:
        """Create a lease.

        :param ttl_s: Time to live in seconds, unless renewed.
        :returns: Number of the lease.
        """

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Restart the time to live of a lease.

        :param lease: Number of the lease.
        :raises LeaseExpired: If it has expired.
        """

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write an item that is removed when its lease expires.

        :param key: The key.
        :param value: The value.
        :param lease: Number of the lease.
        :raises LeaseExpired: If the lease has expired.
        """


class StoreSchema(abc.ABC):
    """Converts store items to events and a node to its item."""

    @property
    @abc.abstractmethod
    def first_key(self) -> str:
        """Key of the item that a listing must not keep waiting."""

    @property
    def first_prefix(self) -> str:
        """Prefix of further keys that must not wait; empty for none."""
        return ""

    @abc.abstractmethod
    def decode_items(
        self, items: tuple[StoreItem, ...], *, complete: bool
    ) -> tuple[RoutingEvent, ...]:
        """Decode a listing of the store, or a part of it.

        :param items: The items, in any order.
        :param complete: Whether these are all; what else is known is gone
            then.
        :returns: The events, in the order to report them in.
        """

    @abc.abstractmethod
    def decode_change(self, item: StoreItem) -> tuple[RoutingEvent, ...]:
        """Decode a change.

        :param item: The item as written or removed.
        :returns: The events; empty if the item is of an unrelated kind.
        """

    @abc.abstractmethod
    def encode_node(self, node: NodeEntry) -> StoreItem:
        """Encode the item that announces a node to the others.

        :param node: The node.
        :returns: The item to write.
        """
