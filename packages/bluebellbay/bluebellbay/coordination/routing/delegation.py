"""Lets peers query some shards of a query.

A peer sends back the greatest records of its shards together. Near the
replicas of another failure domain it saves bytes between domains.
"""

import dataclasses
from typing import TYPE_CHECKING

from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.router import RouterState

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.scatter import ScatterRun

# Fewer shards are asked directly, which costs little more.
LEAST_SHARDS = 3
# Time in which a connection to a sound peer is opened.
CONNECT_S = 0.015
# The way to the peer and back.
PEER_WAYS_S = 0.004


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """Shards that one peer is to query.

    :param peer: The peer.
    :param shards: Services that hold the shards.
    """

    peer: PeerRecord
    shards: tuple[str, ...]


class PeerChooser:
    """Finds peers for the shards that no near replica holds.

    :param state: What the node knows.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state

    def assign(
        self, shards: tuple[str, ...], now: float
    ) -> tuple[Assignment, ...]:
        """Assign shards to peers in failure domains that hold them.

        :param shards: Services that hold a shard each.
        :param now: Present time in seconds.
        :returns: What each peer is to query; the rest is queried from here.
        """
        peers = self._list_peers(now)
        if not peers:
            return ()
        far = {
            shard: domains
            for shard in shards
            if self._state.failure_domain
            not in (domains := self._find_domains(shard, now))
        }
        assignments = []
        while len(far) >= LEAST_SHARDS and peers:
            domain = self._find_fullest(far, peers)
            held = tuple(
                shard for shard, domains in far.items() if domain in domains
            )
            if len(held) < LEAST_SHARDS:
                break
            peer = min(peers.pop(domain), key=self._rate)
            assignments.append(Assignment(peer=peer, shards=held))
            for shard in held:
                del far[shard]
        return tuple(assignments)

    def _list_peers(self, now: float) -> dict[str, list[PeerRecord]]:
        peers: dict[str, list[PeerRecord]] = {}
        for peer in self._state.peers.values():
            domain = peer.entry.failure_domain
            if (
                peer.entry.address
                and peer.lease_ended_at is None
                and peer.is_available(now)
                and domain != self._state.failure_domain
            ):
                peers.setdefault(domain, []).append(peer)
        return peers

    def _find_domains(self, shard: str, now: float) -> set[str]:
        return {
            record.entry.failure_domain
            for record in self._state.replicas.list_service(shard)
            if not record.entry.draining
            and record.unlisted_at is None
            and record.ejected_until <= now
        }

    def _find_fullest(
        self, far: dict[str, set[str]], peers: dict[str, list[PeerRecord]]
    ) -> str:
        def count(domain: str) -> tuple[int, float]:
            held = sum(domain in domains for domains in far.values())
            return (held, self._state.rng.random())

        return max(peers, key=count)

    def _rate(self, peer: PeerRecord) -> tuple[int, float]:
        return (peer.in_flight, self._state.rng.random())


class Delegation(TimerTarget):
    """Shards of a query that a peer asks in place of this node.

    They are asked from here after all only if the peer positively did not,
    as it may have used every attempt that the route allows.

    :param run: The query.
    :param number: Number of the attempt.
    :param assignment: The peer and the shards.
    :param now: Present time in seconds.
    """

    def __init__(
        self,
        *,
        run: "ScatterRun",
        number: int,
        assignment: Assignment,
        now: float,
    ) -> None:
        self.run = run
        self.number = number
        self.peer = assignment.peer
        self.shards = assignment.shards
        self.over = False
        self._connect_until = now + CONNECT_S
        self._silent_at = max(now, run.objective_at)
        self._withdrawn = False

    @property
    def is_finished(self) -> bool:
        """Whether the peer has answered or failed."""
        return self.over

    def build_terms(self, now: float) -> DelegationTerms:
        """Build what is asked of the peer.

        :param now: Present time in seconds.
        :returns: The terms.
        """
        left_s = self.run.objective_at - now - PEER_WAYS_S
        return DelegationTerms(
            shards=self.shards,
            objective_s=max(0.0, left_s),
            most_records=self.run.rule.most_records,
            most_attempts=self.run.route.most_attempts,
        )

    def list_wakes(self) -> tuple[float, float]:
        """List the times at which it is to be woken."""
        return (self._connect_until, self._silent_at)

    def handle_timeout(self, now: float) -> None:
        """Withdraw what could not be sent, and have a silent peer probed.

        :param now: Present time in seconds.
        """
        if not self._withdrawn:
            self._withdrawn = True
            self.run.context.delegations.withdraw(self)
        if now >= self._silent_at:
            self.run.context.suspect(self.peer)
