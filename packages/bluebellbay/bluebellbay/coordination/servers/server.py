"""Updates the server table from the platform's VM list and health polls."""

from collections.abc import Iterator
import heapq

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import ReadVmList
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import ServerAdded
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import ServerRemoved
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import LogField
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmRole
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

PERIOD_JITTER = 0.2


class ServerPart(Part):
    """Reads the VM list and polls the health of the servers in it.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._next_list_read_at = 0.0
        self._poll_queue: list[tuple[float, str]] = []
        # Entries of the queue at other times than these are outdated.
        self._next_poll_at: dict[str, float] = {}

    @property
    def event_types(self) -> tuple[type, ...]:
        """Event types that this part handles."""
        return (TimerTick, VmListRead, ServerPolled)

    def step(self, event: Event, now: float) -> Iterator[Output]:
        """Handle one event.

        :param event: The event.
        :param now: Current Unix time in seconds.
        :returns: Commands and internal events, in order.
        """
        if isinstance(event, TimerTick):
            yield from self._run_timers(now)
        elif isinstance(event, VmListRead):
            yield from self._apply_vm_list(event, now)
        elif isinstance(event, ServerPolled):
            self._apply_report(event)

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next read of the VM list or health poll.

        :returns: Time in seconds; 0 before the first ``TimerTick``.
        """
        if not self._poll_queue:
            return self._next_list_read_at
        return min(self._next_list_read_at, self._poll_queue[0][0])

    def _run_timers(self, now: float) -> Iterator[Output]:
        settings = self.state.settings
        if now >= self._next_list_read_at:
            self._next_list_read_at = now + self._apply_jitter(
                settings.platform.vm_list_poll_s
            )
            yield ReadVmList()
        while self._poll_queue and self._poll_queue[0][0] <= now:
            due_at, name = heapq.heappop(self._poll_queue)
            record = self.state.servers.servers.get(name)
            if record is None or self._next_poll_at[name] != due_at:
                continue
            period_s = self._apply_jitter(settings.policy.health_poll_s)
            self._schedule_poll(name, now + period_s)
            yield PollServer(server=name, address=record.address)

    def _schedule_poll(self, server: str, due_at: float) -> None:
        self._next_poll_at[server] = due_at
        heapq.heappush(self._poll_queue, (due_at, server))

    def _apply_jitter(self, period_s: float) -> float:
        return period_s * self.state.rng.uniform(
            1 - PERIOD_JITTER, 1 + PERIOD_JITTER
        )

    def _apply_vm_list(
        self, event: VmListRead, now: float
    ) -> Iterator[Output]:
        # The list is served with a lag, so an older version may arrive after
        # a newer one.
        if event.vm_list.sequence < self.state.servers.vm_list_sequence:
            return
        self.state.servers.vm_list_sequence = event.vm_list.sequence
        listed = {
            entry.name: entry
            for entry in event.vm_list.vms
            if entry.role is VmRole.BACKEND
            and entry.index in self.state.servers.indexes
        }
        for entry in listed.values():
            record = self.state.servers.servers.get(entry.name)
            if record is None or record.incarnation < entry.incarnation:
                yield from self._add_server(entry, now)
            else:
                record.unlisted = False
        unlisted = self.state.servers.servers.keys() - listed.keys()
        for name in sorted(unlisted):
            yield from self._drop_server(self.state.servers.servers[name])

    def _add_server(self, entry: VmEntry, now: float) -> Iterator[Output]:
        index = self.state.servers.indexes[entry.index]
        former = self.state.servers.servers.get(entry.name)
        share = 0
        if former is not None and former.address == entry.address:
            share = former.connection_share
        elif former is not None:
            yield ServerRemoved(server=former.name, address=former.address)
        self.state.servers.servers[entry.name] = ServerRecord(
            name=entry.name,
            address=entry.address,
            failure_domain=entry.failure_domain,
            index=entry.index,
            service=entry.service,
            slots=index.slots,
            connection_limit=index.connection_limit,
            incarnation=entry.incarnation,
            added_at=now,
            connection_share=share,
        )
        self.state.servers.holdings[entry.index].remove_server(entry.name)
        if former is None:
            self._schedule_poll(entry.name, now)
        yield ServerAdded(server=entry.name)
        yield LogDecision(
            part="server",
            sentence="Added a backend server from the VM list.",
            fields=(LogField(name="server", value=entry.name),),
        )

    def _drop_server(self, record: ServerRecord) -> Iterator[Output]:
        record.unlisted = True
        # The record is kept while legs are in progress; one of the next lists
        # removes it.
        if record.outstanding > 0:
            return
        del self.state.servers.servers[record.name]
        del self._next_poll_at[record.name]
        self.state.servers.holdings[record.index].remove_server(record.name)
        yield ServerRemoved(server=record.name, address=record.address)
        yield LogDecision(
            part="server",
            sentence="Dropped a backend server missing from the VM list.",
            fields=(LogField(name="server", value=record.name),),
        )

    def _apply_report(self, event: ServerPolled) -> None:
        record = self.state.servers.servers.get(event.server)
        if record is None or event.report is None:
            return
        record.reported_load = event.report.load
        self.state.servers.holdings[record.index].set_holdings(
            server=record.name,
            service=record.service,
            holdings=event.report.holdings,
        )
