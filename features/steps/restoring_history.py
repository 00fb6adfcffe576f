"""Random histories of a simulated store that comes back from copies."""

import json

from simulated_store import ANSWER_S
from simulated_store import LAPSE_S
from simulated_store import READS_COPIES
from simulated_store import SimulatedStore
from store_history_steps import Fault
from store_history_steps import StoreHistory

from bluebellbay.transport.store import HistoryCompacted

CONFIGURATION_KEY = "op/config"
# Operator and replicas write again within this time what was lost.
REWRITE_S = 2.0


class RestoringStore(SimulatedStore):
    """The simulated store, with eras.

    :ivar lost_at: Time of the last restore.
    :ivar unread: Names of gone replicas whose removal a restore has lost
        before the node could read it; it counts once it is written again.
    """

    def __init__(self, **fields):
        self.era = 1
        self.lost_at = -1e9
        self.unread = set()
        self._log = []
        self._former_revision = 0
        self._former_until = -1e9
        super().__init__(**fields)

    def write(self, key, value):
        super().write(key, value)
        self._log.append((self.now, self._events[-1]))

    def restore(self, age_s, *, former_s):
        """Come back from a copy.

        :param age_s: Age of the copy.
        :param former_s: How long copies are still of the former era.
        """
        self._former_revision = self._revision
        self._former_until = self.now + former_s
        self._log = [
            entry for entry in self._log if entry[0] <= self.now - age_s
        ]
        self._items = {}
        for _, item in self._log:
            self._items.pop(item.key, None)
            if item.value is not None:
                self._items[item.key] = item
        self._revision = max(item.revision for _, item in self._log)
        self._gone_revision = min(self._gone_revision, self._revision)
        self._events = [
            item
            for _, item in self._log
            if item.revision > self._gone_revision
        ]
        self.era += 1
        self.lost_at = self.now

    @property
    def is_away(self):
        return self._find_outage(self.now) is not None

    def run_replicas(self):
        super().run_replicas()
        for replica in self.replicas.values():
            key = f"servers/{replica.name}"
            shown = replica.removed_at is not None and key in self._items
            if shown and self.now > self.lost_at + LAPSE_S:
                self.write(key, None)
                if replica.name in self.unread:
                    replica.removed_at = self.now

    async def read_page(self, after):
        called_in = self.eras.current
        page = await super().read_page(after)
        self.eras.check(self.era, called_in=called_in, begins=not after)
        return page

    async def read_item(self, key):
        called_in = self.eras.current
        item = await super().read_item(key)
        self.eras.check(self.era, called_in=called_in, begins=False)
        return item

    async def watch(self, after, wait_s):
        called_in = self.eras.current
        try:
            if after > self._revision:
                await self._sleep(ANSWER_S)
                raise HistoryCompacted
            changes = await super().watch(after, wait_s)
        except HistoryCompacted:
            self.eras.check(self.era, called_in=called_in, begins=False)
            raise
        self.eras.check(self.era, called_in=called_in, begins=False)
        return changes

    async def read_revision(self):
        called_in = self.eras.current
        revision = await super().read_revision()
        is_former = READS_COPIES and self.now < self._former_until
        era = self.era - is_former
        self.eras.check(era, called_in=called_in, begins=False)
        return self._former_revision if is_former else revision

    async def renew_lease(self, lease):
        called_in = self.eras.current
        await self._wait_for_answer()
        self.eras.check(self.era, called_in=called_in, begins=False)


class RestoringHistory(StoreHistory):
    """A node, and a store that is restored at random times."""

    store_class = RestoringStore

    def __init__(self, seed):
        super().__init__(seed, copy_age_s=0.0)
        # Time and version of each change that the store has confirmed.
        self.confirmed = []
        self.version_in_force = 0
        self.write_configuration()

    def write_configuration(self):
        if self.store.is_away:
            return
        self.confirmed.append((self.clock.seconds(), len(self.confirmed) + 1))
        self.rewrite_configuration()

    def rewrite_configuration(self):
        document = {
            "version": self.confirmed[-1][1],
            "routes": [],
            "services": [],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        self.store.write(CONFIGURATION_KEY, json.dumps(document).encode())

    def add_random_restores(self):
        for _ in range(self.rng.choice((1, 1, 2))):
            at = self.choose_time()
            away_s = self.rng.choice((0.0, 0.3, 2.0))
            if away_s:
                self.add_outage(
                    away_s, refuses=self.rng.random() < 0.5, start=at
                )
            restored_at = at + away_s
            self.faults.append(Fault(start=at, end=restored_at))
            age_s = away_s + self.rng.uniform(0.0, 8.0)
            self.actions.append((restored_at, self.restore, age_s))

    def restore(self, age_s):
        cuts = self.rng.random() < 0.7
        for replica in self.store.replicas.values():
            record = self.find_record(replica.name)
            is_used = record is not None and record.unlisted_at is None
            if replica.removed_at is not None and is_used:
                self.store.unread.add(replica.name)
                replica.removed_at = self.clock.seconds() + 1e6
        self.store.restore(age_s, former_s=self.rng.choice((0.0, 0.5, 3.0)))
        if cuts:
            self.store.cut_watches()
        # Other writes let the revisions pass those that were read before.
        for number in range(self.rng.choice((0, 3, 40))):
            self.store.write(f"other/{number}", b"")
        again_s = self.rng.uniform(0.0, REWRITE_S)
        self.clock.callLater(again_s, self.rewrite_configuration)

    def add_random_changes(self):
        for _ in range(self.rng.randrange(8)):
            self.actions.append((self.choose_time(), self.write_configuration))

    def add_random_arrivals(self):
        for number in range(3):
            name = f"new{number}"
            self.actions.append(
                (self.choose_time(), self.store.add_replica, name)
            )

    def check(self, now):
        """Check removals, and that no change is late or taken back."""
        self.check_removals(now)
        version = self.core.state.routes.version
        assert version >= self.version_in_force, "an older one is in force"
        self.version_in_force = version
        if not self.is_calm(now):
            return
        limit_s = self.core.state.rules.store.change_limit_s
        due = [item for at, item in self.confirmed if at < now - limit_s]
        assert version >= max(due, default=0), (now, version, due)

    def check_end(self):
        """Check that all live replicas are used."""
        for replica in self.store.replicas.values():
            if replica.removed_at is not None:
                continue
            record = self.find_record(replica.name)
            assert record is not None, replica
            assert record.unlisted_at is None, replica
