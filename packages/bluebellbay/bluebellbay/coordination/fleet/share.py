"""Divides each backend server's connections among the nodes."""

from collections.abc import Iterator

from bluebellbay.coordination.fleet.census import Census
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.protocol.command import Field
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import SendPeer
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import PeerReceived
from bluebellbay.protocol.event import ServerAdded
from bluebellbay.protocol.event import ServerDropped
from bluebellbay.protocol.event import ServerLeft
from bluebellbay.protocol.event import ServerReturned
from bluebellbay.protocol.event import ShareInForce
from bluebellbay.protocol.event import SharesClosed
from bluebellbay.protocol.event import SharesGivenUp
from bluebellbay.protocol.event import TimePassed
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.peer import NodeStopped
from bluebellbay.protocol.peer import PeerMessage
from bluebellbay.protocol.peer import ShareNotice
from bluebellbay.protocol.vm import VmRole
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

PART = "share"
TOKEN_BITS = 63
# A closed connection still counts at the server until it has noticed.
CLOSE_NOTICE_S = 0.2
REPAIR_DIGESTS = 10


class SharePart(Part):
    """Bounds this node's connections by its share of each server's limit.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        settings = state.settings
        self._token = state.rng.getrandbits(TOKEN_BITS) + 1
        self._named = frozenset(peer.name for peer in settings.peers)
        self._census = Census(
            name=settings.node.name,
            token=self._token,
            named=self._named,
            linger_s=settings.fleet.connection_linger_s,
        )
        self._divisor = 0
        self._open_at: dict[str, str] = {}
        self._shrinking: set[str] = set()
        self._settled_at: float | None = None
        self._told: frozenset[str] = frozenset()
        self._tell_at = 0.0
        self._given_up = False
        self._closed = False

    @property
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (
            VmListRead,
            PeerReceived,
            ShareInForce,
            ServerAdded,
            ServerDropped,
            ServerLeft,
            ServerReturned,
            SharesGivenUp,
            TimePassed,
        )

    def step(self, event: Event, now: float) -> Iterator[Output]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds.
        :returns: Commands and internal events, in order.
        """
        self._census.start(now)
        if isinstance(event, TimePassed) and now < self.get_wakeup_time():
            return
        match event:
            case VmListRead():
                self._take_list(event, now)
            case PeerReceived():
                sender = event.envelope.sender
                self._census.note_heard(sender, now)
                message = event.envelope.message
                if not isinstance(message, ShareNotice | NodeStopped):
                    return
                yield from self._take_message(sender, message, now)
            case ShareInForce():
                self._take_in_force(event)
            case ServerDropped():
                yield from self._close(event)
            case SharesGivenUp():
                self._given_up = True
        yield from self._set_shares(now)
        yield from self._settle(now)
        yield from self._run_timer(now)

    def get_wakeup_time(self) -> float:
        """Name the time at which ``TimePassed`` is due.

        :returns: Time in seconds.
        """
        if self._settled_at is not None:
            return min(self._settled_at, self._tell_at)
        return self._tell_at

    def _take_list(self, event: VmListRead, now: float) -> None:
        if event.vm_list.sequence < self.state.servers.vm_list_sequence:
            return
        names = frozenset(
            entry.name
            for entry in event.vm_list.vms
            if entry.role is VmRole.ENTRY
        )
        self._census.take_list(names, now)

    def _take_message(
        self, sender: str, message: ShareNotice | NodeStopped, now: float
    ) -> Iterator[Output]:
        if isinstance(message, NodeStopped):
            self._census.take_stopped(sender, message.token)
            return
        self._census.take_notice(sender, message, now)
        if message.wants_reply:
            yield from self._set_shares(now)
            yield from self._tell((sender,))

    def _take_in_force(self, event: ShareInForce) -> None:
        record = self.state.servers.servers.get(event.server)
        if record is None or record.connection_share == event.limit:
            self._shrinking.discard(event.server)

    def _close(self, event: ServerDropped) -> Iterator[Output]:
        yield SetConnectionShare(
            server=event.server, address=event.address, limit=0
        )

    def _set_shares(self, now: float) -> Iterator[Output]:
        admitted = self._census.admit(now) and not self._given_up
        divisor = self._census.divisor
        for record in self.state.servers.servers.values():
            share = record.connection_limit // divisor
            if record.leaving or not admitted:
                share = 0
            if share != record.connection_share:
                yield from self._set_share(record, share)
        if admitted and divisor != self._divisor:
            self._divisor = divisor
            yield LogDecision(
                part=PART,
                sentence="Divided the connections.",
                fields=(Field(name="nodes", value=divisor),),
            )

    def _set_share(self, record: ServerRecord, share: int) -> Iterator[Output]:
        if share < record.connection_share:
            self._shrinking.add(record.name)
        record.connection_share = share
        yield SetConnectionShare(
            server=record.name,
            address=record.address,
            limit=share,
            warm=min(share, record.slots),
        )

    def _settle(self, now: float) -> Iterator[Output]:
        counted = frozenset(self._census.list_members())
        if self._shrinking:
            self._settled_at = None
            self._told = frozenset()
            return
        if self._closed or (counted == self._told and not self._given_up):
            return
        if self._settled_at is None:
            self._settled_at = now + CLOSE_NOTICE_S
        if now < self._settled_at:
            return
        self._settled_at = None
        self._told = counted
        if self._given_up:
            yield from self._tell_stopped()
        else:
            yield from self._tell(self._census.list_members())

    def _run_timer(self, now: float) -> Iterator[Output]:
        if now < self._tell_at:
            return
        period_s = self.state.settings.fleet.digest_s
        members = self._census.list_members()
        if self._census.admitted:
            self._tell_at = now + REPAIR_DIGESTS * period_s
            if members:
                yield from self._tell((self.state.rng.choice(members),))
            return
        self._tell_at = now + period_s
        yield from self._tell(members, wants_reply=True)

    def _tell(
        self, names: tuple[str, ...], *, wants_reply: bool = False
    ) -> Iterator[Output]:
        counted = self._census.list_counted()
        settled = self._told == frozenset(self._census.list_members())
        for name in names:
            notice = ShareNotice(
                token=self._token,
                counted=counted,
                settled=settled and not self._shrinking,
                admitted=self._census.admitted,
                expected=name in self._named,
                size=len(self._named | {self.state.settings.node.name}),
                wants_reply=wants_reply,
            )
            yield from self._send(name, notice)

    def _tell_stopped(self) -> Iterator[Output]:
        self._closed = True
        for name in self._census.list_members():
            yield from self._send(name, NodeStopped(token=self._token))
        yield SharesClosed()

    def _send(self, name: str, message: PeerMessage) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(name)
        if peer is not None:
            yield SendPeer(
                peer=name, address=peer.peer_address, message=message
            )
