"""Claims that keep a non-repeatable request from being sent twice."""

from collections.abc import Iterable
from typing import ClassVar
from typing import Final

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.postings.bucket_writer import BucketWriter
from bluebellbay.coordination.postings.bucket_writer import StoreEvent
from bluebellbay.coordination.postings.claim_attempt import ClaimAttempt
from bluebellbay.coordination.postings.record_delay import RecordDelay
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
from bluebellbay.protocol.process import TimerTick
from bluebellbay.state.node import NodeState

TOKEN_BITS: Final = 64
# A larger outcome is not recorded; its claim stays without one.
MAX_OUTCOME_BYTES: Final = 16_384


class ClaimPart(Part):
    """Writes a claim to the store before a non-repeatable request is sent.

    A claim is created by compare-and-swap on the bucket that its request id
    hashes to. If the store's response is lost, the bucket is read again to
    find out whether the write took effect. A claim that was refused is never
    granted later. The outcome is recorded after the caller was answered.

    :param state: The node's shared state.
    """

    buckets: ClassVar[int] = CLAIM_BUCKET_COUNT

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._limits = state.settings.limits
        self._record_delay = RecordDelay(
            max_delay_s=self._limits.claim_record_delay_s
        )
        self._steps: list[Output] = []
        self._timers = TimerQueue()
        self._attempts: dict[str, ClaimAttempt] = {}
        self._writers: dict[str, BucketWriter] = {}

    @property
    def event_types(self) -> tuple[type, ...]:
        """Types of event that the part handles."""
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
        """Return the time at which ``TimerTick`` is due.

        :returns: Unix time in seconds, or ``None`` if no timer is set.
        """
        return self._timers.get_next_time()

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Handle one event.

        Timers that are due run first, so that a response of the store that
        arrives or is processed after a deadline grants no claim.

        :param event: The event.
        :param now: Current Unix time in seconds.
        :returns: Commands and internal events, in order.
        """
        for timer in self._timers.pop_due(now):
            timer.handle_timeout(now)
        match event:
            case ClaimRequested():
                self._start_attempt(event, now)
            case ClaimFinished():
                self._finish_attempt(event, now)
            case AdmissionClosed():
                self._flush_records(now)
            case KeyRead() | KeyWritten() | KeyConflict() | StoreCallFailed():
                self._handle_store_event(event, now)
        return self._drain_steps()

    def _start_attempt(self, event: ClaimRequested, now: float) -> None:
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
            relevant_until=event.expires_at + self._limits.clock_skew_s,
            steps=self._steps,
        )
        self._timers.add(deadline, attempt)
        self._attempts[event.request_id] = attempt
        self._get_writer(event.request_id).add(attempt, now)

    def _finish_attempt(self, event: ClaimFinished, now: float) -> None:
        attempt = self._attempts.pop(event.request_id, None)
        if attempt is None or not attempt.granted:
            return
        answer = event.answer
        if answer.outcome is Outcome.NOT_RUN:
            attempt.machine.release()
        elif _is_recordable(answer):
            attempt.outcome = answer
            attempt.write_due_at = now + self._record_delay.delay_s
            attempt.machine.record_outcome()
        else:
            attempt.machine.close()
            return
        self._get_writer(event.request_id).add(attempt, now)

    def _flush_records(self, now: float) -> None:
        self._record_delay.disable()
        for writer in self._writers.values():
            writer.flush(now)

    def _handle_store_event(self, event: StoreEvent, now: float) -> None:
        writer = self._writers.get(event.key)
        if writer is not None:
            writer.handle_event(event, now)

    def _drain_steps(self) -> tuple[Output, ...]:
        steps = tuple(self._steps)
        self._steps.clear()
        for step in steps:
            if isinstance(step, ClaimHeld | ClaimRefused):
                self._attempts.pop(step.request_id, None)
        return steps

    def _get_writer(self, request_id: str) -> BucketWriter:
        key = build_bucket_key(request_id, self.buckets)
        writer = self._writers.get(key)
        if writer is None:
            writer = self._writers[key] = BucketWriter(
                key=key,
                max_clock_skew_s=self._limits.clock_skew_s,
                retention_s=self._limits.claim_retention_s,
                record_delay=self._record_delay,
                rng=self.state.rng,
                timers=self._timers,
                steps=self._steps,
            )
        return writer


def _is_recordable(answer: Answer) -> bool:
    if answer.outcome is Outcome.UNKNOWN:
        return False
    return len(encode_json(answer)) <= MAX_OUTCOME_BYTES
