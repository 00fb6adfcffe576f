"""Keeps new work away from backend servers that are leaving."""

from collections.abc import Iterator

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import LogField
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
from bluebellbay.protocol.event import TimerTick
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.peer import Departure
from bluebellbay.protocol.peer import LeavingNotice
from bluebellbay.protocol.vm import VmState
from bluebellbay.state.fleet import PeerRecord
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

PART = "leaving"
# A word of the process that ran before may still be on its way.
FORMER_WORD_S = 2.0


class LeavingPart(Part):
    """Takes evidence of leaving from four sources; the earliest counts.

    The sources are operators' marks, the platform's list, the server's own
    word in any reply, and peers.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._departures = state.departures
        self._listed: dict[str, tuple[int, VmState]] = {}
        self._repair_at = 0.0

    @property
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
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
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds.
        :returns: Commands and internal events, in order.
        """
        match event:
            case LegReplied():
                if (
                    event.reply.leaving
                    and event.reply.attempt == event.attempt
                ):
                    yield from self._take_own_word(event.server, now)
            case LegRefused():
                yield from self._take_refusal(event, now)
            case ServerPolled():
                if event.report is not None and event.report.leaving:
                    yield from self._take_own_word(event.server, now)
            case VmListRead():
                yield from self._take_list(event)
            case ConfigurationChanged():
                yield from self._take_marks()
            case PeerMessageReceived():
                if isinstance(event.envelope.message, LeavingNotice):
                    yield from self._take_notice(event.envelope.message)
            case ServerAdded():
                yield from self._review(event.server, "known")
            case TimerTick():
                yield from self._repair(now)

    def get_wakeup_time(self) -> float | None:
        """Name the time at which ``TimerTick`` is due.

        :returns: Time in seconds.
        """
        return self._repair_at

    def _take_refusal(self, event: LegRefused, now: float) -> Iterator[Output]:
        refusal = event.refusal
        if refusal.attempt != event.attempt:
            return
        if refusal.leaving or refusal.reason is RefusalReason.LEAVING:
            yield from self._take_own_word(event.server, now)

    def _take_own_word(self, server: str, now: float) -> Iterator[Output]:
        record = self.state.servers.servers.get(server)
        if record is None or record.leaving:
            return
        former = self._departures.find(server)
        restarted = former and former.incarnation < record.incarnation
        if restarted and now - record.added_at < FORMER_WORD_S:
            return
        departure = Departure(
            server=server,
            incarnation=record.incarnation,
            revision=self.state.configuration.revision,
        )
        self._departures.record(departure)
        peers = self.state.fleet.list_reachable_peers()
        yield from self._tell((departure,), peers)
        yield from self._review(server, "own word")

    def _take_list(self, event: VmListRead) -> Iterator[Output]:
        if event.vm_list.sequence < self.state.servers.vm_list_sequence:
            return
        news: list[Departure] = []
        for entry in event.vm_list.vms:
            if entry.name not in self.state.servers.servers:
                continue
            seen = (entry.incarnation, entry.state)
            before = self._listed.get(entry.name)
            self._listed[entry.name] = seen
            if entry.state is not VmState.LEAVING or before == seen:
                yield from self._review(entry.name, "list")
                continue
            witnessed = before == (entry.incarnation, VmState.LIVE)
            departure = Departure(
                server=entry.name,
                incarnation=entry.incarnation,
                revision=self.state.configuration.revision if witnessed else 0,
            )
            if self._departures.record(departure):
                news.append(departure)
            yield from self._review(entry.name, "list")
        yield from self._tell(tuple(news), self._draw_peers())

    def _take_marks(self) -> Iterator[Output]:
        document = self.state.configuration.document
        if document is None:
            return
        self._departures.set_marks(document)
        for server in tuple(self.state.servers.servers):
            yield from self._review(server, "mark")

    def _take_notice(self, notice: LeavingNotice) -> Iterator[Output]:
        news = tuple(
            departure
            for departure in notice.departures
            if self._departures.record(departure)
        )
        for departure in news:
            yield from self._review(departure.server, "peer")
        yield from self._tell(news, self._draw_peers())

    def _repair(self, now: float) -> Iterator[Output]:
        if now < self._repair_at:
            return
        self._repair_at = now + self.state.settings.fleet.digest_s
        known = tuple(
            departure
            for name in self.state.servers.servers
            if (departure := self._departures.find(name)) is not None
        )
        yield from self._tell(known, self._draw_peers(1))

    def _review(self, server: str, source: str) -> Iterator[Output]:
        record = self.state.servers.servers.get(server)
        if record is None:
            return
        leaving = self._departures.is_leaving(server, record.incarnation)
        if leaving == record.leaving:
            return
        record.leaving = leaving
        yield _describe(record, source)
        if leaving:
            yield ServerLeaving(server=server)
        else:
            yield ServerReturned(server=server)

    def _tell(
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

    def _draw_peers(self, count: int | None = None) -> tuple[PeerRecord, ...]:
        peers = self.state.fleet.list_reachable_peers()
        wanted = count or self.state.settings.fleet.fanout
        if len(peers) <= wanted:
            return peers
        return tuple(self.state.rng.sample(peers, wanted))


def _describe(record: ServerRecord, source: str) -> LogDecision:
    return LogDecision(
        part=PART,
        sentence="No new work." if record.leaving else "Work again.",
        fields=(
            LogField(name="server", value=record.name),
            LogField(name="source", value=source),
        ),
    )
