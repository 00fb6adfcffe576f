"""Limits the requests to cold replicas, without messages between nodes."""

from collections.abc import Iterable
import math

from bluebellbay.coordination.routing.memberships import KnownMemberships
from bluebellbay.coordination.routing.memberships import Membership
from bluebellbay.state.rendezvous import rank_names
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

# Part of the limit that is permitted. The rest is for nodes that skipped a
# membership, as a listing tells the last one only.
PERMITTED_SHARE = 0.7
# Requests of one second may arrive within less, as some take longer ways.
WINDOW_S = 1.2
MAX_CACHED_SHARES = 1000


class WarmupPermits:
    """Decides whether this node may send a request to a cold replica.

    A few nodes may send a few requests each, so that all keep to the limit.

    :param state: State of the routing core.
    :ivar memberships: The nodes by which the limit is divided.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self.memberships = KnownMemberships(state=state)

    def update_members(
        self, members: Iterable[tuple[str, str]], now: float
    ) -> None:
        """Take over which nodes the store lists.

        :param members: Failure domain and name of each node; this node only
            if the store lists it.
        :param now: Current time in seconds.
        """
        self.memberships.update(members, now)

    def clear(self, now: float) -> None:
        """Drop what is cached, as a configuration may change the sets.

        :param now: Current time in seconds.
        """
        for membership in self.memberships.list_recent(now):
            membership.clear()

    def is_limited(self, record: ReplicaRecord) -> bool:
        """Tell whether requests to a replica are limited while it is cold.

        :param record: The replica.
        """
        return self._state.routes.get_warmup_rate(record.entry.service) > 0

    def may_send(self, record: ReplicaRecord, now: float) -> bool:
        """Tell whether a limited replica may get a request from this node.

        A request must not wait for a connection, or it would arrive beside
        later ones.

        :param record: The replica.
        :param now: Current time in seconds.
        """
        rate = self._state.routes.get_warmup_rate(record.entry.service)
        if len(record.in_flight) >= max(1, record.connection_limit):
            return False
        rules = self._state.rules.warmup
        limit = rate * rules.overage + rules.slack
        record.cold_sends.expire(now - WINDOW_S)
        share = min(
            (
                self._compute_share(membership, record, limit)
                for membership in self.memberships.list_binding(now)
            ),
            default=0,
        )
        return record.cold_sends.total < share

    def record_send(self, record: ReplicaRecord, now: float) -> None:
        """Count a request to a cold replica.

        :param record: The replica.
        :param now: Current time in seconds.
        """
        record.cold_sends.add(1, now)

    def _compute_share(
        self, membership: Membership, record: ReplicaRecord, limit: float
    ) -> int:
        entry = record.entry
        key = (entry.replica_id, entry.failure_domain, limit)
        shares = membership.shares.get(key)
        if shares is None:
            if len(membership.shares) >= MAX_CACHED_SHARES:
                membership.shares.clear()
            shares = self._divide(membership, record, limit)
            membership.shares[key] = shares
        return shares.get(self._state.rules.node, 0)

    def _divide(
        self, membership: Membership, record: ReplicaRecord, limit: float
    ) -> dict[str, int]:
        permitted = math.ceil(PERMITTED_SHARE * limit) - 1
        shards = self._state.routes.find_shards(record.entry.service)
        owners = membership.list_owners(record, shards)
        names = rank_names(
            (name for _, name in membership.members), record.entry.replica_id
        )
        # Nodes that own no shard of a divided set hardly query it.
        wanted = len(owners) or len(names)
        count = min(permitted, wanted)
        if count < 1:
            return {}
        ranked = tuple(dict.fromkeys((*owners, *names)))
        return dict.fromkeys(ranked[:count], permitted // count)
