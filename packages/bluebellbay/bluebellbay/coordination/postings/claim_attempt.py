"""State machine of one attempt to claim a request."""

import dataclasses
from typing import Final
from typing import Protocol

import automat

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import LogField

PART: Final = "claim"


class ClaimInputs(Protocol):
    """Inputs of the state machine of a claim attempt.

    The ``observe`` inputs report the request's claim as read from the store.
    """

    def observe_absent(self) -> None:
        """No claim is stored, but an earlier write may still take effect."""

    def observe_absent_final(self) -> None:
        """No claim is stored, and no earlier write can take effect."""

    def observe_own(self, claim: Claim) -> None:
        """This attempt's claim is stored without an outcome."""

    def observe_recorded(self) -> None:
        """This attempt's claim is stored with its outcome."""

    def observe_earlier_expiry(self, claim: Claim) -> None:
        """Another attempt's claim is stored and expires before this one."""

    def observe_other(self, claim: Claim) -> None:
        """Another attempt's claim is stored and expires no earlier."""

    def time_out(self) -> None:
        """The deadline for granting the claim has passed."""

    def record_outcome(self) -> None:
        """The request has an outcome that is to be recorded."""

    def release(self) -> None:
        """The request has not been run and will not be."""

    def close(self) -> None:
        """No further write is needed."""


class ClaimAttempt(TimerTarget):
    """One attempt of this node to claim a request.

    :param claim: The claim to be written.
    :param deadline: Unix time in seconds until which it may be granted.
    :param relevant_until: Unix time in seconds after which no node accepts
        an attempt at the request.
    :param steps: List that its commands and events are appended to.
    """

    __slots__ = (
        "pending_change",
        "claim",
        "closed",
        "deadline",
        "write_due_at",
        "last_expected_version",
        "granted",
        "machine",
        "outcome",
        "steps",
        "relevant_until",
        "pending",
    )

    def __init__(
        self,
        *,
        claim: Claim,
        deadline: float,
        relevant_until: float,
        steps: list[Output],
    ) -> None:
        self.claim = claim
        self.deadline = deadline
        self.relevant_until = relevant_until
        self.steps = steps
        self.outcome: Answer | None = None
        self.pending_change: ClaimChange | None = None
        # Unix time in seconds; 0 is at once.
        self.write_due_at = 0.0
        # Once the bucket is past this version, the last write of this attempt
        # can no longer take effect.
        self.last_expected_version: int | None = None
        self.pending = True
        self.granted = False
        self.closed = False
        self.machine = _build_machine(self)

    @property
    def is_finished(self) -> bool:
        """Whether the attempt is closed, so that its timers can be skipped."""
        return self.closed

    @property
    def is_idle(self) -> bool:
        """Whether no write is needed at present."""
        return self.closed or self.granted

    def handle_timeout(self, now: float) -> None:
        """Refuse the claim, if it is still undecided at its deadline.

        :param now: Current Unix time in seconds.
        """
        if self.pending and now >= self.deadline:
            self.machine.time_out()

    def close_if_expired(self, now: float) -> None:
        """Close the attempt if no node accepts the request any more.

        An attempt that awaits its decision or holds a grant stays open.

        :param now: Current Unix time in seconds.
        """
        if not self.pending and not self.is_idle and now > self.relevant_until:
            self.machine.close()

    def reconcile(self, stored: Claim | None, version: int) -> None:
        """Choose the pending change by the claim that the store holds.

        :param stored: The request's claim in the store, if any.
        :param version: Version of the bucket that it was read from.
        """
        self.pending_change = None
        if stored is None:
            self._reconcile_absent(version)
        elif stored.token != self.claim.token:
            self._reconcile_other(stored)
        elif stored.outcome is None:
            self.machine.observe_own(stored)
        else:
            self.machine.observe_recorded()

    def _reconcile_absent(self, version: int) -> None:
        if (
            self.last_expected_version is not None
            and version > self.last_expected_version
        ):
            self.machine.observe_absent_final()
            return
        self.machine.observe_absent()

    def _reconcile_other(self, stored: Claim) -> None:
        if stored.expires_at < self.claim.expires_at:
            self.machine.observe_earlier_expiry(stored)
            return
        self.machine.observe_other(stored)

    def log(self, sentence: str, *fields: LogField) -> None:
        """Log a decision about this attempt.

        :param sentence: What was decided and why.
        :param fields: Values that the decision is based on.
        """
        self.steps.append(
            LogDecision(
                part=PART,
                sentence=sentence,
                request_id=self.claim.request_id,
                fields=fields,
            )
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PutClaim:
    """Change that writes a claim, replacing any other of its request.

    :param claim: The claim to be written.
    """

    claim: Claim

    def apply(self, claims: dict[str, Claim]) -> None:
        """Apply the change to the claims of a bucket.

        :param claims: Claims by request id, changed in place.
        """
        claims[self.claim.request_id] = self.claim


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeleteClaim:
    """Change that removes a claim, if the bucket holds it.

    Writing the bucket also makes an earlier write of the claim that is still
    in flight fail its compare-and-swap.

    :param claim: The claim to be removed.
    """

    claim: Claim

    def apply(self, claims: dict[str, Claim]) -> None:
        """Apply the change to the claims of a bucket.

        :param claims: Claims by request id, changed in place.
        """
        stored = claims.get(self.claim.request_id)
        if stored is not None and stored.token == self.claim.token:
            del claims[self.claim.request_id]


ClaimChange = PutClaim | DeleteClaim


def _put_claim(machine: ClaimInputs, attempt: ClaimAttempt) -> None:
    attempt.pending_change = PutClaim(claim=attempt.claim)


def _extend_expiry(
    machine: ClaimInputs, attempt: ClaimAttempt, claim: Claim
) -> None:
    # The claim must not expire before any attempt that was told of it.
    expires_at = attempt.claim.expires_at
    extended = dataclasses.replace(claim, expires_at=expires_at)
    attempt.pending_change = PutClaim(claim=extended)


def _grant(machine: ClaimInputs, attempt: ClaimAttempt, claim: Claim) -> None:
    attempt.pending = False
    attempt.granted = True
    attempt.log("Granted the claim, as the store holds it for this attempt.")
    attempt.steps.append(ClaimGranted(request_id=claim.request_id))


def _report_holder(
    machine: ClaimInputs, attempt: ClaimAttempt, claim: Claim
) -> None:
    attempt.pending = False
    attempt.closed = True
    outcome_field = LogField(
        name="outcome_known", value=claim.outcome is not None
    )
    attempt.log(
        "Denied the claim, as another attempt holds it.", outcome_field
    )
    attempt.steps.append(
        ClaimHeld(request_id=claim.request_id, outcome=claim.outcome)
    )


def _refuse(machine: ClaimInputs, attempt: ClaimAttempt) -> None:
    attempt.pending = False
    attempt.closed = attempt.last_expected_version is None
    attempt.log(
        "Refused the claim, as the store did not confirm it by the deadline."
    )
    attempt.steps.append(ClaimRefused(request_id=attempt.claim.request_id))


def _end_grant(machine: ClaimInputs, attempt: ClaimAttempt) -> None:
    attempt.granted = False


def _put_outcome(
    machine: ClaimInputs, attempt: ClaimAttempt, claim: Claim
) -> None:
    recorded = dataclasses.replace(claim, outcome=attempt.outcome)
    attempt.pending_change = PutClaim(claim=recorded)


def _delete_claim(
    machine: ClaimInputs, attempt: ClaimAttempt, claim: Claim
) -> None:
    attempt.pending_change = DeleteClaim(claim=attempt.claim)


def _fence(machine: ClaimInputs, attempt: ClaimAttempt) -> None:
    # Any write advances the version, so that an earlier write still in
    # flight fails its compare-and-swap.
    attempt.pending_change = DeleteClaim(claim=attempt.claim)


def _close(machine: ClaimInputs, attempt: ClaimAttempt) -> None:
    attempt.granted = False
    attempt.closed = True


def _close_superseded(
    machine: ClaimInputs, attempt: ClaimAttempt, claim: Claim
) -> None:
    attempt.closed = True


def _make_builder() -> automat.TypeMachineBuilder[ClaimInputs, ClaimAttempt]:
    builder = automat.TypeMachineBuilder(ClaimInputs, ClaimAttempt)
    claiming = builder.state("claiming")
    granted = builder.state("granted")
    recording = builder.state("recording")
    releasing = builder.state("releasing")
    closed = builder.state("closed")

    claiming.upon(ClaimInputs.observe_absent).loop()(_put_claim)
    claiming.upon(ClaimInputs.observe_absent_final).loop()(_put_claim)
    claiming.upon(ClaimInputs.observe_own).to(granted)(_grant)
    claiming.upon(ClaimInputs.observe_earlier_expiry).loop()(_extend_expiry)
    claiming.upon(ClaimInputs.observe_other).to(closed)(_report_holder)
    claiming.upon(ClaimInputs.time_out).to(releasing)(_refuse)

    granted.upon(ClaimInputs.record_outcome).to(recording)(_end_grant)
    granted.upon(ClaimInputs.release).to(releasing)(_end_grant)
    granted.upon(ClaimInputs.close).to(closed)(_close)

    recording.upon(ClaimInputs.observe_own).loop()(_put_outcome)
    recording.upon(ClaimInputs.observe_recorded).to(closed)(_close)
    recording.upon(ClaimInputs.close).to(closed)(_close)

    releasing.upon(ClaimInputs.observe_absent).loop()(_fence)
    releasing.upon(ClaimInputs.observe_own).loop()(_delete_claim)
    releasing.upon(ClaimInputs.close).to(closed)(_close)

    for state in (recording, releasing):
        state.upon(ClaimInputs.observe_absent_final).to(closed)(_close)
        state.upon(ClaimInputs.observe_earlier_expiry).to(closed)(
            _close_superseded
        )
        state.upon(ClaimInputs.observe_other).to(closed)(_close_superseded)
    recording.upon(ClaimInputs.observe_absent).to(closed)(_close)
    return builder


_build_machine = _make_builder().build()
