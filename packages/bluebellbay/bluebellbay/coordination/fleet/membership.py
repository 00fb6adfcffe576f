"""Tracks the peers of this node and detects failed ones by pings.

Each period one contact is pinged. If it does not answer, other contacts are
asked to ping it, then it is suspected, and declared dead unless it refutes
the suspicion in time by raising its incarnation. Status updates are carried
on pings and their answers.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from bluebellbay.coordination.configurations.status_queue import StatusQueue
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.servers.probe import Probe
from bluebellbay.coordination.servers.probe import ProbeTable
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.peer import Ack
from bluebellbay.protocol.peer import Introduction
from bluebellbay.protocol.peer import MAX_STATUS_UPDATES
from bluebellbay.protocol.peer import PeerMessage
from bluebellbay.protocol.peer import PeerStatus
from bluebellbay.protocol.peer import Ping
from bluebellbay.protocol.peer import PingRequest
from bluebellbay.protocol.peer import StatusUpdate
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import LogField
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmRole
from bluebellbay.state.fleet import PeerRecord
from bluebellbay.state.fleet import UNREACHABLE_STATUSES
from bluebellbay.state.node import NodeState

PART = "membership"
MS_PER_S = 1000
PERIOD_JITTER = 0.1
# Periods without an answer until other contacts are asked to ping a peer,
# and until the peer is suspected.
INDIRECT_PROBE_PERIODS = 0.4
SUSPECT_PERIODS = 1.2
INDIRECT_PROBE_FANOUT = 3
MAX_SUSPECTS_PINGED = 4
# A longer gap between two events, timers included, means that this process
# was paused.
PAUSE_PERIODS = 2.5
GONE_PEER_RETENTION_S = 60.0
# An incarnation is the start time, raised slightly by each refutation;
# updates that are further ahead of the current time are ignored.
INCARNATION_MARGIN_S = 60.0
MAX_INTRODUCED_PEERS = 1024

_STATUS_PRECEDENCE = {
    PeerStatus.UNKNOWN: 0,
    PeerStatus.ALIVE: 1,
    PeerStatus.SUSPECT: 2,
    PeerStatus.DEAD: 3,
    PeerStatus.LEFT: 4,
}
_REFUTABLE = frozenset({PeerStatus.SUSPECT, *UNREACHABLE_STATUSES})


class MembershipPart(Part):
    """Discovers peers, probes them and spreads their status.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._period_s = state.settings.fleet.digest_s
        self._incarnation = 0
        self._last_step_at = 0.0
        self._next_period_at: float | None = None
        self._probes = ProbeTable(rng=state.rng)
        self._status_queue = StatusQueue()
        self._suspect_deadlines: dict[str, float] = {}

    @property
    def event_types(self) -> tuple[type, ...]:
        """Event types that this part handles."""
        return (TimerTick, PeerMessageReceived, VmListRead, QueriesDrained)

    def get_wakeup_time(self) -> float | None:
        """Return the time of the earliest timer.

        :returns: Time in seconds of the next period, probe timeout or end
            of a suspicion; 0 before the first event.
        """
        if self._next_period_at is None:
            return 0.0
        wakes = [self._next_period_at, *self._suspect_deadlines.values()]
        probe_at = self._probes.next_wake()
        return min(wakes if probe_at is None else [*wakes, probe_at])

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Handle one event.

        :param event: The event.
        :param now: Current Unix time in seconds.
        :returns: Commands and internal events, in order.
        """
        steps: list[Output] = []
        if self._next_period_at is None:
            self._incarnation = int(now * MS_PER_S)
            self._next_period_at = now
        elif now - self._last_step_at > PAUSE_PERIODS * self._period_s:
            steps.append(self._reset_after_pause(now))
        self._last_step_at = now
        match event:
            case PeerMessageReceived(envelope=envelope):
                steps.extend(
                    self._handle_message(
                        envelope.sender, envelope.message, now
                    )
                )
            case VmListRead(vm_list=vm_list):
                self._apply_vm_list(vm_list.vms, now)
            case QueriesDrained():
                steps.extend(self._announce_leave())
            case _:
                steps.extend(self._run_timers(now))
        return steps

    def _reset_after_pause(self, now: float) -> Output:
        self._probes.clear()
        suspect_s = self.state.settings.fleet.suspect_s
        for name in self._suspect_deadlines:
            self._suspect_deadlines[name] = now + suspect_s
        self._next_period_at = now
        return LogDecision(
            part=PART,
            sentence="Restarted the probe timers after a pause.",
        )

    def _run_timers(self, now: float) -> Iterator[Output]:
        for probe in self._probes.start_indirect(now):
            yield from self._probe_indirectly(probe)
        for probe in self._probes.pop_failed(now):
            yield from self._suspect(probe, now)
        due = [
            name for name, at in self._suspect_deadlines.items() if at <= now
        ]
        for name in due:
            peer = self.state.fleet.peers[name]
            yield from self._apply_status(
                peer, peer.incarnation, PeerStatus.DEAD, now
            )
        assert self._next_period_at is not None
        if now >= self._next_period_at:
            jitter = self.state.rng.uniform(
                1 - PERIOD_JITTER, 1 + PERIOD_JITTER
            )
            self._next_period_at = now + self._period_s * jitter
            yield from self._begin_period(now)

    def _begin_period(self, now: float) -> Iterator[Output]:
        peer = self._probes.pick_next(self.state.fleet.list_gossip_targets())
        if peer is not None:
            yield self._ping(peer, self._open_probe(peer, now))
        # Number 0 belongs to no probe: nothing waits for the answer.
        for name in list(self._suspect_deadlines)[:MAX_SUSPECTS_PINGED]:
            yield self._ping(self.state.fleet.peers[name], 0)
        dead = self.state.fleet.list_dead_gossip_targets()
        if dead:
            yield self._ping(self.state.rng.choice(dead), 0)

    def _open_probe(self, peer: PeerRecord, now: float) -> int:
        return self._probes.open(
            name=peer.name,
            indirect_at=now + INDIRECT_PROBE_PERIODS * self._period_s,
            suspect_at=now + SUSPECT_PERIODS * self._period_s,
        )

    def _ping(self, peer: PeerRecord, number: int) -> SendPeerMessage:
        node = self.state.settings.node
        introduction = Introduction(
            failure_domain=node.failure_domain,
            address=node.listen,
            peer_address=node.peer_listen,
        )
        needs_introduction = (
            peer.status is PeerStatus.UNKNOWN
            or peer.status in UNREACHABLE_STATUSES
        )
        return self._send(
            peer,
            Ping(
                number=number,
                updates=self._take_updates(peer),
                introduction=introduction if needs_introduction else None,
            ),
        )

    def _probe_indirectly(self, probe: Probe) -> Iterator[Output]:
        others = [
            peer
            for peer in self.state.fleet.list_gossip_targets()
            if peer.name != probe.name and peer.status is PeerStatus.ALIVE
        ]
        count = min(INDIRECT_PROBE_FANOUT, len(others))
        for peer in self.state.rng.sample(others, count):
            yield self._send(
                peer,
                PingRequest(
                    number=probe.number,
                    subject=probe.name,
                    updates=self._take_updates(peer),
                ),
            )

    def _suspect(self, probe: Probe, now: float) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(probe.name)
        if peer is not None:
            yield from self._apply_status(
                peer, peer.incarnation, PeerStatus.SUSPECT, now
            )
            yield self._ping(peer, 0)

    def _handle_message(
        self, sender: str, message: PeerMessage, now: float
    ) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(sender)
        if peer is None and isinstance(message, Ping):
            peer = self._add_introduced(sender, message.introduction)
        if peer is None:
            yield LogDecision(
                part=PART,
                sentence="Dropped a message from an unknown node.",
                fields=(LogField(name="sender", value=sender[:64]),),
            )
            return
        if not isinstance(message, Ping | PingRequest | Ack):
            return
        for update in message.updates:
            yield from self._handle_update(update, now)
        match message:
            case Ping(number=number):
                yield self._ack(peer, number, self.state.fleet.node.name)
            case PingRequest(number=number, subject=subject):
                yield from self._relay_ping(peer, number, subject, now)
            case Ack(number=number, subject=subject):
                yield from self._handle_ack(number, subject)

    def _add_introduced(
        self, sender: str, introduction: Introduction | None
    ) -> PeerRecord | None:
        fleet = self.state.fleet
        max_peers = len(fleet.configured_names) + MAX_INTRODUCED_PEERS
        if introduction is None or len(fleet.peers) >= max_peers:
            return None
        peer = PeerRecord(
            name=sender,
            failure_domain=introduction.failure_domain,
            address=introduction.address,
            peer_address=introduction.peer_address,
        )
        fleet.add_peer(peer)
        return peer

    def _relay_ping(
        self, requester: PeerRecord, number: int, subject: str, now: float
    ) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(subject)
        if peer is None:
            return
        probe_number = self._open_probe(peer, now)
        self._probes.set_requester(
            probe_number, requester_name=requester.name, number=number
        )
        yield self._ping(peer, probe_number)

    def _handle_ack(self, number: int, subject: str) -> Iterator[Output]:
        probe = self._probes.close(number, subject)
        requester = (
            self.state.fleet.peers.get(probe.requester_name) if probe else None
        )
        if probe is not None and requester is not None:
            yield self._ack(requester, probe.requester_number, subject)

    def _ack(
        self, peer: PeerRecord, number: int, subject: str
    ) -> SendPeerMessage:
        return self._send(
            peer,
            Ack(
                number=number,
                subject=subject,
                updates=self._take_updates(peer),
            ),
        )

    def _handle_update(
        self, update: StatusUpdate, now: float
    ) -> Iterator[Output]:
        skew_s = self.state.settings.limits.clock_skew_s
        max_incarnation_s = now + skew_s + INCARNATION_MARGIN_S
        if update.incarnation > max_incarnation_s * MS_PER_S:
            return
        if update.name == self.state.fleet.node.name:
            yield from self._refute(update)
            return
        peer = self.state.fleet.peers.get(update.name)
        if peer is not None:
            yield from self._apply_status(
                peer, update.incarnation, update.status, now
            )

    def _refute(self, update: StatusUpdate) -> Iterator[Output]:
        if update.status not in _REFUTABLE:
            return
        self._incarnation = max(self._incarnation, update.incarnation + 1)
        self._status_queue.put(self._make_own_update(), urgent=True)
        yield LogDecision(
            part=PART,
            sentence="Refuted a false status of this node.",
            fields=(LogField(name="belief", value=update.status.value),),
        )

    def _apply_status(
        self,
        peer: PeerRecord,
        incarnation: int,
        status: PeerStatus,
        now: float,
    ) -> Iterator[Output]:
        if incarnation < peer.incarnation:
            if status in _REFUTABLE and peer.status is PeerStatus.ALIVE:
                self._status_queue.put(_make_update(peer), urgent=True)
            return
        is_newer = incarnation > peer.incarnation
        if (
            not is_newer
            and _STATUS_PRECEDENCE[status] <= _STATUS_PRECEDENCE[peer.status]
        ):
            return
        was = peer.status
        peer.incarnation = incarnation
        self._suspect_deadlines.pop(peer.name, None)
        if status is PeerStatus.SUSPECT:
            suspect_s = self.state.settings.fleet.suspect_s
            self._suspect_deadlines[peer.name] = now + suspect_s
        self.state.fleet.set_status(peer, status, now=now)
        # Incarnation 0: no update on the peer has arrived yet, so its status
        # is only this node's own observation and is not spread.
        if incarnation:
            urgent = status in _REFUTABLE or was in _REFUTABLE
            self._status_queue.put(_make_update(peer), urgent=urgent)
        if status is was:
            return
        yield LogDecision(
            part=PART,
            sentence=f"Peer is {status.value}.",
            fields=(
                LogField(name="peer", value=peer.name),
                LogField(name="was", value=was.value),
                LogField(name="incarnation", value=incarnation),
            ),
        )

    def _announce_leave(self) -> Iterator[Output]:
        update = StatusUpdate(
            name=self.state.fleet.node.name,
            incarnation=self._incarnation,
            status=PeerStatus.LEFT,
        )
        for peer in self.state.fleet.list_gossip_targets():
            yield self._send(peer, Ping(number=0, updates=(update,)))

    def _make_own_update(self) -> StatusUpdate:
        return StatusUpdate(
            name=self.state.fleet.node.name,
            incarnation=self._incarnation,
            status=PeerStatus.ALIVE,
        )

    def _take_updates(self, peer: PeerRecord) -> tuple[StatusUpdate, ...]:
        selected = [self._make_own_update()]
        if peer.status not in (PeerStatus.ALIVE, PeerStatus.UNKNOWN):
            selected.append(_make_update(peer))
        names = {update.name for update in selected}
        queued = self._status_queue.take(
            fleet_size=len(self.state.fleet.peers) + 1,
            max_updates=MAX_STATUS_UPDATES - len(selected),
        )
        return (
            *selected,
            *(item for item in queued if item.name not in names),
        )

    def _send(self, peer: PeerRecord, message: PeerMessage) -> SendPeerMessage:
        return SendPeerMessage(
            peer=peer.name, address=peer.peer_address, message=message
        )

    def _apply_vm_list(self, entries: tuple[VmEntry, ...], now: float) -> None:
        fleet = self.state.fleet
        listed = set(fleet.configured_names)
        for entry in entries:
            if entry.role is VmRole.ENTRY and entry.peer_address:
                listed.add(entry.name)
                self._add_listed(entry)
        for peer in list(fleet.peers.values()):
            is_expired = now - peer.changed_at > GONE_PEER_RETENTION_S
            if (
                peer.name not in listed
                and peer.status in UNREACHABLE_STATUSES
                and is_expired
            ):
                fleet.remove_peer(peer.name)

    def _add_listed(self, entry: VmEntry) -> None:
        fleet = self.state.fleet
        if entry.name == fleet.node.name:
            return
        peer = fleet.peers.get(entry.name)
        if peer is None:
            peer = PeerRecord(
                name=entry.name,
                failure_domain=entry.failure_domain,
                address=entry.address,
                peer_address=entry.peer_address,
            )
            fleet.add_peer(peer)
            return
        peer.failure_domain = entry.failure_domain
        peer.address = entry.address
        peer.peer_address = entry.peer_address


def _make_update(peer: PeerRecord) -> StatusUpdate:
    return StatusUpdate(
        name=peer.name, incarnation=peer.incarnation, status=peer.status
    )
