"""Knows the peers and which of them are alive, by direct exchange.

Each period one contact is pinged. One that does not answer is pinged by
other contacts too, then suspected, and held for dead unless it refutes that
in time by raising its incarnation. Beliefs travel on the pings and answers.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from bluebellbay.coordination.configurations.status_queue import StatusQueue
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.servers.probe import Probe
from bluebellbay.coordination.servers.probe import ProbeTable
from bluebellbay.protocol.command import Field
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import SendPeer
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import PeerReceived
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import TimePassed
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.peer import Ack
from bluebellbay.protocol.peer import Introduction
from bluebellbay.protocol.peer import MAX_STATUS_UPDATES
from bluebellbay.protocol.peer import PeerMessage
from bluebellbay.protocol.peer import PeerStatus
from bluebellbay.protocol.peer import Ping
from bluebellbay.protocol.peer import PingRequest
from bluebellbay.protocol.peer import StatusUpdate
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmRole
from bluebellbay.state.fleet import PeerRecord
from bluebellbay.state.fleet import UNREACHABLE_STATUSES
from bluebellbay.state.node import NodeState

PART = "membership"
MS_PER_S = 1000
JITTER = 0.1
# Shares of a period after which other contacts ping too, and after which
# the peer is suspected.
INDIRECT_SHARE = 0.4
SUSPECT_SHARE = 1.2
INDIRECT_CONTACTS = 3
MAX_SUSPECT_PINGS = 4
# A longer silence of the node's own timers means that it was paused.
PAUSE_PERIODS = 2.5
FORGET_S = 60.0
# Refutations raise an incarnation a little above the time of the start.
INCARNATION_MARGIN_S = 60.0
MAX_INTRODUCED = 1024

_STRENGTH = {
    PeerStatus.UNKNOWN: 0,
    PeerStatus.ALIVE: 1,
    PeerStatus.SUSPECT: 2,
    PeerStatus.DEAD: 3,
    PeerStatus.LEFT: 4,
}
_DOUBTS = frozenset({PeerStatus.SUSPECT, *UNREACHABLE_STATUSES})


class MembershipPart(Part):
    """Finds peers, probes them and passes on what it believes of them.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._period_s = state.settings.fleet.digest_s
        self._incarnation = 0
        self._stepped_at = 0.0
        self._next_period_at: float | None = None
        self._probes = ProbeTable(rng=state.rng)
        self._queue = StatusQueue()
        self._suspected: dict[str, float] = {}

    @property
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (TimePassed, PeerReceived, VmListRead, QueriesDrained)

    def get_wakeup_time(self) -> float | None:
        """Name the time of the next period, timeout or verdict."""
        if self._next_period_at is None:
            return 0.0
        wakes = [self._next_period_at, *self._suspected.values()]
        probe_at = self._probes.next_wake()
        return min(wakes if probe_at is None else [*wakes, probe_at])

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds.
        :returns: Commands and internal events, in order.
        """
        steps: list[Output] = []
        if self._next_period_at is None:
            self._incarnation = int(now * MS_PER_S)
            self._next_period_at = now
        elif now - self._stepped_at > PAUSE_PERIODS * self._period_s:
            steps.append(self._forgive(now))
        self._stepped_at = now
        match event:
            case PeerReceived(envelope=envelope):
                steps.extend(
                    self._hear(envelope.sender, envelope.message, now)
                )
            case VmListRead(vm_list=vm_list):
                self._read_list(vm_list.vms, now)
            case QueriesDrained():
                steps.extend(self._leave())
            case _:
                steps.extend(self._run_timers(now))
        return steps

    def _forgive(self, now: float) -> Output:
        self._probes.clear()
        suspect_s = self.state.settings.fleet.suspect_s
        for name in self._suspected:
            self._suspected[name] = now + suspect_s
        self._next_period_at = now
        return LogDecision(part=PART, sentence="Was paused.")

    def _run_timers(self, now: float) -> Iterator[Output]:
        for probe in self._probes.take_unanswered(now):
            yield from self._probe_indirectly(probe)
        for probe in self._probes.take_failed(now):
            yield from self._suspect(probe, now)
        due = [name for name, at in self._suspected.items() if at <= now]
        for name in due:
            peer = self.state.fleet.peers[name]
            yield from self._believe(
                peer, peer.incarnation, PeerStatus.DEAD, now
            )
        assert self._next_period_at is not None
        if now >= self._next_period_at:
            jitter = self.state.rng.uniform(1 - JITTER, 1 + JITTER)
            self._next_period_at = now + self._period_s * jitter
            yield from self._begin_period(now)

    def _begin_period(self, now: float) -> Iterator[Output]:
        peer = self._probes.pick_next(self.state.fleet.list_gossip_targets())
        if peer is not None:
            yield self._ping(peer, self._open_probe(peer, now))
        for name in list(self._suspected)[:MAX_SUSPECT_PINGS]:
            yield self._ping(self.state.fleet.peers[name], 0)
        dead = self.state.fleet.list_dead_gossip_targets()
        if dead:
            yield self._ping(self.state.rng.choice(dead), 0)

    def _open_probe(self, peer: PeerRecord, now: float) -> int:
        return self._probes.open(
            name=peer.name,
            indirect_at=now + INDIRECT_SHARE * self._period_s,
            failed_at=now + SUSPECT_SHARE * self._period_s,
        )

    def _ping(self, peer: PeerRecord, number: int) -> SendPeer:
        node = self.state.settings.node
        introduction = Introduction(
            failure_domain=node.failure_domain,
            address=node.listen,
            peer_address=node.peer_listen,
        )
        is_new = (
            peer.status is PeerStatus.UNKNOWN
            or peer.status in UNREACHABLE_STATUSES
        )
        return self._send(
            peer,
            Ping(
                number=number,
                updates=self._take_updates(peer),
                introduction=introduction if is_new else None,
            ),
        )

    def _probe_indirectly(self, probe: Probe) -> Iterator[Output]:
        others = [
            peer
            for peer in self.state.fleet.list_gossip_targets()
            if peer.name != probe.name and peer.status is PeerStatus.ALIVE
        ]
        count = min(INDIRECT_CONTACTS, len(others))
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
            yield from self._believe(
                peer, peer.incarnation, PeerStatus.SUSPECT, now
            )
            yield self._ping(peer, 0)

    def _hear(
        self, sender: str, message: PeerMessage, now: float
    ) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(sender)
        if peer is None and isinstance(message, Ping):
            peer = self._introduce(sender, message.introduction)
        if peer is None:
            yield LogDecision(
                part=PART,
                sentence="Dropped a message of an unknown node.",
                fields=(Field(name="sender", value=sender[:64]),),
            )
            return
        if not isinstance(message, Ping | PingRequest | Ack):
            return
        for update in message.updates:
            yield from self._hear_update(update, now)
        match message:
            case Ping(number=number):
                yield self._answer(peer, number, self.state.fleet.node.name)
            case PingRequest(number=number, subject=subject):
                yield from self._relay(peer, number, subject, now)
            case Ack(number=number, subject=subject):
                yield from self._hear_ack(number, subject)

    def _introduce(
        self, sender: str, introduction: Introduction | None
    ) -> PeerRecord | None:
        fleet = self.state.fleet
        limit = len(fleet.configured_names) + MAX_INTRODUCED
        if introduction is None or len(fleet.peers) >= limit:
            return None
        peer = PeerRecord(
            name=sender,
            failure_domain=introduction.failure_domain,
            address=introduction.address,
            peer_address=introduction.peer_address,
        )
        fleet.add_peer(peer)
        return peer

    def _relay(
        self, asker: PeerRecord, number: int, subject: str, now: float
    ) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(subject)
        if peer is None:
            return
        own = self._open_probe(peer, now)
        self._probes.relay(own, asker=asker.name, number=number)
        yield self._ping(peer, own)

    def _hear_ack(self, number: int, subject: str) -> Iterator[Output]:
        probe = self._probes.close(number, subject)
        asker = self.state.fleet.peers.get(probe.asker) if probe else None
        if probe is not None and asker is not None:
            yield self._answer(asker, probe.asker_number, subject)

    def _answer(self, peer: PeerRecord, number: int, subject: str) -> SendPeer:
        return self._send(
            peer,
            Ack(
                number=number,
                subject=subject,
                updates=self._take_updates(peer),
            ),
        )

    def _hear_update(
        self, update: StatusUpdate, now: float
    ) -> Iterator[Output]:
        skew_s = self.state.settings.limits.clock_skew_s
        latest = now + skew_s + INCARNATION_MARGIN_S
        if update.incarnation > latest * MS_PER_S:
            return
        if update.name == self.state.fleet.node.name:
            yield from self._refute(update)
            return
        peer = self.state.fleet.peers.get(update.name)
        if peer is not None:
            yield from self._believe(
                peer, update.incarnation, update.status, now
            )

    def _refute(self, update: StatusUpdate) -> Iterator[Output]:
        if update.status not in _DOUBTS:
            return
        self._incarnation = max(self._incarnation, update.incarnation + 1)
        self._queue.put(self._describe_self(), urgent=True)
        yield LogDecision(
            part=PART,
            sentence="Refuted a belief about this node.",
            fields=(Field(name="belief", value=update.status.value),),
        )

    def _believe(
        self,
        peer: PeerRecord,
        incarnation: int,
        status: PeerStatus,
        now: float,
    ) -> Iterator[Output]:
        if incarnation < peer.incarnation:
            if status in _DOUBTS and peer.status is PeerStatus.ALIVE:
                self._queue.put(_describe(peer), urgent=True)
            return
        is_newer = incarnation > peer.incarnation
        if not is_newer and _STRENGTH[status] <= _STRENGTH[peer.status]:
            return
        was = peer.status
        peer.incarnation = incarnation
        self._suspected.pop(peer.name, None)
        if status is PeerStatus.SUSPECT:
            suspect_s = self.state.settings.fleet.suspect_s
            self._suspected[peer.name] = now + suspect_s
        self.state.fleet.set_status(peer, status, now=now)
        # What was never heard of is each node's own guess.
        if incarnation:
            urgent = status in _DOUBTS or was in _DOUBTS
            self._queue.put(_describe(peer), urgent=urgent)
        if status is was:
            return
        yield LogDecision(
            part=PART,
            sentence=f"Peer is {status.value}.",
            fields=(
                Field(name="peer", value=peer.name),
                Field(name="was", value=was.value),
                Field(name="incarnation", value=incarnation),
            ),
        )

    def _leave(self) -> Iterator[Output]:
        update = StatusUpdate(
            name=self.state.fleet.node.name,
            incarnation=self._incarnation,
            status=PeerStatus.LEFT,
        )
        for peer in self.state.fleet.list_gossip_targets():
            yield self._send(peer, Ping(number=0, updates=(update,)))

    def _describe_self(self) -> StatusUpdate:
        return StatusUpdate(
            name=self.state.fleet.node.name,
            incarnation=self._incarnation,
            status=PeerStatus.ALIVE,
        )

    def _take_updates(self, peer: PeerRecord) -> tuple[StatusUpdate, ...]:
        told = [self._describe_self()]
        if peer.status not in (PeerStatus.ALIVE, PeerStatus.UNKNOWN):
            told.append(_describe(peer))
        names = {update.name for update in told}
        queued = self._queue.take(
            fleet_size=len(self.state.fleet.peers) + 1,
            room=MAX_STATUS_UPDATES - len(told),
        )
        return (*told, *(it for it in queued if it.name not in names))

    def _send(self, peer: PeerRecord, message: PeerMessage) -> SendPeer:
        return SendPeer(
            peer=peer.name, address=peer.peer_address, message=message
        )

    def _read_list(self, entries: tuple[VmEntry, ...], now: float) -> None:
        fleet = self.state.fleet
        listed = set(fleet.configured_names)
        for entry in entries:
            if entry.role is VmRole.ENTRY and entry.peer_address:
                listed.add(entry.name)
                self._add_listed(entry)
        for peer in list(fleet.peers.values()):
            is_old = now - peer.changed_at > FORGET_S
            if (
                peer.name not in listed
                and peer.status in UNREACHABLE_STATUSES
                and is_old
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


def _describe(peer: PeerRecord) -> StatusUpdate:
    return StatusUpdate(
        name=peer.name, incarnation=peer.incarnation, status=peer.status
    )
