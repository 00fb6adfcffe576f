"""Divides each backend server's connection limit among the nodes."""

from collections.abc import Iterator

from bluebellbay.coordination.fleet.share_group import ShareGroup
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.event import ConnectionShareApplied
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import ServerAdded
from bluebellbay.protocol.event import ServerLeaving
from bluebellbay.protocol.event import ServerRemoved
from bluebellbay.protocol.event import ServerReturned
from bluebellbay.protocol.event import SharesClosed
from bluebellbay.protocol.event import SharesReleased
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.peer import NodeStopped
from bluebellbay.protocol.peer import PeerMessage
from bluebellbay.protocol.peer import ShareNotice
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import LogField
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.vm import VmRole
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

PART = "share"
TOKEN_BITS = 63
# A server counts a closed connection until it has detected the close.
SERVER_CLOSE_DELAY_S = 0.2
# Digest periods between an admitted node's notices to a random other node,
# which make up for lost ones.
REPAIR_NOTICE_PERIODS = 10


class SharePart(Part):
    """Limits this node's connections to its share of each server's limit.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        settings = state.settings
        # Adding 1 keeps it apart from ``UNKNOWN_TOKEN``.
        self._token = state.rng.getrandbits(TOKEN_BITS) + 1
        self._configured = frozenset(peer.name for peer in settings.peers)
        self._group = ShareGroup(
            name=settings.node.name,
            token=self._token,
            configured=self._configured,
            linger_s=settings.fleet.connection_linger_s,
        )
        self._logged_divisor = 0
        # Servers whose connections may still exceed their reduced share.
        self._pending_reductions: set[str] = set()
        # When every server has detected the closed connections.
        self._settles_at: float | None = None
        # Other nodes counted when all were last sent a settled notice.
        self._announced: frozenset[str] = frozenset()
        self._next_notice_at = 0.0
        self._shares_released = False
        self._stop_announced = False

    @property
    def event_types(self) -> tuple[type, ...]:
        """Event types that this part handles."""
        return (
            VmListRead,
            PeerMessageReceived,
            ConnectionShareApplied,
            ServerAdded,
            ServerRemoved,
            ServerLeaving,
            ServerReturned,
            SharesReleased,
            TimerTick,
        )

    def step(self, event: Event, now: float) -> Iterator[Output]:
        """Handle one event.

        :param event: The event.
        :param now: Current Unix time in seconds.
        :returns: Commands and internal events, in order.
        """
        self._group.start(now)
        if isinstance(event, TimerTick) and now < self.get_wakeup_time():
            return
        match event:
            case VmListRead():
                self._apply_vm_list(event, now)
            case PeerMessageReceived():
                sender = event.envelope.sender
                self._group.record_heard(sender, now)
                message = event.envelope.message
                if not isinstance(message, ShareNotice | NodeStopped):
                    return
                yield from self._handle_message(sender, message, now)
            case ConnectionShareApplied():
                self._handle_share_in_force(event)
            case ServerRemoved():
                yield from self._revoke_share(event)
            case SharesReleased():
                self._shares_released = True
        yield from self._set_shares(now)
        yield from self._announce_settled(now)
        yield from self._send_periodic_notices(now)

    def get_wakeup_time(self) -> float:
        """Return the time at which ``TimerTick`` is due.

        :returns: Time in seconds.
        """
        if self._settles_at is not None:
            return min(self._settles_at, self._next_notice_at)
        return self._next_notice_at

    def _apply_vm_list(self, event: VmListRead, now: float) -> None:
        if event.vm_list.sequence < self.state.servers.vm_list_sequence:
            return
        names = frozenset(
            entry.name
            for entry in event.vm_list.vms
            if entry.role is VmRole.ENTRY
        )
        self._group.apply_vm_list(names, now)

    def _handle_message(
        self, sender: str, message: ShareNotice | NodeStopped, now: float
    ) -> Iterator[Output]:
        if isinstance(message, NodeStopped):
            self._group.remove_stopped(sender, message.token)
            return
        self._group.apply_notice(sender, message, now)
        if message.wants_reply:
            yield from self._set_shares(now)
            yield from self._send_notices((sender,))

    def _handle_share_in_force(self, event: ConnectionShareApplied) -> None:
        record = self.state.servers.servers.get(event.server)
        if record is None or record.connection_share == event.limit:
            self._pending_reductions.discard(event.server)

    def _revoke_share(self, event: ServerRemoved) -> Iterator[Output]:
        yield SetConnectionShare(
            server=event.server, address=event.address, limit=0
        )

    def _set_shares(self, now: float) -> Iterator[Output]:
        admitted = self._group.try_admit(now) and not self._shares_released
        divisor = self._group.divisor
        for record in self.state.servers.servers.values():
            share = record.connection_limit // divisor
            if record.leaving or not admitted:
                share = 0
            if share != record.connection_share:
                yield from self._set_share(record, share)
        if admitted and divisor != self._logged_divisor:
            self._logged_divisor = divisor
            yield LogDecision(
                part=PART,
                sentence="Divided the connection limits among the nodes.",
                fields=(LogField(name="nodes", value=divisor),),
            )

    def _set_share(self, record: ServerRecord, share: int) -> Iterator[Output]:
        if share < record.connection_share:
            self._pending_reductions.add(record.name)
        record.connection_share = share
        yield SetConnectionShare(
            server=record.name,
            address=record.address,
            limit=share,
            warm=min(share, record.slots),
        )

    def _announce_settled(self, now: float) -> Iterator[Output]:
        counted = frozenset(self._group.list_other_names())
        if self._pending_reductions:
            self._settles_at = None
            self._announced = frozenset()
            return
        if self._stop_announced or (
            counted == self._announced and not self._shares_released
        ):
            return
        if self._settles_at is None:
            self._settles_at = now + SERVER_CLOSE_DELAY_S
        if now < self._settles_at:
            return
        self._settles_at = None
        self._announced = counted
        if self._shares_released:
            yield from self._send_stopped()
        else:
            yield from self._send_notices(self._group.list_other_names())

    def _send_periodic_notices(self, now: float) -> Iterator[Output]:
        if now < self._next_notice_at:
            return
        period_s = self.state.settings.fleet.digest_s
        names = self._group.list_other_names()
        if self._group.admitted:
            self._next_notice_at = now + REPAIR_NOTICE_PERIODS * period_s
            if names:
                yield from self._send_notices((self.state.rng.choice(names),))
            return
        self._next_notice_at = now + period_s
        yield from self._send_notices(names, wants_reply=True)

    def _send_notices(
        self, names: tuple[str, ...], *, wants_reply: bool = False
    ) -> Iterator[Output]:
        counted = self._group.list_counted()
        settled = self._announced == frozenset(self._group.list_other_names())
        for name in names:
            notice = ShareNotice(
                token=self._token,
                counted=counted,
                settled=settled and not self._pending_reductions,
                admitted=self._group.admitted,
                expected=name in self._configured,
                size=len(self._configured | {self.state.settings.node.name}),
                wants_reply=wants_reply,
            )
            yield from self._send(name, notice)

    def _send_stopped(self) -> Iterator[Output]:
        self._stop_announced = True
        for name in self._group.list_other_names():
            yield from self._send(name, NodeStopped(token=self._token))
        yield SharesClosed()

    def _send(self, name: str, message: PeerMessage) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(name)
        if peer is not None:
            yield SendPeerMessage(
                peer=name, address=peer.peer_address, message=message
            )
