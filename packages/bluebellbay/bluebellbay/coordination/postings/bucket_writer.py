"""Writes the claims of one bucket to the store by compare-and-swap."""

import dataclasses
import random
from typing import Final

from expression import Result

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.postings.claim_attempt import ClaimAttempt
from bluebellbay.coordination.postings.record_delay import RecordDelay
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
INITIAL_RETRY_DELAY_S: Final = 0.01
MAX_RETRY_DELAY_S: Final = 2.0
RETRY_DELAY_FACTOR: Final = 2.0

StoreEvent = KeyRead | KeyWritten | KeyConflict | StoreCallFailed


class BucketWriter(TimerTarget):
    """Writes the changes of one bucket, with one store call in flight.

    Changes that are requested while a call is in flight are written together
    by a later one.

    :param key: Key of the bucket in the store.
    :param max_clock_skew_s: Largest difference in seconds between two nodes'
        clocks.
    :param retention_s: Time in seconds that a claim is kept, without its
        outcome, after it has expired by every node's clock.
    :param record_delay: Delay of outcome records, adjusted to whether the
        store accepts or rejects calls.
    :param rng: Source of randomness for the jitter of retries.
    :param timers: Queue that its timers are added to.
    :param steps: List that its commands are appended to.
    """

    __slots__ = (
        "_attempts",
        "_new_claims",
        "_ticket_count",
        "_stored_claims",
        "_previous_versions",
        "_key",
        "_record_delay",
        "_retry_delay_s",
        "_retry_at",
        "_retention_s",
        "_rng",
        "_refreshed_at",
        "_max_clock_skew_s",
        "_steps",
        "_ticket",
        "_timers",
        "_version",
    )

    def __init__(
        self,
        *,
        key: str,
        max_clock_skew_s: float,
        retention_s: float,
        record_delay: RecordDelay,
        rng: random.Random,
        timers: TimerQueue,
        steps: list[Output],
    ) -> None:
        self._key = key
        self._max_clock_skew_s = max_clock_skew_s
        self._retention_s = retention_s
        self._record_delay = record_delay
        self._rng = rng
        self._timers = timers
        self._steps = steps
        self._attempts: dict[ClaimAttempt, None] = {}
        self._stored_claims: dict[str, Claim] = {}
        self._new_claims: dict[str, Claim] = {}
        # Expected versions to restore if the write in flight is rejected.
        self._previous_versions: list[tuple[ClaimAttempt, int | None]] = []
        self._version = 0
        # When the stored claims were last known to be current.
        self._refreshed_at: float | None = None
        self._ticket = ""
        self._ticket_count = 0
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._retry_at = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether no attempt is left, so that its timers can be skipped."""
        return not self._attempts

    def handle_timeout(self, now: float) -> None:
        """Send the next command, if it is due.

        :param now: Current Unix time in seconds.
        """
        self.send_next(now)

    def add(self, attempt: ClaimAttempt, now: float) -> None:
        """Add an attempt that needs a write.

        If no other attempt awaits a decision, the retry delay is reset.

        :param attempt: The attempt.
        :param now: Current Unix time in seconds.
        """
        if not any(other.pending for other in self._attempts):
            self._retry_delay_s = INITIAL_RETRY_DELAY_S
            self._retry_at = now
        self._attempts[attempt] = None
        self.send_next(now)

    def flush(self, now: float) -> None:
        """Write all pending changes without further delay.

        :param now: Current Unix time in seconds.
        """
        for attempt in self._attempts:
            attempt.write_due_at = now
        self.send_next(now)

    def handle_event(self, event: StoreEvent, now: float) -> None:
        """Handle an event of the store.

        An event whose ticket is not that of the call in flight is ignored.

        :param event: The event.
        :param now: Current Unix time in seconds.
        """
        if event.correlation_id != self._ticket:
            return
        self._ticket = ""
        match event:
            case KeyWritten():
                self._record_delay.decrease()
                self._retry_delay_s = INITIAL_RETRY_DELAY_S
                self._refresh(self._new_claims, event.version, now)
            case KeyConflict():
                self._retry_delay_s = INITIAL_RETRY_DELAY_S
                self._handle_value(event, now)
            case KeyRead():
                # A store that answers reads may still reject writes.
                self._handle_value(event, now)
            case StoreCallFailed():
                self._handle_failure(event, now)
        self._previous_versions.clear()
        self.send_next(now)

    def send_next(self, now: float) -> None:
        """Send the next command, if one is due and none is in flight.

        The bucket is read first, unless its content is known as of ``now``.

        :param now: Current Unix time in seconds.
        """
        if self._ticket:
            return
        for attempt in self._attempts:
            attempt.close_if_expired(now)
        self._remove_idle()
        write_due_at = self._find_next_write_time()
        if write_due_at is None:
            return
        if write_due_at > now:
            self._timers.add(write_due_at, self)
            return
        if self._refreshed_at != now:
            self._steps.append(
                ReadKey(correlation_id=self._issue_ticket(), key=self._key)
            )
            return
        self._write(now)

    def _find_next_write_time(self) -> float | None:
        if not self._attempts:
            return None
        write_due_at = min(attempt.write_due_at for attempt in self._attempts)
        return max(write_due_at, self._retry_at)

    def _write(self, now: float) -> None:
        changed = self._reconcile(now)
        if not changed:
            self._remove_idle()
            return
        value = self._encode_new_claims()
        if len(value) > MAX_BUCKET_BYTES:
            self._strip_outcomes()
            value = self._encode_new_claims()
        if len(value) > MAX_BUCKET_BYTES:
            self._back_off(now)
            return
        for attempt in changed:
            self._previous_versions.append(
                (attempt, attempt.last_expected_version)
            )
            attempt.last_expected_version = self._version
        self._steps.append(
            WriteKey(
                correlation_id=self._issue_ticket(),
                key=self._key,
                value=value,
                expected_version=self._version,
            )
        )

    def _encode_new_claims(self) -> bytes:
        claims = tuple(self._new_claims.values())
        return encode_bucket(ClaimBucket(claims=claims))

    def _strip_outcomes(self) -> None:
        # A claim without its outcome still prevents a second run.
        for attempt in self._attempts:
            if attempt.outcome is not None:
                attempt.machine.close()
        self._new_claims = {
            request_id: dataclasses.replace(claim, outcome=None)
            for request_id, claim in self._new_claims.items()
        }

    def _reconcile(self, now: float) -> list[ClaimAttempt]:
        self._new_claims = self._select_retained(now)
        changed = []
        for attempt in self._attempts:
            attempt.reconcile(
                self._new_claims.get(attempt.claim.request_id), self._version
            )
            if attempt.pending_change is not None:
                attempt.pending_change.apply(self._new_claims)
                changed.append(attempt)
        return changed

    def _select_retained(self, now: float) -> dict[str, Claim]:
        # Claims that are dropped here have expired by every node's clock.
        oldest_expiry = now - self._max_clock_skew_s
        kept = {}
        for request_id, claim in self._stored_claims.items():
            if claim.expires_at >= oldest_expiry:
                kept[request_id] = claim
            elif claim.expires_at >= oldest_expiry - self._retention_s:
                kept[request_id] = dataclasses.replace(claim, outcome=None)
        return kept

    def _handle_value(self, event: KeyRead | KeyConflict, now: float) -> None:
        if event.value is None:
            self._refresh({}, event.version, now)
            return
        match decode_bucket(event.value):
            case Result(tag="ok", ok=bucket):
                claims = {claim.request_id: claim for claim in bucket.claims}
                self._refresh(claims, event.version, now)
            case Result():
                self._refreshed_at = None
                self._back_off(now)

    def _handle_failure(self, event: StoreCallFailed, now: float) -> None:
        if event.sent:
            self._refreshed_at = None
        else:
            self._record_delay.increase()
            for attempt, last_expected_version in self._previous_versions:
                attempt.last_expected_version = last_expected_version
        self._back_off(now)

    def _refresh(
        self, claims: dict[str, Claim], version: int, now: float
    ) -> None:
        self._stored_claims = claims
        self._version = version
        self._refreshed_at = now
        self._retry_at = now

    def _back_off(self, now: float) -> None:
        share = self._rng.uniform(0.5, 1.0)
        self._retry_at = now + self._retry_delay_s * share
        self._retry_delay_s = min(
            MAX_RETRY_DELAY_S, self._retry_delay_s * RETRY_DELAY_FACTOR
        )

    def _remove_idle(self) -> None:
        for attempt in [item for item in self._attempts if item.is_idle]:
            del self._attempts[attempt]

    def _issue_ticket(self) -> str:
        self._ticket_count += 1
        self._ticket = f"{TICKET_PREFIX}{self._key}:{self._ticket_count}"
        return self._ticket
