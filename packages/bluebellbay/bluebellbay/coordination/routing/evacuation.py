"""Applies the evacuation of failure domains."""

import collections

from bluebellbay.coordination.routing.connection_limit import (
    set_connection_limits,
)
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.pace import MIN_IDLE_S
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import DomainEvacuated
from bluebellbay.protocol.registry import DomainRestored
from bluebellbay.protocol.registry import EvacuationsListed
from bluebellbay.state.line_limit import LineLimit
from bluebellbay.state.store_picture import RestoredItem

MAX_LOGGED_DOMAINS = 8
MAX_ENDED_DOMAINS = 256
MAX_LOGGED_NAME_LENGTH = 40


class EvacuationPart(RoutingPart):
    """Keeps the set of evacuated failure domains, which replicas' use follows.

    Requests that wait for a connection to a replica of an evacuated domain
    fail as not sent; those that were written run to completion.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        # When each evacuated domain was, in seconds.
        self._since: dict[str, float] = {}
        # Domains that a restored store lacks, and that stay evacuated.
        self._missing: frozenset[str] = frozenset()
        # Domains whose evacuation was taken back, in order, and those of them
        # that a restored store shows nevertheless.
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._shown: frozenset[str] = frozenset()
        self._lines = LineLimit()

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            DomainEvacuated: self._handle_evacuated,
            DomainRestored: self._handle_restored,
            EvacuationsListed: self._handle_list,
            TimerTick: self._handle_time,
        }

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next wake-up, if one is scheduled."""
        if self._missing or self._shown:
            return self.state.store.rewritten_at
        return None

    def _handle_evacuated(self, event: DomainEvacuated, now: float) -> None:
        domain = event.domain
        if event.listed:
            domains = self._leave_out_ended(frozenset((domain,)), now)
        else:
            domains = frozenset((domain,))
            self._ended.pop(domain, None)
            self._shown -= domains
            self._note_written(domain)
        self._apply(self.state.evacuated_domains | domains, now)

    def _handle_restored(self, event: DomainRestored, now: float) -> None:
        domain = event.domain
        self._shown -= {domain}
        self._missing -= {domain}
        self._note_end(domain)
        self._apply(self.state.evacuated_domains - {domain}, now)

    def _handle_list(self, event: EvacuationsListed, now: float) -> None:
        self.state.evacuations_known = True
        former = self.state.evacuated_domains
        domains = self._leave_out_ended(event.domains, now)
        if not event.complete:
            domains |= former
        elif now < self.state.store.rewritten_at:
            missing = former - domains
            self._note_items(RestoredItem.KEPT, len(missing - self._missing))
            self._missing = missing
            domains |= missing
        for domain in former - domains:
            self._note_end(domain)
        self._apply(domains, now)

    def _leave_out_ended(
        self, domains: frozenset[str], now: float
    ) -> frozenset[str]:
        """Leave out evacuations that were taken back before a restore."""
        if now >= self.state.store.rewritten_at:
            return domains
        shown = frozenset(name for name in domains if name in self._ended)
        self._note_items(RestoredItem.KEPT, len(shown - self._shown))
        self._shown |= shown
        return domains - shown

    def _handle_time(self, event: TimerTick, now: float) -> None:
        """Take the store's word, as nothing more is written again."""
        del event
        if now < self.state.store.rewritten_at:
            return
        if not self._missing and not self._shown:
            return
        missing, self._missing = self._missing, frozenset()
        shown, self._shown = self._shown, frozenset()
        self._note_items(RestoredItem.DROPPED, len(missing) + len(shown))
        for domain in shown:
            self._ended.pop(domain, None)
        self._apply((self.state.evacuated_domains - missing) | shown, now)

    def _note_written(self, domain: str) -> None:
        if domain in self._missing:
            self._missing -= {domain}
            self._note_items(RestoredItem.WRITTEN_AGAIN, 1)

    def _note_end(self, domain: str) -> None:
        self._ended[domain] = None
        self._ended.move_to_end(domain)
        if len(self._ended) > MAX_ENDED_DOMAINS:
            self._ended.popitem(last=False)

    def _note_items(self, item: RestoredItem, count: int) -> None:
        if not count:
            return
        self.state.store.restored_items[item] += count
        self.context.log(
            "Compared evacuations with those of a restored store.",
            outcome=item.value,
            domains=count,
            missing=_format_domains(self._missing),
            shown=_format_domains(self._shown),
            era=self.state.store.era,
        )

    def _apply(self, domains: frozenset[str], now: float) -> None:
        former = self.state.evacuated_domains
        if domains == former:
            return
        self.state.evacuated_domains = domains
        evacuated = domains - former
        self._since.update(dict.fromkeys(evacuated, now))
        self._restore(former - domains, now)
        replicas = 0
        for record in self.state.replicas:
            if record.entry.failure_domain not in evacuated:
                continue
            replicas += 1
            record.connection_limit = 0
            self.context.emit(CloseReplicaConnections(replica=record.entry))
        set_connection_limits(self.context)
        self._log_change(evacuated, former - domains, replicas, now)

    def _restore(self, domains: frozenset[str], now: float) -> None:
        """Let replicas that were idle for long begin with little work."""
        idle = {
            domain
            for domain in domains
            if now - self._since.pop(domain, now) >= MIN_IDLE_S
        }
        if not idle:
            return
        for record in self.state.replicas:
            if record.entry.failure_domain in idle:
                record.begin_pace(now)

    def _log_change(
        self,
        evacuated: frozenset[str],
        restored: frozenset[str],
        replicas: int,
        now: float,
    ) -> None:
        if not self._lines.try_acquire(now):
            return
        store = self.state.store
        self.context.log(
            "Changed the evacuated failure domains.",
            evacuated=_format_domains(evacuated),
            restored=_format_domains(restored),
            total=len(self.state.evacuated_domains),
            replicas=replicas,
            unconfirmed_s=round(now - store.confirmed_at, 2),
            suppressed=self._lines.pop_suppressed_count(),
        )


def _format_domains(domains: frozenset[str]) -> str:
    names = [
        name[:MAX_LOGGED_NAME_LENGTH]
        for name in sorted(domains)[:MAX_LOGGED_DOMAINS]
    ]
    left_out = len(domains) - len(names)
    if left_out:
        names.append(f"and {left_out} more")
    return ", ".join(names)
