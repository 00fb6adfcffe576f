"""The items that must not wait while a large answer of the store arrives."""

from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.store import StoreItems
from bluebellbay.transport.store import StoreSchema


class PriorityItems:
    """Reads the most urgent items by themselves, ahead of a watch.

    The watch tells of the same items later, as they were before or as they
    are known already. So only what is newer than what was read counts then.

    :param client: Makes the calls to the store.
    :param schema: Names the items that must not wait.
    """

    def __init__(self, *, client: StoreClient, schema: StoreSchema) -> None:
        self._client = client
        self._schema = schema
        # Revision of each item that was read, until the watch has passed it.
        self._revisions: dict[str, int] = {}

    def clear(self) -> None:
        """Forget what was read, as a listing tells everything anew."""
        self._revisions = {}

    async def read(self) -> tuple[StoreItem, ...]:
        """Read the items that must not wait.

        :returns: Those that are newer than what was read before.
        :raises StoreRestored: If the store was restored meanwhile.
        :raises StoreUnavailable: If a call failed.
        """
        items: tuple[StoreItem, ...] = ()
        first = await self._client.read_item(self._schema.first_key)
        if first is not None:
            items = (first,)
        if self._schema.first_prefix:
            items += await self._client.read_prefix(self._schema.first_prefix)
        newer = tuple(item for item in items if self._is_newer(item))
        for item in newer:
            self._revisions[item.key] = item.revision
        return newer

    def select_newer(self, changes: StoreItems) -> tuple[StoreItem, ...]:
        """Select the changes of a watch that are not known already.

        :param changes: The changes.
        :returns: Those that are newer than what was read, in order.
        """
        newer = tuple(item for item in changes.items if self._is_newer(item))
        self._revisions = {
            key: revision
            for key, revision in self._revisions.items()
            if revision > changes.revision
        }
        return newer

    def _is_newer(self, item: StoreItem) -> bool:
        return item.revision > self._revisions.get(item.key, -1)
