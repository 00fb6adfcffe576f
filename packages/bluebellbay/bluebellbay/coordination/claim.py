"""Claims: a request that is not repeatable is sent at most once."""

from collections.abc import Iterator
import dataclasses
from typing import Final

from expression import Result
from sortedcontainers import SortedSet

from bluebellbay.coordination.claim_life import ClaimAttempt
from bluebellbay.coordination.claim_life import ClaimLife
from bluebellbay.coordination.claim_life import ClaimMachine
from bluebellbay.coordination.claim_life import TICKET_PREFIX
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.part import Step
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.claim import decode_claim
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.event import ClaimFinished
from bluebellbay.protocol.event import ClaimRefused
from bluebellbay.protocol.event import ClaimRequested
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreFailed
from bluebellbay.protocol.event import TimePassed
from bluebellbay.state.node import NodeState

TOKEN_BITS: Final = 128
MAX_OUTCOME_BYTES: Final = 65_536

StoreEvent = KeyRead | KeyWritten | KeyConflict | StoreFailed


@dataclasses.dataclass(slots=True, kw_only=True)
class _Entry:
    """One attempt under way here, with its time limits.

    :param life: Its state machine.
    :param attempt: What it knows.
    :param deadline: Time in seconds until which it may be granted.
    :param useful_until: Time in seconds after which no attempt at the
        request is accepted anywhere.
    :param resume_at: Time in seconds at which its pause ends, if it pauses.
    :param wake_at: Time in seconds at which its next timer is due.
    """

    life: ClaimLife
    attempt: ClaimAttempt
    deadline: float
    useful_until: float
    resume_at: float | None = None
    wake_at: float = 0.0

    def find_next_timer(self) -> float:
        """Find the time in seconds at which the next timer is due."""
        limit = self.deadline if self.attempt.waiting else self.useful_until
        if self.resume_at is None:
            return limit
        return min(limit, self.resume_at)


class ClaimPart(Part):
    """Claims requests in the store before they are sent.

    A claim is created by compare-and-swap. A lost answer of the store is
    settled by reading back, and a claim that was refused is never granted
    later. The outcome is recorded after the answer, not before it.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._count = 0
        self._entries: dict[int, _Entry] = {}
        self._by_request: dict[str, int] = {}
        self._wakes: SortedSet[tuple[float, int]] = SortedSet()

    @property
    def handles(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (
            ClaimRequested,
            ClaimFinished,
            KeyRead,
            KeyWritten,
            KeyConflict,
            StoreFailed,
            TimePassed,
        )

    def next_wake(self) -> float | None:
        """Name the time at which ``TimePassed`` is due.

        :returns: Time in seconds, or none if no timer is set.
        """
        return self._wakes[0][0] if self._wakes else None

    def step(self, event: Event, now: float) -> Iterator[Step]:
        """Take one event.

        Time limits come first: an answer of the store that is late, or was
        read late, grants nothing.

        :param event: The event.
        :param now: Present time in seconds, Unix time.
        :returns: Commands and internal events, in order.
        """
        yield from self._run_timers(now)
        match event:
            case ClaimRequested():
                yield from self._request(event, now)
            case ClaimFinished():
                yield from self._finish(event, now)
            case KeyRead() | KeyWritten() | KeyConflict() | StoreFailed():
                yield from self._take_store_event(event, now)

    def _request(self, event: ClaimRequested, now: float) -> Iterator[Step]:
        deadline = min(event.deadline, event.expires_at)
        if now >= deadline:
            yield ClaimRefused(request_id=event.request_id)
            return
        attempt = self._build_attempt(event)
        skew_s = self.state.settings.limits.clock_skew_s
        entry = _Entry(
            life=ClaimMachine(attempt),
            attempt=attempt,
            deadline=deadline,
            useful_until=event.expires_at + skew_s,
        )
        self._entries[attempt.number] = entry
        self._by_request[event.request_id] = attempt.number
        entry.life.start()
        yield from self._settle(entry, now)

    def _build_attempt(self, event: ClaimRequested) -> ClaimAttempt:
        self._count += 1
        token = f"{self.state.rng.getrandbits(TOKEN_BITS):032x}"
        claim = Claim(
            request_id=event.request_id,
            token=token,
            expires_at=event.expires_at,
        )
        return ClaimAttempt(number=self._count, claim=claim)

    def _finish(self, event: ClaimFinished, now: float) -> Iterator[Step]:
        entry = self._entries.get(self._by_request.get(event.request_id, 0))
        if entry is None or not entry.attempt.granted:
            return
        entry.attempt.granted = False
        final = _finalise(entry.attempt.claim, event.answer)
        if final is None:
            self._drop(entry)
            return
        entry.life.finish(final)
        yield from self._settle(entry, now)

    def _take_store_event(
        self, event: StoreEvent, now: float
    ) -> Iterator[Step]:
        entry = self._entries.get(_read_ticket(event.ticket))
        if entry is None or entry.attempt.ticket != event.ticket:
            return
        entry.attempt.ticket = ""
        match event:
            case KeyWritten():
                _tell_found(entry, entry.attempt.written, event.version)
            case KeyRead() | KeyConflict():
                _tell_value(entry, event.value, event.version)
            case StoreFailed():
                _tell_failed(entry, event)
        yield from self._settle(entry, now)

    def _run_timers(self, now: float) -> Iterator[Step]:
        while self._wakes and self._wakes[0][0] <= now:
            _, number = self._wakes[0]
            yield from self._run_entry_timers(self._entries[number], now)

    def _run_entry_timers(self, entry: _Entry, now: float) -> Iterator[Step]:
        if entry.attempt.waiting and now >= entry.deadline:
            entry.life.give_up()
        if now >= entry.useful_until:
            entry.attempt.closed = True
        elif entry.resume_at is not None and now >= entry.resume_at:
            entry.resume_at = None
            entry.life.resume()
        yield from self._settle(entry, now)

    def _settle(self, entry: _Entry, now: float) -> Iterator[Step]:
        attempt = entry.attempt
        yield from attempt.steps
        attempt.steps.clear()
        if attempt.closed:
            self._drop(entry)
            return
        if attempt.paused_s is not None:
            entry.resume_at = now + attempt.paused_s
            attempt.paused_s = None
        self._wakes.discard((entry.wake_at, attempt.number))
        entry.wake_at = entry.find_next_timer()
        self._wakes.add((entry.wake_at, attempt.number))

    def _drop(self, entry: _Entry) -> None:
        number = entry.attempt.number
        request_id = entry.attempt.claim.request_id
        self._wakes.discard((entry.wake_at, number))
        del self._entries[number]
        if self._by_request.get(request_id) == number:
            del self._by_request[request_id]


def _read_ticket(ticket: str) -> int:
    if not ticket.startswith(TICKET_PREFIX):
        return 0
    return int(ticket.removeprefix(TICKET_PREFIX).split(":")[0])


def _finalise(claim: Claim, answer: Answer) -> Claim | None:
    if answer.outcome is Outcome.NOT_RUN:
        return dataclasses.replace(claim, released=True)
    if answer.outcome is Outcome.UNKNOWN:
        return None
    if len(encode_json(answer)) > MAX_OUTCOME_BYTES:
        return None
    return dataclasses.replace(claim, outcome=answer)


def _tell_failed(entry: _Entry, event: StoreFailed) -> None:
    if not event.sent:
        entry.attempt.take_back()
    if entry.attempt.waiting or entry.attempt.exposed:
        entry.life.lose()
        return
    entry.attempt.closed = True


def _tell_value(entry: _Entry, value: bytes | None, version: int) -> None:
    if value is None:
        _tell_found(entry, None, version)
        return
    match decode_claim(value):
        case Result(tag="ok", ok=claim):
            _tell_found(entry, claim, version)
        case Result():
            entry.life.lose()


def _tell_found(entry: _Entry, claim: Claim | None, version: int) -> None:
    if claim is None:
        entry.life.found_free(version)
        return
    if claim.token == entry.attempt.claim.token:
        if claim.released or claim.outcome is not None:
            entry.life.found_settled()
            return
        entry.life.found_own(version)
        return
    if claim.released:
        entry.life.found_free(version)
        return
    entry.life.found_other(claim, version)
