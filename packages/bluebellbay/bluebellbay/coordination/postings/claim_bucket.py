"""Writes the claims of one bucket, several in one compare-and-swap."""

import dataclasses
import random
from typing import Final

from expression import Result

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.postings.claim_life import ClaimAttempt
from bluebellbay.coordination.postings.claim_pace import RecordPace
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.claim import ClaimBucket
from bluebellbay.protocol.claim import decode_bucket
from bluebellbay.protocol.claim import encode_bucket
from bluebellbay.protocol.claim import MAX_BUCKET_BYTES
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreCallFailed

TICKET_PREFIX: Final = "claim:"
FIRST_PAUSE_S: Final = 0.01
LONGEST_PAUSE_S: Final = 2.0
PAUSE_GROWTH: Final = 2.0

StoreEvent = KeyRead | KeyWritten | KeyConflict | StoreCallFailed


class BucketWriter(TimerTarget):
    """Keeps one command in the air; what arrives meanwhile goes together.

    :param key: Key of the bucket in the store.
    :param skew_s: Largest difference in seconds between two nodes' clocks.
    :param retention_s: Time in seconds that a claim is kept beyond that.
    :param pace: Told what the store takes and refuses.
    :param rng: Source of randomness.
    :param timers: Where its timers are set.
    :param steps: Where its commands are collected.
    """

    __slots__ = (
        "_attempts",
        "_batch",
        "_calls",
        "_claims",
        "_exposed",
        "_key",
        "_pace",
        "_pause_s",
        "_resume_at",
        "_retention_s",
        "_rng",
        "_seen_at",
        "_skew_s",
        "_steps",
        "_ticket",
        "_timers",
        "_version",
    )

    def __init__(
        self,
        *,
        key: str,
        skew_s: float,
        retention_s: float,
        pace: RecordPace,
        rng: random.Random,
        timers: TimerQueue,
        steps: list[Output],
    ) -> None:
        self._key = key
        self._skew_s = skew_s
        self._retention_s = retention_s
        self._pace = pace
        self._rng = rng
        self._timers = timers
        self._steps = steps
        self._attempts: dict[ClaimAttempt, None] = {}
        self._claims: dict[str, Claim] = {}
        self._batch: dict[str, Claim] = {}
        self._exposed: list[tuple[ClaimAttempt, int | None]] = []
        self._version = 0
        self._seen_at: float | None = None
        self._ticket = ""
        self._calls = 0
        self._pause_s = FIRST_PAUSE_S
        self._resume_at = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether its timers no longer matter."""
        return not self._attempts

    def handle_timeout(self, now: float) -> None:
        """Do what is due.

        :param now: Present time in seconds.
        """
        self.flush(now)

    def add(self, attempt: ClaimAttempt, now: float) -> None:
        """Take an attempt that wants something written.

        :param attempt: The attempt.
        :param now: Present time in seconds.
        """
        if not any(other.waiting for other in self._attempts):
            self._pause_s = FIRST_PAUSE_S
            self._resume_at = now
        self._attempts[attempt] = None
        self.flush(now)

    def hasten(self, now: float) -> None:
        """Write at once what could have waited.

        :param now: Present time in seconds.
        """
        for attempt in self._attempts:
            attempt.due_at = now
        self.flush(now)

    def take(self, event: StoreEvent, now: float) -> None:
        """Take an answer of the store, if it is the one awaited.

        :param event: The answer.
        :param now: Present time in seconds.
        """
        if event.correlation_id != self._ticket:
            return
        self._ticket = ""
        match event:
            case KeyWritten():
                self._pace.note_taken()
                self._note(self._batch, event.version, now)
            case KeyRead() | KeyConflict():
                self._take_value(event, now)
            case StoreCallFailed():
                self._take_failure(event, now)
        self._exposed.clear()
        self.flush(now)

    def flush(self, now: float) -> None:
        """Send the next command, if one is due and none is in the air.

        :param now: Present time in seconds.
        """
        if self._ticket:
            return
        for attempt in self._attempts:
            attempt.expire(now)
        self._forget_idle()
        due_at = self._find_due()
        if due_at is None:
            return
        if due_at > now:
            self._timers.add(due_at, self)
            return
        if self._seen_at != now:
            self._steps.append(
                ReadKey(correlation_id=self._issue(), key=self._key)
            )
            return
        self._write(now)

    def _find_due(self) -> float | None:
        if not self._attempts:
            return None
        due_at = min(attempt.due_at for attempt in self._attempts)
        return max(due_at, self._resume_at)

    def _write(self, now: float) -> None:
        changed = self._review(now)
        if not changed:
            self._forget_idle()
            return
        value = self._encode()
        if len(value) > MAX_BUCKET_BYTES:
            self._strip_outcomes()
            value = self._encode()
        if len(value) > MAX_BUCKET_BYTES:
            self._back_off(now)
            return
        for attempt in changed:
            self._exposed.append((attempt, attempt.exposed_at))
            attempt.exposed_at = self._version
        self._steps.append(
            WriteKey(
                correlation_id=self._issue(),
                key=self._key,
                value=value,
                expected_version=self._version,
            )
        )

    def _encode(self) -> bytes:
        claims = tuple(self._batch.values())
        return encode_bucket(ClaimBucket(claims=claims))

    def _strip_outcomes(self) -> None:
        # Without an outcome a claim still keeps the request from running.
        for attempt in self._attempts:
            if attempt.outcome is not None:
                attempt.life.forget()
        self._batch = {
            request_id: dataclasses.replace(claim, outcome=None)
            for request_id, claim in self._batch.items()
        }

    def _review(self, now: float) -> list[ClaimAttempt]:
        self._batch = self._collect(now)
        changed = []
        for attempt in self._attempts:
            attempt.review(
                self._batch.get(attempt.claim.request_id), self._version
            )
            if attempt.change is not None:
                attempt.change.apply(self._batch)
                changed.append(attempt)
        return changed

    def _collect(self, now: float) -> dict[str, Claim]:
        # By any node's clock, the expiry of what goes has passed.
        oldest = now - self._skew_s
        kept = {}
        for request_id, claim in self._claims.items():
            if claim.expires_at >= oldest:
                kept[request_id] = claim
            elif claim.expires_at >= oldest - self._retention_s:
                kept[request_id] = dataclasses.replace(claim, outcome=None)
        return kept

    def _take_value(self, event: KeyRead | KeyConflict, now: float) -> None:
        if event.value is None:
            self._note({}, event.version, now)
            return
        match decode_bucket(event.value):
            case Result(tag="ok", ok=bucket):
                claims = {claim.request_id: claim for claim in bucket.claims}
                self._note(claims, event.version, now)
            case Result():
                self._seen_at = None
                self._back_off(now)

    def _take_failure(self, event: StoreCallFailed, now: float) -> None:
        if event.sent:
            self._seen_at = None
        else:
            self._pace.note_refused()
            for attempt, exposed_at in self._exposed:
                attempt.exposed_at = exposed_at
        self._back_off(now)

    def _note(
        self, claims: dict[str, Claim], version: int, now: float
    ) -> None:
        self._claims = claims
        self._version = version
        self._seen_at = now
        self._pause_s = FIRST_PAUSE_S
        self._resume_at = now

    def _back_off(self, now: float) -> None:
        share = self._rng.uniform(0.5, 1.0)
        self._resume_at = now + self._pause_s * share
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * PAUSE_GROWTH)

    def _forget_idle(self) -> None:
        for attempt in [item for item in self._attempts if item.is_idle]:
            del self._attempts[attempt]

    def _issue(self) -> str:
        self._calls += 1
        self._ticket = f"{TICKET_PREFIX}{self._key}:{self._calls}"
        return self._ticket
