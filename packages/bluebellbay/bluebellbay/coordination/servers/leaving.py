"""Stops new legs to backend servers that are leaving."""

from collections.abc import Iterator

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.event import ConfigurationChanged
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import ServerAdded
from bluebellbay.protocol.event import ServerLeaving
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import ServerReturned
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.peer import Departure
from bluebellbay.protocol.peer import LeavingNotice
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import LogField
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.vm import VmState
from bluebellbay.state.fleet import PeerRecord
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

PART = "leaving"
# For this long after a restart of a server was seen, a reply of its previous
# process may still arrive and must not mark the new one as leaving.
STALE_REPORT_S = 2.0


class LeavingPart(Part):
    """Collects evidence of leaving from four sources; the earliest counts.

    The sources are operators' marks, the platform's VM list, the server's
    own replies, refusals and health reports, and notices from peers.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._departures = state.departures
        self._last_listed: dict[str, tuple[int, VmState]] = {}
        self._next_notice_at = 0.0

    @property
    def event_types(self) -> tuple[type, ...]:
        """Event types that this part handles."""
        return (
            LegReplied,
            LegRefused,
            ServerPolled,
            ServerAdded,
            VmListRead,
            ConfigurationChanged,
            PeerMessageReceived,
            TimerTick,
        )

    def step(self, event: Event, now: float) -> Iterator[Output]:
        """Handle one event.

        :param event: The event.
        :param now: Current Unix time in seconds.
        :returns: Commands and internal events, in order.
        """
        match event:
            case LegReplied():
                if (
                    event.reply.leaving
                    and event.reply.attempt == event.attempt
                ):
                    yield from self._handle_own_report(event.server, now)
            case LegRefused():
                yield from self._handle_refusal(event, now)
            case ServerPolled():
                if event.report is not None and event.report.leaving:
                    yield from self._handle_own_report(event.server, now)
            case VmListRead():
                yield from self._apply_vm_list(event)
            case ConfigurationChanged():
                yield from self._apply_marks()
            case PeerMessageReceived():
                if isinstance(event.envelope.message, LeavingNotice):
                    yield from self._handle_notice(event.envelope.message)
            case ServerAdded():
                yield from self._update_leaving(event.server, "server added")
            case TimerTick():
                yield from self._send_periodic_notice(now)

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next periodic notice.

        :returns: Time in seconds; 0 before the first ``TimerTick``.
        """
        return self._next_notice_at

    def _handle_refusal(
        self, event: LegRefused, now: float
    ) -> Iterator[Output]:
        refusal = event.refusal
        if refusal.attempt != event.attempt:
            return
        if refusal.leaving or refusal.reason is RefusalReason.LEAVING:
            yield from self._handle_own_report(event.server, now)

    def _handle_own_report(self, server: str, now: float) -> Iterator[Output]:
        record = self.state.servers.servers.get(server)
        if record is None or record.leaving:
            return
        former = self._departures.find(server)
        restarted = former and former.incarnation < record.incarnation
        if restarted and now - record.added_at < STALE_REPORT_S:
            return
        departure = Departure(
            server=server,
            incarnation=record.incarnation,
            revision=self.state.configuration.revision,
        )
        self._departures.record(departure)
        peers = self.state.fleet.list_reachable_peers()
        yield from self._send_notices((departure,), peers)
        yield from self._update_leaving(server, "server report")

    def _apply_vm_list(self, event: VmListRead) -> Iterator[Output]:
        if event.vm_list.sequence < self.state.servers.vm_list_sequence:
            return
        new_departures: list[Departure] = []
        for entry in event.vm_list.vms:
            if entry.name not in self.state.servers.servers:
                continue
            listed = (entry.incarnation, entry.state)
            previous = self._last_listed.get(entry.name)
            self._last_listed[entry.name] = listed
            if entry.state is not VmState.LEAVING or previous == listed:
                yield from self._update_leaving(entry.name, "list")
                continue
            # An incarnation that was first listed as leaving may have left
            # before any mark was set: revision 0 lets every mark override it.
            saw_live = previous == (entry.incarnation, VmState.LIVE)
            departure = Departure(
                server=entry.name,
                incarnation=entry.incarnation,
                revision=self.state.configuration.revision if saw_live else 0,
            )
            if self._departures.record(departure):
                new_departures.append(departure)
            yield from self._update_leaving(entry.name, "list")
        for record in tuple(self.state.servers.servers.values()):
            if record.unlisted:
                yield from self._update_leaving(record.name, "list")
        yield from self._send_notices(
            tuple(new_departures), self._sample_peers()
        )

    def _apply_marks(self) -> Iterator[Output]:
        document = self.state.configuration.document
        if document is None:
            return
        self._departures.set_marks(document)
        for server in tuple(self.state.servers.servers):
            yield from self._update_leaving(server, "mark")

    def _handle_notice(self, notice: LeavingNotice) -> Iterator[Output]:
        new_departures = tuple(
            departure
            for departure in notice.departures
            if self._departures.record(departure)
        )
        for departure in new_departures:
            yield from self._update_leaving(departure.server, "peer")
        yield from self._send_notices(new_departures, self._sample_peers())

    def _send_periodic_notice(self, now: float) -> Iterator[Output]:
        # Repeats all departures to a random peer, as notices can get lost.
        if now < self._next_notice_at:
            return
        self._next_notice_at = now + self.state.settings.fleet.digest_s
        departures = tuple(
            departure
            for name in self.state.servers.servers
            if (departure := self._departures.find(name)) is not None
        )
        yield from self._send_notices(departures, self._sample_peers(1))

    def _update_leaving(self, server: str, source: str) -> Iterator[Output]:
        record = self.state.servers.servers.get(server)
        if record is None:
            return
        leaving = record.unlisted or self._departures.is_leaving(
            server, record.incarnation
        )
        if leaving == record.leaving:
            return
        record.leaving = leaving
        yield _make_log_decision(record, source)
        if leaving:
            yield ServerLeaving(server=server)
        else:
            yield ServerReturned(server=server)

    def _send_notices(
        self,
        departures: tuple[Departure, ...],
        peers: tuple[PeerRecord, ...],
    ) -> Iterator[Output]:
        if not departures:
            return
        for peer in peers:
            yield SendPeerMessage(
                peer=peer.name,
                address=peer.peer_address,
                message=LeavingNotice(departures=departures),
            )

    def _sample_peers(
        self, count: int | None = None
    ) -> tuple[PeerRecord, ...]:
        peers = self.state.fleet.list_reachable_peers()
        max_peers = count or self.state.settings.fleet.fanout
        if len(peers) <= max_peers:
            return peers
        return tuple(self.state.rng.sample(peers, max_peers))


def _make_log_decision(record: ServerRecord, source: str) -> LogDecision:
    return LogDecision(
        part=PART,
        sentence=(
            "Stopped sending new legs to a leaving server."
            if record.leaving
            else "Resumed sending legs to a server that returned."
        ),
        fields=(
            LogField(name="server", value=record.name),
            LogField(name="source", value=source),
        ),
    )
