"""Keeps the highest configuration in force and spreads it."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from bluebellbay.coordination.configurations.document import find_fault
from bluebellbay.coordination.configurations.document import join_documents
from bluebellbay.coordination.configurations.document import parse_document
from bluebellbay.coordination.configurations.store_watch import StoreWatch
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import LogField
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
from bluebellbay.protocol.event import TimerTick
from bluebellbay.protocol.peer import ConfigurationDigest
from bluebellbay.protocol.peer import ConfigurationPush
from bluebellbay.protocol.peer import PeerMessage
from bluebellbay.state.fleet import PeerRecord
from bluebellbay.state.node import NodeState

PART = "configuration"
JITTER = 0.2
# A larger document is announced by a digest and sent to those who ask.
MAX_PUSH_BYTES = 4096
ASK_AGAIN_S = 0.5


class ConfigurationPart(Part):
    """Reads the store, takes higher revisions only, and tells the peers.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._watch = StoreWatch(state=state)
        self._next_digest_at: float | None = None
        self._writing: ConfigurationDocument | None = None
        self._asked_revision = 0
        self._asked_at = 0.0

    @property
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (
            TimerTick,
            KeyRead,
            KeyWritten,
            KeyConflict,
            StoreCallFailed,
            PeerMessageReceived,
        )

    def get_wakeup_time(self) -> float | None:
        """Name the time of the next digest or store call."""
        if self._next_digest_at is None:
            return 0.0
        wake = self._watch.next_wake()
        if wake is None:
            return self._next_digest_at
        return min(wake, self._next_digest_at)

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds.
        :returns: Commands and internal events, in order.
        """
        if self._next_digest_at is None:
            self._next_digest_at = now
            self._watch.start(now)
        steps: list[Output] = []
        match event:
            case PeerMessageReceived(envelope=envelope):
                steps.extend(
                    self._hear_peer(envelope.sender, envelope.message, now)
                )
            case KeyRead() | KeyConflict() | KeyWritten() | StoreCallFailed():
                if event.key == CONFIGURATION_KEY:
                    steps.extend(self._hear_store(event, now))
            case _:
                pass
        if now >= self._next_digest_at:
            steps.extend(self._send_round(now))
        call = self._watch.step(now)
        return steps if call is None else [*steps, call]

    def _hear_store(
        self,
        event: KeyRead | KeyConflict | KeyWritten | StoreCallFailed,
        now: float,
    ) -> Iterator[Output]:
        if not self._watch.owns(event.correlation_id):
            return
        writing, self._writing = self._writing, None
        if isinstance(event, StoreCallFailed):
            self._watch.record_failure(now)
            if self._watch.failures == 1:
                yield _log("Lost the store.")
            return
        if self._watch.failures:
            yield _log("Reached the store again.")
        self._watch.record_answer(event.version, now)
        if isinstance(event, KeyWritten):
            yield from self._finish_write(writing, now)
            return
        if event.value is None:
            yield from self._reconcile(None, event.version, now)
            return
        parsed = parse_document(event.value)
        if parsed.is_error():
            reason = parsed.error.reason
            yield _log("Dropped a malformed document.", reason=reason)
            return
        yield from self._reconcile(parsed.ok, event.version, now)

    def _reconcile(
        self, stored: ConfigurationDocument | None, version: int, now: float
    ) -> Iterator[Output]:
        mine = self.state.configuration.document
        if mine is None and stored is None:
            return
        if mine is None or (stored and _extends(stored, mine)):
            assert stored is not None
            yield from self._take(stored, now, "store", now)
            return
        if stored is None or _extends(mine, stored):
            document = mine
        else:
            document = self._join(mine, stored)
        self._writing = document
        yield _log(
            "Brings the store up.",
            revision=document.revision,
            stored_revision=stored.revision if stored else 0,
        )
        yield self._watch.write(encode_json(document), version, now)

    def _join(
        self, mine: ConfigurationDocument, stored: ConfigurationDocument
    ) -> ConfigurationDocument:
        joined = join_documents(mine, stored)
        note = ChangeRecord(
            revision=joined.revision + 1,
            change_id=f"{self.state.rng.getrandbits(128):032x}",
            author=self.state.settings.node.name,
            summary="join after the store went back",
        )
        return dataclasses.replace(
            joined,
            revision=note.revision,
            change_id=note.change_id,
            author=note.author,
            recent=(*joined.recent, note)[-MAX_RECENT_CHANGES:],
        )

    def _finish_write(
        self, written: ConfigurationDocument | None, now: float
    ) -> Iterator[Output]:
        if written is not None:
            yield from self._take(written, now, "store", now)

    def _hear_peer(
        self, sender: str, message: PeerMessage, now: float
    ) -> Iterator[Output]:
        peer = self.state.fleet.peers.get(sender)
        if peer is None:
            return
        match message:
            case ConfigurationPush(document=document, confirmed_age_s=age_s):
                yield from self._hear_push(peer, document, age_s, now)
            case ConfigurationDigest():
                yield from self._hear_digest(peer, message, now)
            case _:
                pass

    def _hear_push(
        self,
        peer: PeerRecord,
        document: ConfigurationDocument,
        age_s: float | None,
        now: float,
    ) -> Iterator[Output]:
        fault = find_fault(document)
        if fault:
            yield _log(
                "Dropped a malformed document.", reason=fault, peer=peer.name
            )
            return
        mine = self.state.configuration.document
        if mine and document.revision < mine.revision:
            return
        if mine and not _extends(document, mine):
            yield _log(
                "Refused a document that lacks changes in force.",
                peer=peer.name,
                revision=document.revision,
            )
            self._watch.hasten(now)
            return
        confirmed_at = None if age_s is None else now - age_s
        yield from self._take(document, confirmed_at, peer.name, now)

    def _hear_digest(
        self, peer: PeerRecord, digest: ConfigurationDigest, now: float
    ) -> Iterator[Output]:
        own = self.state.configuration
        if digest.revision < own.revision:
            yield self._push_to(peer, now)
            return
        if digest.revision > own.revision:
            if self._should_ask(digest.revision, now):
                yield self._digest_to(peer, now, wants_reply=True)
            return
        if own.document is None:
            return
        if digest.change_id != own.document.change_id:
            self._watch.hasten(now)
            return
        if digest.confirmed_age_s is not None:
            own.confirm(now - max(0.0, digest.confirmed_age_s))
        if digest.wants_reply:
            yield self._digest_to(peer, now)

    def _should_ask(self, revision: int, now: float) -> bool:
        was_asked = revision <= self._asked_revision
        if was_asked and now - self._asked_at < ASK_AGAIN_S:
            return False
        self._asked_revision = revision
        self._asked_at = now
        return True

    def _take(
        self,
        document: ConfigurationDocument,
        confirmed_at: float | None,
        source: str,
        now: float,
    ) -> Iterator[Output]:
        own = self.state.configuration
        is_new = own.accept(document)
        if document.revision == own.revision and confirmed_at is not None:
            own.confirm(min(confirmed_at, now))
        if not is_new:
            return
        yield _log(
            "Put a revision in force.",
            revision=document.revision,
            change_id=document.change_id,
            source=source,
        )
        yield ConfigurationChanged(revision=document.revision)
        is_small = len(encode_json(document)) <= MAX_PUSH_BYTES
        announce = self._push_to if is_small else self._digest_to
        for peer in self._pick_peers():
            yield announce(peer, now)

    def _send_round(self, now: float) -> Iterator[Output]:
        digest_s = self.state.settings.fleet.digest_s
        jitter = self.state.rng.uniform(1 - JITTER, 1 + JITTER)
        self._next_digest_at = now + digest_s * jitter
        self._watch.review_role(now)
        wants_reply = self.state.configuration.document is None
        for peer in self._pick_peers():
            yield self._digest_to(peer, now, wants_reply=wants_reply)

    def _pick_peers(self) -> list[PeerRecord]:
        peers = self.state.fleet.list_gossip_targets()
        count = min(self.state.settings.fleet.fanout, len(peers))
        return self.state.rng.sample(peers, count)

    def _push_to(self, peer: PeerRecord, now: float) -> SendPeerMessage:
        document = self.state.configuration.document
        assert document is not None
        return _send(
            peer,
            ConfigurationPush(
                document=document, confirmed_age_s=self._find_age_s(now)
            ),
        )

    def _digest_to(
        self, peer: PeerRecord, now: float, *, wants_reply: bool = False
    ) -> SendPeerMessage:
        document = self.state.configuration.document
        return _send(
            peer,
            ConfigurationDigest(
                revision=document.revision if document else 0,
                confirmed_age_s=self._find_age_s(now),
                wants_reply=wants_reply,
                change_id=document.change_id if document else "",
            ),
        )

    def _find_age_s(self, now: float) -> float | None:
        confirmed_at = self.state.configuration.confirmed_at
        return None if confirmed_at is None else max(0.0, now - confirmed_at)


def _extends(
    document: ConfigurationDocument, other: ConfigurationDocument
) -> bool:
    if document.revision < other.revision:
        return False
    if document.revision == other.revision:
        return document.change_id == other.change_id
    return join_documents(document, other) is document


def _send(peer: PeerRecord, message: PeerMessage) -> SendPeerMessage:
    return SendPeerMessage(
        peer=peer.name, address=peer.peer_address, message=message
    )


def _log(sentence: str, **values: object) -> LogDecision:
    fields = tuple(
        LogField(name=name, value=value) for name, value in values.items()
    )
    return LogDecision(part=PART, sentence=sentence, fields=fields)
