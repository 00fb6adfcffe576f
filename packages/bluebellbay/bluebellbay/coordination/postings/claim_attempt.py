"""The life cycle of one attempt's claim, as a state machine."""

import dataclasses
from typing import Final
from typing import Protocol

import automat

from bluebellbay.coordination.part import Step
from bluebellbay.coordination.timer import Timed
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.command import Field
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused

PART: Final = "claim"


class ClaimInputs(Protocol):
    """What can happen to an attempt's claim.

    The ``observe`` inputs tell what stands in the store.
    """

    def observe_absent(self) -> None:
        """No claim stands, and an earlier write may yet take effect."""

    def observe_absent_final(self) -> None:
        """No claim stands, and no earlier write can take effect."""

    def observe_own(self, claim: Claim) -> None:
        """The claim of this attempt stands, without an outcome."""

    def observe_recorded(self) -> None:
        """The claim of this attempt stands, with its outcome."""

    def observe_earlier_expiry(self, claim: Claim) -> None:
        """Another's claim stands, which expires before this attempt."""

    def observe_other(self, claim: Claim) -> None:
        """Another's claim stands."""

    def time_out(self) -> None:
        """The time to claim is over."""

    def record_outcome(self) -> None:
        """The request has an outcome that is worth recording."""

    def release(self) -> None:
        """The request ran nowhere and will not."""

    def close(self) -> None:
        """The record no longer serves anyone."""


class ClaimAttempt(Timed):
    """One attempt of this node at a request, and what it wants written.

    :param claim: The claim that it wants to hold.
    :param deadline: Time in seconds until which it may be granted.
    :param relevant_until: Time in seconds after which no attempt at the
        request is accepted anywhere.
    :param steps: Where its commands and events are collected.
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
        steps: list[Step],
    ) -> None:
        self.claim = claim
        self.deadline = deadline
        self.relevant_until = relevant_until
        self.steps = steps
        self.outcome: Answer | None = None
        self.pending_change: ClaimChange | None = None
        self.write_due_at = 0.0
        self.last_expected_version: int | None = None
        self.pending = True
        self.granted = False
        self.closed = False
        self.machine = _build_machine(self)

    @property
    def is_over(self) -> bool:
        """Whether its timers no longer matter."""
        return self.closed

    @property
    def is_idle(self) -> bool:
        """Whether it wants nothing of the store at present."""
        return self.closed or self.granted

    def wake(self, now: float) -> None:
        """Do what is due.

        :param now: Present time in seconds.
        """
        if self.pending and now >= self.deadline:
            self.machine.time_out()

    def close_if_expired(self, now: float) -> None:
        """Stop asking for what no longer serves anyone.

        :param now: Present time in seconds.
        """
        if not self.pending and not self.is_idle and now > self.relevant_until:
            self.machine.close()

    def reconcile(self, stored: Claim | None, version: int) -> None:
        """Decide by what stands in the store.

        :param stored: The request's claim there, if any.
        :param version: The store's version that it was seen at.
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

    def log(self, sentence: str, *fields: Field) -> None:
        """Log a decision about this attempt.

        :param sentence: One short sentence.
        :param fields: Values behind the decision.
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
    """A claim is to stand in place of what stood for its request.

    :param claim: The claim.
    """

    claim: Claim

    def apply(self, claims: dict[str, Claim]) -> None:
        """Make the change.

        :param claims: The claims of a bucket by request id.
        """
        claims[self.claim.request_id] = self.claim


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeleteClaim:
    """A claim is to stand no more, now or by a write still in the air.

    :param claim: The claim.
    """

    claim: Claim

    def apply(self, claims: dict[str, Claim]) -> None:
        """Make the change.

        :param claims: The claims of a bucket by request id.
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
    # The holder's claim must outlive every attempt that was told of it.
    expires_at = attempt.claim.expires_at
    extended = dataclasses.replace(claim, expires_at=expires_at)
    attempt.pending_change = PutClaim(claim=extended)


def _grant(machine: ClaimInputs, attempt: ClaimAttempt, claim: Claim) -> None:
    attempt.pending = False
    attempt.granted = True
    attempt.log("Granted the claim.")
    attempt.steps.append(ClaimGranted(request_id=claim.request_id))


def _report_holder(
    machine: ClaimInputs, attempt: ClaimAttempt, claim: Claim
) -> None:
    attempt.pending = False
    attempt.closed = True
    outcome_field = Field(
        name="outcome_known", value=claim.outcome is not None
    )
    attempt.log("Another attempt holds the claim.", outcome_field)
    attempt.steps.append(
        ClaimHeld(request_id=claim.request_id, outcome=claim.outcome)
    )


def _refuse(machine: ClaimInputs, attempt: ClaimAttempt) -> None:
    attempt.pending = False
    attempt.closed = attempt.last_expected_version is None
    attempt.log("Refused, as the store did not take the claim in time.")
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
    # Any write moves the version, and so ends what is still in the air.
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
