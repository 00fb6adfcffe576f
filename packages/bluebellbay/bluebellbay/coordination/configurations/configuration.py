"""Replication of the configuration between the store and the nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from bluebellbay.coordination.configurations.document import (
    find_validation_error,
)
from bluebellbay.coordination.configurations.document import merge_documents
from bluebellbay.coordination.configurations.document import parse_document
from bluebellbay.coordination.configurations.store_call_scheduler import (
    StoreCallScheduler,
)
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.configuration import ChangeRecord
from bluebellbay.protocol.configuration import CONFIGURATION_KEY
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import MAX_RECENT_CHANGES
from bluebellbay.protocol.event import ConfigurationChanged
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.protocol.peer import ConfigurationDigest
from bluebellbay.protocol.peer import ConfigurationPush
from bluebellbay.protocol.peer import PeerMessage
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import LogField
from bluebellbay.protocol.process import TimerTick
from bluebellbay.state.fleet import PeerRecord
from bluebellbay.state.node import NodeState

PART = "configuration"
DIGEST_JITTER_FRACTION = 0.2
# A larger document is announced by a digest and pushed to peers on request.
MAX_PUSH_BYTES = 4096
# Several digests of one new revision cause a single request in this time.
MIN_REQUEST_INTERVAL_S = 0.5


class ConfigurationPart(Part):
    """Replicates the configuration from the store and between nodes.

    A node puts a document in force only if its revision is higher than the
    present one and it contains all changes in force. It pushes a new
    document to a few peers and sends them periodic digests, by which nodes
    find and repair missing revisions. If the store lacks changes in force,
    for example after a restore, the node writes them back.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._scheduler = StoreCallScheduler(state=state)
        self._next_digest_at: float | None = None
        self._pending_write: ConfigurationDocument | None = None
        self._requested_revision = 0
        self._requested_at = 0.0

    @property
    def event_types(self) -> tuple[type, ...]:
        """Types of the events that ``step`` takes."""
        return (
            TimerTick,
            KeyRead,
            KeyWritten,
            KeyConflict,
            StoreCallFailed,
            PeerMessageReceived,
        )

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next digest or store call.

        :returns: Time in seconds; 0 before the first ``step``.
        """
        if self._next_digest_at is None:
            return 0.0
        wake_at = self._scheduler.next_wake()
        if wake_at is None:
            return self._next_digest_at
        return min(wake_at, self._next_digest_at)

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Handle an event, and send the digests and the store call due.

        :param event: The event.
        :param now: Current Unix time in seconds.
        :returns: Commands and internal events, in order.
        """
        if self._next_digest_at is None:
            self._next_digest_at = now
            self._scheduler.start(now)
        steps: list[Output] = []
        match event:
            case PeerMessageReceived(envelope=envelope):
                steps.extend(
                    self._handle_peer_message(
                        envelope.sender, envelope.message, now
                    )
                )
            case KeyRead() | KeyConflict() | KeyWritten() | StoreCallFailed():
                if event.key == CONFIGURATION_KEY:
                    steps.extend(self._handle_store_event(event, now))
            case _:
                pass
        if now >= self._next_digest_at:
            steps.extend(self._send_digests(now))
        if self._scheduler.expire_call(now):
            steps.extend(self._report_failure())
        call = self._scheduler.start_due_call(now)
        return steps if call is None else [*steps, call]

    def _report_failure(self) -> Iterator[Output]:
        if self._scheduler.failures == 1:
            yield _make_log(
                "Lost the store; retrying its calls with back-off."
            )

    def _handle_store_event(
        self,
        event: KeyRead | KeyConflict | KeyWritten | StoreCallFailed,
        now: float,
    ) -> Iterator[Output]:
        if not self._scheduler.is_pending(event.correlation_id):
            return
        written, self._pending_write = self._pending_write, None
        if isinstance(event, StoreCallFailed):
            self._scheduler.record_failure(now)
            yield from self._report_failure()
            return
        if self._scheduler.failures:
            yield _make_log("Regained the store; it answers calls again.")
        self._scheduler.record_answer(event.version, now)
        if isinstance(event, KeyWritten):
            yield from self._accept_written(written, now)
            return
        if event.value is None:
            yield from self._reconcile(None, event.version, now)
            return
        parsed = parse_document(event.value)
        if parsed.is_error():
            reason = parsed.error.reason
            yield _make_log(
                "Dropped a malformed configuration document.", reason=reason
            )
            return
        yield from self._reconcile(parsed.ok, event.version, now)

    def _reconcile(
        self, stored: ConfigurationDocument | None, version: int, now: float
    ) -> Iterator[Output]:
        """Accept the store's document, or write back what it lacks."""
        current = self.state.configuration.document
        if current is None and stored is None:
            return
        if current is None or (stored and _includes_changes(stored, current)):
            assert stored is not None
            yield from self._accept(stored, now, "store", now)
            return
        if stored is None or _includes_changes(current, stored):
            document = current
        else:
            document = self._merge(current, stored)
        self._pending_write = document
        yield _make_log(
            "Writing the configuration to a store that lacks changes.",
            revision=document.revision,
            stored_revision=stored.revision if stored else 0,
        )
        yield self._scheduler.start_write(encode_json(document), version, now)

    def _merge(
        self, current: ConfigurationDocument, stored: ConfigurationDocument
    ) -> ConfigurationDocument:
        """Merge two documents under a new revision by this node."""
        merged = merge_documents(current, stored)
        note = ChangeRecord(
            revision=merged.revision + 1,
            change_id=f"{self.state.rng.getrandbits(128):032x}",
            author=self.state.settings.node.name,
            summary="join after the store went back",
        )
        return dataclasses.replace(
            merged,
            revision=note.revision,
            change_id=note.change_id,
            author=note.author,
            recent=(*merged.recent, note)[-MAX_RECENT_CHANGES:],
        )

    def _accept_written(
        self, written: ConfigurationDocument | None, now: float
    ) -> Iterator[Output]:
        if written is not None:
            yield from self._accept(written, now, "store", now)

    def _handle_peer_message(
        self, sender: str, message: PeerMessage, now: float
    ) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(sender)
        if peer is None:
            return
        match message:
            case ConfigurationPush(document=document, confirmed_age_s=age_s):
                yield from self._handle_push(peer, document, age_s, now)
            case ConfigurationDigest():
                yield from self._handle_digest(peer, message, now)
            case _:
                pass

    def _handle_push(
        self,
        peer: PeerRecord,
        document: ConfigurationDocument,
        age_s: float | None,
        now: float,
    ) -> Iterator[Output]:
        error_reason = find_validation_error(document)
        if error_reason:
            yield _make_log(
                "Dropped a malformed configuration document.",
                reason=error_reason,
                peer=peer.name,
            )
            return
        current = self.state.configuration.document
        if current and document.revision < current.revision:
            return
        if current and not _includes_changes(document, current):
            yield _make_log(
                "Refused a peer's configuration that lacks changes in force.",
                peer=peer.name,
                revision=document.revision,
            )
            self._scheduler.expedite(now)
            return
        confirmed_at = None if age_s is None else now - age_s
        yield from self._accept(document, confirmed_at, peer.name, now)

    def _handle_digest(
        self, peer: PeerRecord, digest: ConfigurationDigest, now: float
    ) -> Iterator[Output]:
        configuration_state = self.state.configuration
        if digest.revision < configuration_state.revision:
            yield self._make_push(peer, now)
            return
        if digest.revision > configuration_state.revision:
            if self._should_request(digest.revision, now):
                yield self._make_digest(peer, now, wants_reply=True)
            return
        if configuration_state.document is None:
            return
        if digest.change_id != configuration_state.document.change_id:
            self._scheduler.expedite(now)
            return
        if digest.confirmed_age_s is not None:
            configuration_state.confirm(now - max(0.0, digest.confirmed_age_s))
        if digest.wants_reply:
            yield self._make_digest(peer, now)

    def _should_request(self, revision: int, now: float) -> bool:
        was_requested = revision <= self._requested_revision
        if was_requested and now - self._requested_at < MIN_REQUEST_INTERVAL_S:
            return False
        self._requested_revision = revision
        self._requested_at = now
        return True

    def _accept(
        self,
        document: ConfigurationDocument,
        confirmed_at: float | None,
        source: str,
        now: float,
    ) -> Iterator[Output]:
        configuration_state = self.state.configuration
        is_new = configuration_state.accept(document)
        if (
            document.revision == configuration_state.revision
            and confirmed_at is not None
        ):
            configuration_state.confirm(min(confirmed_at, now))
        if not is_new:
            return
        yield _make_log(
            "Put a configuration revision in force.",
            revision=document.revision,
            change_id=document.change_id,
            source=source,
        )
        yield ConfigurationChanged(revision=document.revision)
        fits_push = len(encode_json(document)) <= MAX_PUSH_BYTES
        make_message = self._make_push if fits_push else self._make_digest
        for peer in self._sample_peers():
            yield make_message(peer, now)

    def _send_digests(self, now: float) -> Iterator[Output]:
        digest_s = self.state.settings.fleet.digest_s
        jitter = self.state.rng.uniform(
            1 - DIGEST_JITTER_FRACTION, 1 + DIGEST_JITTER_FRACTION
        )
        self._next_digest_at = now + digest_s * jitter
        self._scheduler.refresh_role(now)
        wants_reply = self.state.configuration.document is None
        for peer in self._sample_peers():
            yield self._make_digest(peer, now, wants_reply=wants_reply)

    def _sample_peers(self) -> list[PeerRecord]:
        peers = self.state.fleet.list_gossip_targets()
        count = min(self.state.settings.fleet.fanout, len(peers))
        return self.state.rng.sample(peers, count)

    def _make_push(self, peer: PeerRecord, now: float) -> SendPeerMessage:
        document = self.state.configuration.document
        assert document is not None
        return _make_send_command(
            peer,
            ConfigurationPush(
                document=document,
                confirmed_age_s=self._compute_confirmed_age_s(now),
            ),
        )

    def _make_digest(
        self, peer: PeerRecord, now: float, *, wants_reply: bool = False
    ) -> SendPeerMessage:
        document = self.state.configuration.document
        return _make_send_command(
            peer,
            ConfigurationDigest(
                revision=document.revision if document else 0,
                confirmed_age_s=self._compute_confirmed_age_s(now),
                wants_reply=wants_reply,
                change_id=document.change_id if document else "",
            ),
        )

    def _compute_confirmed_age_s(self, now: float) -> float | None:
        confirmed_at = self.state.configuration.confirmed_at
        return None if confirmed_at is None else max(0.0, now - confirmed_at)


def _includes_changes(
    document: ConfigurationDocument, other: ConfigurationDocument
) -> bool:
    """Check whether a document contains all changes of another one."""
    if document.revision < other.revision:
        return False
    if document.revision == other.revision:
        return document.change_id == other.change_id
    return merge_documents(document, other) is document


def _make_send_command(
    peer: PeerRecord, message: PeerMessage
) -> SendPeerMessage:
    return SendPeerMessage(
        peer=peer.name, address=peer.peer_address, message=message
    )


def _make_log(sentence: str, **values: object) -> LogDecision:
    fields = tuple(
        LogField(name=name, value=value) for name, value in values.items()
    )
    return LogDecision(part=PART, sentence=sentence, fields=fields)
