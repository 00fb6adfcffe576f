"""Detects that this node is isolated from the other failure domains."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.delegation import ProbeReplica
from bluebellbay.protocol.delegation import ReplicaProbed
from bluebellbay.protocol.process import TimerTick
from bluebellbay.state.peer import PeerRecord

PROBE_TIMEOUT_S = 0.3
PROBE_INTERVAL_S = 0.5
# Remote replicas that each round probes besides all remote peers.
REPLICAS_PER_ROUND = 3


class IsolationPart(RoutingPart):
    """Probes suspected peers and decides whether the node is isolated.

    The node is isolated if neither a peer nor a replica in another failure
    domain can be reached. Peers alone are not enough, as all of them may be
    down while the replicas serve. An isolated node immediately refuses what
    it cannot serve alone, and the load balancer sends callers to other nodes.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        self._pending_probes: set[str] = set()
        self._next_probe_at: float | None = None
        self._next_round_at = 0.0
        self._replica_failed_at = 0.0

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            PeerProbed: self._handle_peer_probe,
            ReplicaProbed: self._handle_replica_probe,
            TimerTick: self._update,
        }

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next wake-up, if one is scheduled."""
        if self.context.suspected_peers:
            return 0.0
        if not self.context.remote_suspected:
            return self._next_probe_at
        if self._next_probe_at is None:
            return self._next_round_at
        return min(self._next_probe_at, self._next_round_at)

    def _update(self, event: object, now: float) -> None:
        del event
        if self.context.suspected_peers:
            self._probe_peers(self._take_suspected_peers(), now)
        if self.context.remote_suspected and now >= self._next_round_at:
            self.context.remote_suspected = False
            self._next_round_at = now + PROBE_INTERVAL_S
            self._probe_peers(self._list_remote_peers(), now)
            self._probe_replicas(REPLICAS_PER_ROUND)
        elif self._next_probe_at is not None and now >= self._next_probe_at:
            self._next_probe_at = None
            self._probe_peers(self._list_avoided_peers(), now)
            if self.state.isolated:
                self._probe_replicas(1)
        self._update_isolation(now)

    def _handle_peer_probe(self, event: PeerProbed, now: float) -> None:
        self._record_peer_probe(event, now)
        self._update(event, now)

    def _record_peer_probe(self, event: PeerProbed, now: float) -> None:
        self._pending_probes.discard(event.name)
        peer = self.state.peers.get(event.name)
        if peer is None:
            return
        if event.answered:
            peer.answered_at = now
        if event.answered and peer.suspended_since is not None:
            peer.suspended_since = None
            self.context.log(
                "Resumed delegating to a peer that answered a probe.",
                peer=event.name,
            )
        if event.answered:
            return
        peer.failed_at = now
        if peer.suspended_since is None:
            peer.suspended_since = now
            self.context.log(
                "Stopped delegating to a peer that answered no probe.",
                peer=event.name,
            )
        self.context.delegations.abandon_peer(event.name, now)

    def _handle_replica_probe(self, event: ReplicaProbed, now: float) -> None:
        if event.answered:
            self.state.last_remote_answer_at = now
        else:
            self._replica_failed_at = now
        self._update(event, now)

    def _probe_replicas(self, count: int) -> None:
        remote_replicas = [
            record
            for record in self.state.replicas
            if self.state.is_remote(record) and record.unlisted_at is None
        ]
        for record in self.state.rng.sample(
            remote_replicas, min(count, len(remote_replicas))
        ):
            self.context.emit(
                ProbeReplica(replica=record.entry, timeout_s=PROBE_TIMEOUT_S)
            )

    def _probe_peers(self, peers: list[PeerRecord], now: float) -> None:
        for peer in peers:
            if peer.entry.name in self._pending_probes:
                continue
            self._pending_probes.add(peer.entry.name)
            self.context.emit(
                ProbePeer(peer=peer.entry, timeout_s=PROBE_TIMEOUT_S)
            )
        if peers and self._next_probe_at is None:
            self._next_probe_at = now + PROBE_INTERVAL_S

    def _take_suspected_peers(self) -> list[PeerRecord]:
        names, self.context.suspected_peers = (
            self.context.suspected_peers,
            set(),
        )
        return [
            peer
            for name in sorted(names)
            if (peer := self.state.peers.get(name)) is not None
        ]

    def _list_remote_peers(self) -> list[PeerRecord]:
        return [
            peer
            for peer in self.state.peers.values()
            if peer.is_registered
            and peer.entry.failure_domain != self.state.failure_domain
        ]

    def _list_avoided_peers(self) -> list[PeerRecord]:
        return [
            peer
            for peer in self.state.peers.values()
            if peer.is_registered and peer.suspended_since is not None
        ]

    def _update_isolation(self, now: float) -> None:
        peers = self._list_remote_peers()
        failed = self._replica_failed_at > self.state.last_remote_answer_at
        isolated = (
            failed
            and bool(peers)
            and all(
                peer.suspended_since is not None
                and peer.failed_at > self.state.last_remote_answer_at
                for peer in peers
            )
        )
        if isolated == self.state.isolated:
            return
        self.state.isolated = isolated
        self.context.log(
            "Isolated: no other failure domain can be reached."
            if isolated
            else "No longer isolated: another failure domain can be reached.",
            peers=len(peers),
            heard_s_ago=round(now - self.state.last_remote_answer_at, 3),
        )
