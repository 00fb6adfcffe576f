"""Divides the retry slack of a service among the nodes of the fleet.

All queries for which a failure domain reads a shard of a divided set pass
through the first owner of the shard there. Most of the slack is therefore
divided by failure domains, for these owners, and the rest by nodes. The parts
add up to the slack at most, also while nodes differ in what they know: a node
uses the least that it was due under all that it knew in the last window and
``MAX_VIEW_AGE_S``. By the end of this time all nodes that are still confirmed
by the store know of the change that gave it more.
"""

from collections.abc import Iterable
import dataclasses
import math

from bluebellbay.coordination.routing.ownership import MIN_DIVIDED_SHARDS
from bluebellbay.coordination.routing.ownership import ShardOwners
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.state.router import RouterState
from bluebellbay.state.store_picture import MAX_VIEW_AGE_S
from bluebellbay.state.value_history import ValueHistory

# Leaves room as the windows of the nodes differ slightly in time.
SAFETY_FACTOR = 0.9
# Part of the slack of a divided set that is divided by nodes.
COMMON_SHARE = 0.2
# A node can't send a part of a retry. So its part is one retry at least, if
# that takes no more than this part of the slack.
MAX_COMMON_SHARE = 0.5
MIN_NODE_RETRIES = 1.001
# Part of an owner's share that it may spend at once on a set that a new
# configuration names. Nodes may differ for a moment in which replicas of it
# they know, so that two nodes may take themselves for the owner.
NEW_SET_SHARE = 0.5
# Time for which nodes count that may be cut off. A process that was started
# again doesn't know those from before its start.
UNKNOWN_NODES_S = 60.0

_Shards = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlackShare:
    """This node's part of the slack of a service, 0 to 1.

    :param common: What each node may spend.
    :param owned: What it may spend beyond as the first owner of a shard.
    """

    common: float
    owned: float = 0.0

    def compute_total(self, *, settled: bool) -> float:
        """Compute the whole part.

        :param settled: Whether the node may act as an owner.
        """
        return self.common + (self.owned if settled else 0.0)


def compute_common_share(nodes: int, slack: float) -> float:
    """Compute which part of a divided set's slack is divided by nodes.

    :param nodes: Number of nodes.
    :param slack: The slack of a service, in retries in a window.
    :returns: The part, 0 to 1; the rest is for the owners.
    """
    needed = nodes * MIN_NODE_RETRIES / (SAFETY_FACTOR * max(slack, 1.0))
    if needed > MAX_COMMON_SHARE:
        return COMMON_SHARE
    return max(COMMON_SHARE, needed)


class SlackShares:
    """This node's parts of the retry slack, by service.

    They follow only from entries in the store, not from what this node
    keeps or drops by its own decision, as that differs from node to node.

    :param state: State of the routing core.
    :param owners: Owners of shards in the failure domains.
    """

    def __init__(self, *, state: RouterState, owners: ShardOwners) -> None:
        self._state = state
        self._owners = owners
        # Until when there may be nodes that this one never knew.
        self._complete_at: float | None = None
        self._confirmed_at = -math.inf
        # Since when the knowledge of the store was never too old.
        self._steady_since = math.inf
        self._retention_s = 0.0
        self._members: tuple[str, ...] | None = None
        self._members_changed_at = math.inf
        # Service of each replica that the store lists in this failure domain.
        self._held: dict[str, str] = {}
        self._shares: dict[str, ValueHistory[SlackShare]] = {}

    def get(self, service: str, now: float) -> float:
        """Return the part of the slack that this node may spend.

        :param service: Name of the service.
        :param now: Current Unix time in seconds.
        :returns: The part, 0 to 1.
        """
        shares = self._shares.get(service)
        if shares is None:
            return 1 / max(1, self._state.nodes)
        settled = self._is_settled(now)
        return min(
            share.compute_total(settled=settled)
            for share in shares.list_recent(now)
        )

    def confirm(self, at: float, now: float) -> None:
        """Note that all is known that the store had accepted by some time.

        :param at: The time in seconds.
        :param now: Current Unix time in seconds.
        """
        if now - self._confirmed_at > MAX_VIEW_AGE_S:
            # Another node may have been the owner unnoticed.
            self._steady_since = now
        self._confirmed_at = max(self._confirmed_at, at)
        if self._complete_at is not None and now >= self._complete_at:
            self._complete_at = None
            self.update(now)

    def list_replicas(self, entries: Iterable[ReplicaEntry]) -> bool:
        """Replace the replicas that are known of this failure domain.

        :param entries: All entries of the store.
        :returns: Whether anything has changed.
        """
        former = self._held
        self._held = {
            entry.replica_id: entry.service
            for entry in entries
            if entry.failure_domain == self._state.failure_domain
        }
        return self._held != former

    def add_replica(self, entry: ReplicaEntry) -> bool:
        """Note an entry of a replica.

        :param entry: The entry.
        :returns: Whether anything has changed.
        """
        if entry.failure_domain != self._state.failure_domain:
            return self.remove_replica(entry.replica_id)
        if self._held.get(entry.replica_id) == entry.service:
            return False
        self._held[entry.replica_id] = entry.service
        return True

    def remove_replica(self, replica_id: str) -> bool:
        """Note that an entry is gone.

        :param replica_id: Identity of the replica.
        :returns: Whether anything has changed.
        """
        return self._held.pop(replica_id, None) is not None

    def update(self, now: float) -> None:
        """Put the parts in force that follow from what is known now.

        It must be called whenever that changes, as a part that was not
        recorded can't be respected.

        :param now: Current Unix time in seconds.
        """
        retention_s = self._state.rules.retries.window_s + MAX_VIEW_AGE_S
        if retention_s != self._retention_s:
            if not self._retention_s and not self._state.rules.first_start:
                self._complete_at = now + UNKNOWN_NODES_S
            self._retention_s = retention_s
            self._shares = {}
            self._steady_since = max(now, self._steady_since)
        self._note_members(now)
        undivided = SlackShare(common=1 / max(1, self._state.nodes))
        # The others may take the set for divided, now or until recently.
        alone = undivided
        if self._complete_at is not None:
            alone = self._compute_common()
        shares = dict.fromkeys(self._shares, alone)
        for shards in self._state.routes.list_shard_sets():
            if len(shards) >= MIN_DIVIDED_SHARDS:
                shares.update(self._compute_shares(shards, alone))
        for service, share in shares.items():
            history = self._shares.get(service)
            if history is None:
                history = self._shares[service] = ValueHistory(
                    self._find_initial(share, alone, now),
                    retention_s=retention_s,
                )
            history.replace(share, now)

    def _note_members(self, now: float) -> None:
        members = self._owners.list_members()
        if members != self._members:
            self._members_changed_at = now
            self._members = members

    def _find_initial(
        self, share: SlackShare, alone: SlackShare, now: float
    ) -> SlackShare:
        """Find the share in force before a set was known.

        Requests to the services of a new set come only from nodes that know
        its configuration, or through its owners. So an owner may act at once
        if no other node can have been one: the members have not changed.
        """
        unchanged_s = now - self._members_changed_at
        if unchanged_s <= self._retention_s or not self._is_settled(now):
            return alone
        return dataclasses.replace(share, owned=NEW_SET_SHARE * share.owned)

    def _is_settled(self, now: float) -> bool:
        return (
            now - self._confirmed_at <= MAX_VIEW_AGE_S
            and now - self._steady_since > self._retention_s
        )

    def _compute_common(self) -> SlackShare:
        nodes = max(1, self._state.nodes)
        part = compute_common_share(nodes, self._state.rules.retries.slack)
        return SlackShare(common=part / nodes)

    def _compute_shares(
        self, shards: _Shards, undivided: SlackShare
    ) -> dict[str, SlackShare]:
        held = set(self._held.values())
        count = sum(shard in held for shard in shards)
        owned = self._owners.list_owned(shards, count)
        if owned is None:
            return dict.fromkeys(shards, undivided)
        common = self._compute_common().common
        shares = dict.fromkeys(shards, SlackShare(common=common))
        if self._state.is_registered:
            left = 1 - common * max(1, self._state.nodes)
            owner = SlackShare(
                common=common, owned=left / self._owners.domain_count
            )
            shares.update(dict.fromkeys(owned, owner))
        return shares
