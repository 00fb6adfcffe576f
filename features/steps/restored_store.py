"""A store over sockets that comes back from a copy, as in a drill."""

import dataclasses
import json

from faulty_store import FaultyStore

NOT_FOUND = 404


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """What the store held at some time."""

    items: dict
    events: tuple
    revision: int
    leases: frozenset
    next_lease: int


class RestoredStore(FaultyStore):
    """The faulty store, with eras and leases.

    :ivar era: Named in all answers, and one higher after each restore.
    :ivar shows_former: Whether copies of the store are still of the former
        era.
    :ivar holds_watches: Whether waiting watches outlive a restore.
    """

    def __init__(self):
        self.era = 1
        self.shows_former = False
        self.holds_watches = False
        self.leases = set()
        self.owners = {}
        self._next_lease = 1
        self._former_revision = 0
        super().__init__()

    def take_copy(self):
        with self._changed:
            return StoreCopy(
                items=dict(self.items),
                events=tuple(self._events),
                revision=self.revision,
                leases=frozenset(self.leases),
                next_lease=self._next_lease,
            )

    def restore(self, copy):
        with self._changed:
            self._former_revision = self.revision
            self.items = dict(copy.items)
            self._events = list(copy.events)
            self.revision = copy.revision
            self.leases = set(copy.leases)
            self._next_lease = copy.next_lease
            self.era += 1
            if not self.holds_watches:
                self._cuts += 1
            self._changed.notify_all()

    def open_foreign_lease(self):
        """Open a lease for another node."""
        with self._changed:
            self._next_lease += 1
            self.leases.add(self._next_lease - 1)
            return self._next_lease - 1

    def build_headers(self, query):
        era = self.era
        if "allow-stale" in query and self.shows_former:
            era -= 1
        return {"Store_Era": str(era)}

    def _answer(self, path, query, body):
        if path == "/-/kv-lease":
            return {"lease": self.open_foreign_lease(), "ttl-ms": 30000}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            return {} if lease in self.leases else NOT_FOUND
        if path == "/-/kv-txn":
            return self._write_leased(body)
        if path == "/-/kv-watch" and int(query["after"][0]) > self.revision:
            return None
        answer = super()._answer(path, query, body)
        if "allow-stale" in query and self.shows_former:
            answer["store-revision"] = self._former_revision
        return answer

    def _write_leased(self, body):
        for write in json.loads(body)["writes"]:
            if write["lease"] not in self.leases:
                return NOT_FOUND
            self.owners[write["key"]] = write["lease"]
        return super()._answer("/-/kv-txn", {}, body)
