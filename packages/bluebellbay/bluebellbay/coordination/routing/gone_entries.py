"""Entries that a restored store shows of replicas that were seen to go."""

import collections
import math

from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.state.store_picture import RestoredItem
from bluebellbay.state.store_picture import StorePicture

MAX_GONE_ENTRIES = 4096

_Incarnation = tuple[str, int]


class GoneEntries:
    """Holds back listed entries whose replicas may have gone.

    A copy of the store holds entries that were removed since. Those of gone
    replicas lapse again, as they write no heartbeats; an entry that is still
    there after this time is of a live replica.

    :param store: How old the knowledge of the store is.
    """

    def __init__(self, *, store: StorePicture) -> None:
        self._store = store
        self._gone: collections.OrderedDict[_Incarnation, None] = (
            collections.OrderedDict()
        )
        self._held: dict[str, ReplicaEntry] = {}

    def note_gone(self, entry: ReplicaEntry) -> None:
        """Note that an entry was read as removed.

        :param entry: The entry, as last read.
        """
        key = _build_key(entry)
        self._gone[key] = None
        self._gone.move_to_end(key)
        if len(self._gone) > MAX_GONE_ENTRIES:
            self._gone.popitem(last=False)

    def note_written(self, entry: ReplicaEntry) -> None:
        """Note that a replica has just written its entry, so that it lives.

        :param entry: The entry.
        """
        self._gone.pop(_build_key(entry), None)
        if self._held.pop(entry.replica_id, None) is not None:
            self._store.restored_items[RestoredItem.WRITTEN_AGAIN] += 1

    def discard(self, replica_id: str) -> None:
        """Drop an entry that is held back, as it was removed again.

        :param replica_id: Identity of the replica.
        """
        if self._held.pop(replica_id, None) is not None:
            self._store.restored_items[RestoredItem.DROPPED] += 1

    def hold(self, entry: ReplicaEntry, now: float) -> bool:
        """Tell whether a listed entry must not be used yet.

        :param entry: The entry.
        :param now: Current time in seconds.
        """
        if now >= self._store.proven_at or _build_key(entry) not in self._gone:
            return False
        if entry.replica_id not in self._held:
            self._store.restored_items[RestoredItem.KEPT] += 1
        self._held[entry.replica_id] = entry
        return True

    def get_end(self) -> float:
        """Return the time in seconds when entries are no longer held back.

        :returns: The time; infinite if none is.
        """
        return self._store.proven_at if self._held else math.inf

    def pop_proven(self, now: float) -> list[ReplicaEntry]:
        """Return the entries that have proved to be of live replicas.

        :param now: Current time in seconds.
        """
        if now < self.get_end():
            return []
        held, self._held = self._held, {}
        for entry in held.values():
            self._gone.pop(_build_key(entry), None)
        return list(held.values())


def _build_key(entry: ReplicaEntry) -> _Incarnation:
    return (entry.replica_id, entry.started_ms)
