"""Synchronizes the table of replicas with the store."""

import math
from typing import Any

from bluebellbay.coordination.routing.connection_limit import (
    set_connection_limit,
)
from bluebellbay.coordination.routing.connection_limit import (
    set_connection_limits,
)
from bluebellbay.coordination.routing.connection_limit import (
    set_service_limits,
)
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.gone_entries import GoneEntries
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import EvacuationsListed
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import ReplicaUpdated
from bluebellbay.protocol.registry import StoreAnswered
from bluebellbay.protocol.registry import StoreConfirmed
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored
from bluebellbay.protocol.registry import StoreListed
from bluebellbay.protocol.registry import StoreReadAhead
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.store_picture import RestoredItem

MAX_LOGGED_REPLICAS = 8
# Replicas of a fleet that starts for the first time come within this time.
FIRST_START_S = 60.0


class ReplicaPart(RoutingPart):
    """Adds, updates and removes replicas as their entries change.

    A replica whose entry is gone is a last resort until its removal, whose
    time hangs on how old the knowledge of the store was when that was read.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        self._store_lost = False
        # When the first entries were read, in seconds.
        self._began_at: float | None = None
        # When each replica without an entry is removed, in seconds.
        self._unlisted: dict[str, float] = {}
        # Entries that a watch told before the evacuations were read: each may
        # be of a replica in an evacuated failure domain.
        self._early: dict[str, ReplicaEntry] = {}
        self._gone = GoneEntries(store=self.state.store)

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            EvacuationsListed: self._handle_evacuations,
            ReplicasListed: self._handle_list,
            ReplicaUpdated: self._handle_entry,
            ReplicaRemoved: self._handle_removal,
            StoreAnswered: self._handle_store_answer,
            StoreConfirmed: self._handle_confirmation,
            StoreConnectionLost: self._handle_store_lost,
            StoreConnectionRestored: self._handle_store_regained,
            StoreListed: self._handle_store_listed,
            StoreReadAhead: self._handle_read_ahead,
            TimerTick: self._handle_time,
        }

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next wake-up, if one is scheduled."""
        ends = (*self._unlisted.values(), self._gone.get_end())
        earliest = min(ends)
        return None if earliest == math.inf else earliest

    def _handle_evacuations(
        self, event: EvacuationsListed, now: float
    ) -> None:
        del event
        early, self._early = self._early, {}
        for entry in early.values():
            self._apply_entry(entry, now)

    def _handle_list(self, event: ReplicasListed, now: float) -> None:
        if self._began_at is None:
            self._began_at = now
        entries = self._leave_out_gone(event.entries, now)
        if not event.complete or not len(self.state.replicas):
            self._add_all(entries, now)
        for entry in entries:
            self._apply_entry(entry, now)
        if not event.complete:
            return
        self.state.replicas_listed = True
        listed = {entry.replica_id for entry in entries}
        for record in self.state.replicas:
            if record.entry.replica_id not in listed:
                self._unlist(record, now)

    def _leave_out_gone(
        self, entries: tuple[ReplicaEntry, ...], now: float
    ) -> tuple[ReplicaEntry, ...]:
        """Leave out what a restored store shows of gone replicas."""
        held = [entry for entry in entries if self._gone.hold(entry, now)]
        if not held:
            return entries
        self.context.log(
            "Held back entries of replicas that were gone before a restore.",
            era=self.state.store.era,
            held=len(held),
            replicas=", ".join(
                entry.replica_id for entry in held[:MAX_LOGGED_REPLICAS]
            ),
            left_s=round(self._gone.get_end() - now, 2),
        )
        left_out = {entry.replica_id for entry in held}
        return tuple(
            entry for entry in entries if entry.replica_id not in left_out
        )

    def _handle_entry(self, event: ReplicaUpdated, now: float) -> None:
        self._gone.note_written(event.entry)
        if not self.state.evacuations_known:
            self._early[event.entry.replica_id] = event.entry
            return
        self._apply_entry(event.entry, now)

    def _handle_removal(self, event: ReplicaRemoved, now: float) -> None:
        self._early.pop(event.replica_id, None)
        self._gone.discard(event.replica_id)
        record = self.state.replicas.find(event.replica_id)
        if record is not None:
            self._unlist(record, now)

    def _apply_entry(self, entry: ReplicaEntry, now: float) -> None:
        store = self.state.store
        record = self.state.replicas.find(entry.replica_id)
        if record is None:
            self._add(entry, now)
            return
        former = record.entry
        if entry.started_ms < former.started_ms:
            self._log_entry(
                "Ignored a replica entry of an earlier start.", entry
            )
            return
        if _is_new_incarnation(entry, former):
            self._log_end(record, entry, now)
            self.context.emit(CloseReplicaConnections(replica=former))
            self._add(entry, now)
            return
        if entry.sequence < former.sequence:
            self._log_entry(
                "Ignored a replica entry older than the known one.", entry
            )
            return
        record.entry = entry
        if entry.sequence > former.sequence:
            record.note_entry_warmup(now)
        if record.unlisted_at is not None and now < store.rewritten_at:
            store.restored_items[RestoredItem.WRITTEN_AGAIN] += 1
        record.unlisted_at = None
        self._unlisted.pop(entry.replica_id, None)
        if entry.draining and not former.draining:
            self._log_entry(
                "A replica is draining; it gets no new requests.", entry
            )
            self.context.emit(CloseReplicaConnections(replica=entry))
            record.connection_limit = 0
        elif former.draining and not entry.draining:
            set_connection_limit(self.context, record)

    def _add_all(self, entries: tuple[ReplicaEntry, ...], now: float) -> None:
        """Add the replicas that are not known, with one log line."""
        entries = tuple(
            entry
            for entry in entries
            if self.state.replicas.find(entry.replica_id) is None
        )
        if not entries:
            return
        for entry in entries:
            self._unlisted.pop(entry.replica_id, None)
            self.state.replicas.add(self._build_record(entry, now))
        set_connection_limits(self.context)
        self.context.log(
            "Added the replicas that the store lists.", replicas=len(entries)
        )

    def _add(self, entry: ReplicaEntry, now: float) -> None:
        self._unlisted.pop(entry.replica_id, None)
        self.state.replicas.add(self._build_record(entry, now))
        self._log_entry("Added a replica that the store lists.", entry)
        set_service_limits(self.context, entry.service)

    def _build_record(self, entry: ReplicaEntry, now: float) -> ReplicaRecord:
        """Build a record; a replica is new if this node knew all others."""
        record = ReplicaRecord(entry=entry, added_at=now)
        starts_with_fleet = self.state.rules.first_start and (
            self._began_at is None or now < self._began_at + FIRST_START_S
        )
        is_new = self.state.replicas_listed and not starts_with_fleet
        if is_new or record.cold_until > now:
            record.begin_pace(now)
        return record

    def _unlist(self, record: ReplicaRecord, now: float) -> None:
        if record.unlisted_at is not None:
            return
        self._gone.note_gone(record.entry)
        if record.entry.draining or record.leaving:
            self._remove(record)
            return
        store = self.state.store
        record.unlisted_at = now
        removal_at = store.compute_removal_time(self.state.rules.store)
        self._unlisted[record.entry.replica_id] = removal_at
        self._log_entry(
            "A replica's entry is gone; it is a last resort now.",
            record.entry,
            unconfirmed_s=round(now - store.confirmed_at, 2),
            left_s=round(removal_at - now, 2),
        )

    def _remove(self, record: ReplicaRecord) -> None:
        self._unlisted.pop(record.entry.replica_id, None)
        self.state.replicas.remove(record.entry.replica_id)
        self._log_entry(
            "Removed a replica that the store no longer lists.", record.entry
        )
        self.context.emit(CloseReplicaConnections(replica=record.entry))
        set_service_limits(self.context, record.entry.service)

    def _handle_store_answer(self, event: StoreAnswered, now: float) -> None:
        del event
        state = self.state
        state.store.note_answer(now, state.rules.store, state.nodes)

    def _handle_confirmation(self, event: StoreConfirmed, now: float) -> None:
        del now
        self.state.store.confirm(event.confirmed_at)

    def _handle_store_lost(
        self, event: StoreConnectionLost, now: float
    ) -> None:
        self.state.store.note_failure(event.asked_at)
        if not self._store_lost:
            self.context.log(
                "Lost the store; listed replicas are kept until it answers.",
                reason=event.reason,
                silent_s=_round(self.state.store.measure_silence(now)),
            )
        self._store_lost = True

    def _handle_store_regained(
        self, event: StoreConnectionRestored, now: float
    ) -> None:
        del event, now
        if not self._store_lost:
            return
        self._store_lost = False
        self.context.log(
            "Regained the store.",
            version=self.state.routes.version,
            replicas=len(self.state.replicas),
            silent_s=_round(self.state.store.silent_s),
        )

    def _handle_store_listed(self, event: StoreListed, now: float) -> None:
        del now
        outcome = {"error": event.error} if event.error else {}
        self.context.log(
            "Could not read all items of the store."
            if event.error
            else "Read all items of the store.",
            cause=event.cause,
            items=event.items,
            pages=event.pages,
            ms=round(event.seconds * 1000, 1),
            failures=event.failures,
            **outcome,
        )

    def _handle_read_ahead(self, event: StoreReadAhead, now: float) -> None:
        del now
        outcome = {"error": event.error} if event.error else {}
        self.context.log(
            "Changes of the store are long on their way; what must not wait "
            "was read by itself.",
            items=event.items,
            received_bytes=event.received_bytes,
            unconfirmed_s=round(event.age_s, 2),
            **outcome,
        )

    def _handle_time(self, event: object, now: float) -> None:
        del event
        for entry in self._gone.pop_proven(now):
            self._log_entry(
                "A replica that was held back lives, as its entry has not "
                "lapsed.",
                entry,
            )
            self._apply_entry(entry, now)
        for replica_id, removal_at in tuple(self._unlisted.items()):
            if now < removal_at:
                continue
            record = self.state.replicas.find(replica_id)
            if record is None:
                del self._unlisted[replica_id]
                continue
            self._remove(record)

    def _log_end(
        self, record: ReplicaRecord, entry: ReplicaEntry, now: float
    ) -> None:
        """Log that a replica that was leaving or quiet is replaced."""
        if not record.leaving and record.quiet_until <= now:
            return
        self._log_entry(
            "A replica that was leaving or quiet has another incarnation.",
            entry,
            former_address=record.entry.address,
            former_started_ms=record.entry.started_ms,
            leaving=record.leaving,
            quiet_s=round(max(0.0, record.quiet_until - now), 3),
        )

    def _log_entry(
        self, sentence: str, entry: ReplicaEntry, **fields: Any
    ) -> None:
        self.context.log(
            sentence,
            replica=entry.replica_id,
            service=entry.service,
            address=entry.address,
            started_ms=entry.started_ms,
            sequence=entry.sequence,
            draining=entry.draining,
            warmup_s=entry.warmup_s,
            **fields,
        )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)


def _is_new_incarnation(entry: ReplicaEntry, former: ReplicaEntry) -> bool:
    return (
        entry.started_ms != former.started_ms
        or entry.address != former.address
        or entry.service != former.service
    )
