"""Claims: a request that is not repeatable is sent at most once."""

from collections.abc import Iterable
from typing import ClassVar
from typing import Final

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.postings.claim_bucket import BucketWriter
from bluebellbay.coordination.postings.claim_bucket import StoreEvent
from bluebellbay.coordination.postings.claim_life import ClaimAttempt
from bluebellbay.coordination.postings.claim_pace import RecordPace
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.claim import build_bucket_key
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.claim import CLAIM_BUCKET_COUNT
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import ClaimFinished
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused
from bluebellbay.protocol.event import ClaimRequested
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.protocol.event import TimerTick
from bluebellbay.state.node import NodeState

TOKEN_BITS: Final = 64
MAX_OUTCOME_BYTES: Final = 16_384


class ClaimPart(Part):
    """Claims requests in the store before they are sent.

    A claim is created by compare-and-swap on its bucket. A lost answer of
    the store is settled by reading back, and a claim that was refused is
    never granted later. The outcome is recorded after the answer, not
    before it.

    :param state: The node's shared state.
    """

    buckets: ClassVar[int] = CLAIM_BUCKET_COUNT

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._limits = state.settings.limits
        self._pace = RecordPace(longest_s=self._limits.claim_record_delay_s)
        self._steps: list[Output] = []
        self._timers = TimerQueue()
        self._attempts: dict[str, ClaimAttempt] = {}
        self._buckets: dict[str, BucketWriter] = {}

    @property
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (
            ClaimRequested,
            ClaimFinished,
            AdmissionClosed,
            KeyRead,
            KeyWritten,
            KeyConflict,
            StoreCallFailed,
            TimerTick,
        )

    def get_wakeup_time(self) -> float | None:
        """Name the time at which ``TimerTick`` is due.

        :returns: Time in seconds, or none if no timer is set.
        """
        return self._timers.get_next_time()

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Take one event.

        Time limits come first: an answer of the store that is late, or was
        read late, grants nothing.

        :param event: The event.
        :param now: Present time in seconds, Unix time.
        :returns: Commands and internal events, in order.
        """
        for timed in self._timers.pop_due(now):
            timed.handle_timeout(now)
        match event:
            case ClaimRequested():
                self._request(event, now)
            case ClaimFinished():
                self._finish(event, now)
            case AdmissionClosed():
                self._record_at_once(now)
            case KeyRead() | KeyWritten() | KeyConflict() | StoreCallFailed():
                self._take_store_event(event, now)
        return self._drain()

    def _request(self, event: ClaimRequested, now: float) -> None:
        deadline = min(event.deadline, event.expires_at)
        if now >= deadline:
            self._steps.append(ClaimRefused(request_id=event.request_id))
            return
        token = f"{self.state.rng.getrandbits(TOKEN_BITS):016x}"
        claim = Claim(
            request_id=event.request_id,
            token=token,
            expires_at=event.expires_at,
        )
        attempt = ClaimAttempt(
            claim=claim,
            deadline=deadline,
            useful_until=event.expires_at + self._limits.clock_skew_s,
            steps=self._steps,
        )
        self._timers.add(deadline, attempt)
        self._attempts[event.request_id] = attempt
        self._find_bucket(event.request_id).add(attempt, now)

    def _finish(self, event: ClaimFinished, now: float) -> None:
        attempt = self._attempts.pop(event.request_id, None)
        if attempt is None or not attempt.granted:
            return
        answer = event.answer
        if answer.outcome is Outcome.NOT_RUN:
            attempt.life.release()
        elif _is_worth_recording(answer):
            attempt.outcome = answer
            attempt.due_at = now + self._pace.delay_s
            attempt.life.record()
        else:
            attempt.life.forget()
            return
        self._find_bucket(event.request_id).add(attempt, now)

    def _record_at_once(self, now: float) -> None:
        self._pace.stop_waiting()
        for bucket in self._buckets.values():
            bucket.hasten(now)

    def _take_store_event(self, event: StoreEvent, now: float) -> None:
        bucket = self._buckets.get(event.key)
        if bucket is not None:
            bucket.take(event, now)

    def _drain(self) -> tuple[Output, ...]:
        steps = tuple(self._steps)
        self._steps.clear()
        for step in steps:
            if isinstance(step, ClaimHeld | ClaimRefused):
                self._attempts.pop(step.request_id, None)
        return steps

    def _find_bucket(self, request_id: str) -> BucketWriter:
        key = build_bucket_key(request_id, self.buckets)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = BucketWriter(
                key=key,
                skew_s=self._limits.clock_skew_s,
                retention_s=self._limits.claim_retention_s,
                pace=self._pace,
                rng=self.state.rng,
                timers=self._timers,
                steps=self._steps,
            )
        return bucket


def _is_worth_recording(answer: Answer) -> bool:
    if answer.outcome is Outcome.UNKNOWN:
        return False
    return len(encode_json(answer)) <= MAX_OUTCOME_BYTES
