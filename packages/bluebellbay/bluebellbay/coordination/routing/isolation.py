"""Finds out whether this node is cut off from the other failure domains."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.part import Actions
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.delegation import ProbeReplica
from bluebellbay.protocol.delegation import ReplicaProbed
from bluebellbay.protocol.event import TimePassed
from bluebellbay.state.peer import PeerRecord

PROBE_TIMEOUT_S = 0.3
PROBE_GAP_S = 0.5
# Replicas that are probed along with the peers at a doubt.
FIRST_REPLICAS = 3


class IsolationPart(RoutingPart):
    """Probes peers once there is a doubt about them.

    The node is cut off if no peer in another domain can be reached, and no
    replica there: peers alone may all be down while replicas serve. It then
    refuses at once what it can't serve alone, and the balancer sends callers
    to nodes that can.

    :param context: What the requests of this node share.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        self._probing: set[str] = set()
        self._next_at: float | None = None
        self._next_round_at = 0.0
        self._replica_failed_at = 0.0

    def list_actions(self) -> Actions:
        """List what is done for each kind of event."""
        return {
            PeerProbed: self._take_probe,
            ReplicaProbed: self._take_replica_probe,
            TimePassed: self._look,
        }

    def get_wakeup_time(self) -> float | None:
        """Name the time at which ``TimePassed`` is due."""
        if self.context.suspects:
            return 0.0
        if not self.context.doubt:
            return self._next_at
        if self._next_at is None:
            return self._next_round_at
        return min(self._next_at, self._next_round_at)

    def _look(self, event: object, now: float) -> None:
        del event
        if self.context.suspects:
            self._probe(self._take_suspects(), now)
        if self.context.doubt and now >= self._next_round_at:
            self.context.doubt = False
            self._next_round_at = now + PROBE_GAP_S
            self._probe(self._list_far(), now)
            self._probe_replicas(FIRST_REPLICAS)
        elif self._next_at is not None and now >= self._next_at:
            self._next_at = None
            self._probe(self._list_avoided(), now)
            if self.state.isolated:
                self._probe_replicas(1)
        self._judge(now)

    def _take_probe(self, event: PeerProbed, now: float) -> None:
        self._note_probe(event, now)
        self._look(event, now)

    def _note_probe(self, event: PeerProbed, now: float) -> None:
        self._probing.discard(event.name)
        peer = self.state.peers.get(event.name)
        if peer is None:
            return
        if event.answered and peer.suspended_since is not None:
            peer.suspended_since = None
            self.context.log("Regained a peer.", peer=event.name)
        if event.answered:
            return
        peer.failed_at = now
        if peer.suspended_since is None:
            peer.suspended_since = now
            self.context.log("Lost a peer.", peer=event.name)
        self.context.delegations.give_up_peer(event.name, now)

    def _take_replica_probe(self, event: ReplicaProbed, now: float) -> None:
        if event.answered:
            self.state.last_remote_answer_at = now
        else:
            self._replica_failed_at = now
        self._look(event, now)

    def _probe_replicas(self, count: int) -> None:
        far = [
            record
            for record in self.state.replicas
            if self.state.is_remote(record) and record.unlisted_at is None
        ]
        for record in self.state.rng.sample(far, min(count, len(far))):
            self.context.emit(
                ProbeReplica(replica=record.entry, timeout_s=PROBE_TIMEOUT_S)
            )

    def _probe(self, peers: list[PeerRecord], now: float) -> None:
        for peer in peers:
            if peer.entry.name in self._probing:
                continue
            self._probing.add(peer.entry.name)
            self.context.emit(
                ProbePeer(peer=peer.entry, timeout_s=PROBE_TIMEOUT_S)
            )
        if peers and self._next_at is None:
            self._next_at = now + PROBE_GAP_S

    def _take_suspects(self) -> list[PeerRecord]:
        names, self.context.suspects = self.context.suspects, set()
        return [
            peer
            for name in sorted(names)
            if (peer := self.state.peers.get(name)) is not None
        ]

    def _list_far(self) -> list[PeerRecord]:
        return [
            peer
            for peer in self.state.peers.values()
            if peer.entry.address
            and peer.lease_ended_at is None
            and peer.entry.failure_domain != self.state.failure_domain
        ]

    def _list_avoided(self) -> list[PeerRecord]:
        return [
            peer
            for peer in self.state.peers.values()
            if peer.entry.address
            and peer.lease_ended_at is None
            and peer.suspended_since is not None
        ]

    def _judge(self, now: float) -> None:
        peers = self._list_far()
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
            "Cut off from the other failure domains."
            if isolated
            else "Reaches other failure domains again.",
            peers=len(peers),
            heard_s_ago=round(now - self.state.last_remote_answer_at, 3),
        )
