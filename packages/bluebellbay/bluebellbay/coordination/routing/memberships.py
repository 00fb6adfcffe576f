"""Which nodes share what a replica may get, while they know different things.

Nodes divide a limit by the memberships that the store lists, without messages.
A node acts only on what it is due under every membership that it knew within
``RETENTION_S``, and on confirmed knowledge of the store. Then one membership
was known to all nodes that act, and their parts of it add up to the limit.
"""

from collections.abc import Iterable
import math

from bluebellbay.coordination.routing.ownership import CONNECTED_OWNERS
from bluebellbay.coordination.routing.ownership import MIN_DIVIDED_SHARDS
from bluebellbay.coordination.routing.ownership import MIN_NODES
from bluebellbay.coordination.routing.ownership import SHARDS_PER_OWNER
from bluebellbay.state.rendezvous import rank_names
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState
from bluebellbay.state.store_picture import MAX_VIEW_AGE_S
from bluebellbay.state.value_history import ValueHistory

# All who may send share a membership that each knew within this time: that of
# the time when the oldest knowledge acted on was confirmed.
RETENTION_S = 12.0
MAX_CACHED_RANKINGS = 1000


class Membership:
    """The nodes that the store listed at some time.

    :param members: Failure domain and name of each node.
    """

    def __init__(self, members: Iterable[tuple[str, str]]) -> None:
        self.members = tuple(sorted(members))
        # What cold replicas may get, by replica, failure domain and limit.
        self.shares: dict[tuple[str, str, float], dict[str, int]] = {}
        self._lenders: dict[tuple[str, str], tuple[str, ...]] = {}

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Membership) and self.members == other.members

    def __hash__(self) -> int:
        return hash(self.members)

    def clear(self) -> None:
        """Drop what is cached, as a configuration may change the sets."""
        self.shares.clear()
        self._lenders.clear()

    def list_owners(
        self, record: ReplicaRecord, shards: tuple[str, ...]
    ) -> list[str]:
        """List the nodes that own the replica's shard, or may replace them.

        :param record: The replica.
        :param shards: All services of the set that its service belongs to.
        :returns: The names, those of the replica's failure domain first; none
            if the set is not divided.
        """
        return [
            name
            for domain in self._list_domains(record)
            for name in self._rank_owners(domain, record, shards)[
                :CONNECTED_OWNERS
            ]
        ]

    def list_lenders(
        self, record: ReplicaRecord, shards: tuple[str, ...]
    ) -> tuple[str, ...]:
        """List the nodes that divide a replica's rate limit, one a domain.

        In a divided set these are the first owners of its shard, as the
        queries of their failure domains pass through them.

        :param record: The replica.
        :param shards: All services of the set that its service belongs to.
        :returns: The names, that of the replica's failure domain first.
        """
        key = (record.entry.replica_id, record.entry.failure_domain)
        lenders = self._lenders.get(key)
        if lenders is None:
            if len(self._lenders) >= MAX_CACHED_RANKINGS:
                self._lenders.clear()
            lenders = self._lenders[key] = tuple(
                self._find_lender(domain, record, shards)
                for domain in self._list_domains(record)
            )
        return lenders

    def _find_lender(
        self, domain: str, record: ReplicaRecord, shards: tuple[str, ...]
    ) -> str:
        owners = self._rank_owners(domain, record, shards)
        if owners:
            return owners[0]
        return rank_names(self._list_names(domain), record.entry.replica_id)[0]

    def _rank_owners(
        self, domain: str, record: ReplicaRecord, shards: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Rank the owners of the replica's shard in a failure domain.

        :returns: Their names; none if the set is not divided there.
        """
        names = self._list_names(domain)
        if len(shards) < MIN_DIVIDED_SHARDS or len(names) < MIN_NODES:
            return ()
        count = math.ceil(len(shards) / SHARDS_PER_OWNER)
        owners = rank_names(names, shards[0])[:count]
        return rank_names(owners, record.entry.service)

    def _list_domains(self, record: ReplicaRecord) -> list[str]:
        near = record.entry.failure_domain
        return sorted(
            {domain for domain, _ in self.members},
            key=lambda domain: (domain != near, domain),
        )

    def _list_names(self, domain: str) -> list[str]:
        return [name for home, name in self.members if home == domain]


class KnownMemberships:
    """The memberships that decide what this node may send.

    :param state: State of the routing core.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self._started_at: float | None = None
        # Before the first listing no node is known, so that none may send.
        self._members = ValueHistory(Membership(()), retention_s=RETENTION_S)

    @property
    def current(self) -> Membership:
        """The membership that was read last."""
        return self._members.current

    def update(self, members: Iterable[tuple[str, str]], now: float) -> None:
        """Take over which nodes the store lists.

        :param members: Failure domain and name of each node; this node only
            if the store lists it.
        :param now: Current time in seconds.
        """
        if self._started_at is None:
            self._started_at = now
        self._members.replace(Membership(members), now)

    def list_recent(self, now: float) -> tuple[Membership, ...]:
        """List those that were known within ``RETENTION_S``.

        :param now: Current time in seconds.
        """
        return tuple(self._members.list_recent(now))

    def list_binding(self, now: float) -> tuple[Membership, ...]:
        """List those under all of which this node must be due what it sends.

        :param now: Current time in seconds.
        :returns: The memberships; none if the view of the store is too old to
            send anything.
        """
        if now - self._state.store.viewed_at > MAX_VIEW_AGE_S:
            return ()
        if self._is_first_start(now):
            return (self._members.current,)
        return self.list_recent(now)

    def _is_first_start(self, now: float) -> bool:
        """Tell whether the history began with the fleet, and is settled.

        A membership that has not changed for as long as a change takes to
        reach all nodes is that of all nodes. One that is not confirmed for as
        long may have been replaced at the others.
        """
        if not self._state.rules.first_start or self._started_at is None:
            return False
        confirmed_at = self._state.store.viewed_at
        limit_s = self._state.rules.store.change_limit_s
        return (
            now - self._started_at <= RETENTION_S
            and now - confirmed_at <= limit_s
            and confirmed_at - self._members.get_replacement_time() > limit_s
        )
