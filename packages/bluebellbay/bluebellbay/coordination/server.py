"""Keeps the table of backend servers after the platform's list and health."""

from collections.abc import Iterator
import heapq

from bluebellbay.coordination.part import Part
from bluebellbay.coordination.part import Step
from bluebellbay.protocol.command import Field
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import ReadVmList
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import TimePassed
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmRole
from bluebellbay.protocol.vm import VmState
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

JITTER = 0.2


class ServerPart(Part):
    """Reads the platform's list and polls the health of its servers."""

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._list_due_at = 0.0
        self._polls: list[tuple[float, str]] = []

    @property
    def handles(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (TimePassed, VmListRead, ServerPolled)

    def step(self, event: Event, now: float) -> Iterator[Step]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds, Unix time.
        :returns: Commands, in order.
        """
        if isinstance(event, TimePassed):
            yield from self._run_timers(now)
        elif isinstance(event, VmListRead):
            yield from self._read_list(event, now)
        elif isinstance(event, ServerPolled):
            self._read_health(event)

    def next_wake(self) -> float | None:
        """Name the time at which ``TimePassed`` is due.

        :returns: Time in seconds.
        """
        if not self._polls:
            return self._list_due_at
        return min(self._list_due_at, self._polls[0][0])

    def _run_timers(self, now: float) -> Iterator[Step]:
        settings = self.state.settings
        if now >= self._list_due_at:
            self._list_due_at = now + self._jitter(
                settings.platform.vm_list_poll_s
            )
            yield ReadVmList()
        while self._polls and self._polls[0][0] <= now:
            _, name = heapq.heappop(self._polls)
            record = self.state.servers.servers.get(name)
            if record is None:
                continue
            due_at = now + self._jitter(settings.policy.health_poll_s)
            heapq.heappush(self._polls, (due_at, name))
            yield PollServer(server=name, address=record.address)

    def _jitter(self, period_s: float) -> float:
        return period_s * self.state.rng.uniform(1 - JITTER, 1 + JITTER)

    def _read_list(self, event: VmListRead, now: float) -> Iterator[Step]:
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
            elif entry.state is VmState.LEAVING and not record.leaving:
                yield from self._mark_leaving(record, "list")
        gone = self.state.servers.servers.keys() - listed.keys()
        for name in sorted(gone):
            yield from self._drop_server(self.state.servers.servers[name])

    def _add_server(self, entry: VmEntry, now: float) -> Iterator[Step]:
        index = self.state.servers.indexes[entry.index]
        known = entry.name in self.state.servers.servers
        share = max(
            1, index.connection_limit // (len(self.state.fleet.peers) + 1)
        )
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
            leaving=entry.state is VmState.LEAVING,
            connection_share=share,
        )
        self.state.servers.holdings[entry.index].remove_server(entry.name)
        if not known:
            heapq.heappush(self._polls, (now, entry.name))
        yield SetConnectionShare(
            server=entry.name, address=entry.address, limit=share
        )
        yield LogDecision(
            part="server",
            sentence="Added.",
            fields=(
                Field(name="server", value=entry.name),
                Field(name="share", value=share),
            ),
        )

    def _mark_leaving(
        self, record: ServerRecord, source: str
    ) -> Iterator[Step]:
        record.leaving = True
        yield LogDecision(
            part="server",
            sentence="Leaving.",
            fields=(
                Field(name="server", value=record.name),
                Field(name="source", value=source),
            ),
        )

    def _drop_server(self, record: ServerRecord) -> Iterator[Step]:
        if not record.leaving:
            yield from self._mark_leaving(record, "absent")
        if record.outstanding > 0:
            return
        del self.state.servers.servers[record.name]
        self.state.servers.holdings[record.index].remove_server(record.name)
        yield SetConnectionShare(
            server=record.name, address=record.address, limit=0
        )

    def _read_health(self, event: ServerPolled) -> None:
        record = self.state.servers.servers.get(event.server)
        if record is None or event.report is None:
            return
        record.hinted_load = event.report.load
        record.leaving = record.leaving or event.report.leaving
        self.state.servers.holdings[record.index].set_server(
            server=record.name,
            service=record.service,
            holdings=event.report.holdings,
        )
