"""The life cycle of one attempt's claim, as a state machine."""

import dataclasses
from typing import Final
from typing import Protocol

import automat

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import LogField
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused

PART: Final = "claim"


class ClaimLife(Protocol):
    """What can happen to an attempt's claim.

    The ``find`` inputs tell what stands in the store.
    """

    def find_none(self) -> None:
        """No claim stands, and an earlier write may yet take effect."""

    def find_none_for_good(self) -> None:
        """No claim stands, and no earlier write can take effect."""

    def find_own(self, claim: Claim) -> None:
        """The claim of this attempt stands, without an outcome."""

    def find_recorded(self) -> None:
        """The claim of this attempt stands, with its outcome."""

    def find_shorter(self, claim: Claim) -> None:
        """Another's claim stands, which expires before this attempt."""

    def find_other(self, claim: Claim) -> None:
        """Another's claim stands."""

    def give_up(self) -> None:
        """The time to claim is over."""

    def record(self) -> None:
        """The request has an outcome that is worth recording."""

    def release(self) -> None:
        """The request ran nowhere and will not."""

    def forget(self) -> None:
        """The record no longer serves anyone."""


class ClaimAttempt(TimerTarget):
    """One attempt of this node at a request, and what it wants written.

    :param claim: The claim that it wants to hold.
    :param deadline: Time in seconds until which it may be granted.
    :param useful_until: Time in seconds after which no attempt at the
        request is accepted anywhere.
    :param steps: Where its commands and events are collected.
    """

    __slots__ = (
        "change",
        "claim",
        "closed",
        "deadline",
        "due_at",
        "exposed_at",
        "granted",
        "life",
        "outcome",
        "steps",
        "useful_until",
        "waiting",
    )

    def __init__(
        self,
        *,
        claim: Claim,
        deadline: float,
        useful_until: float,
        steps: list[Output],
    ) -> None:
        self.claim = claim
        self.deadline = deadline
        self.useful_until = useful_until
        self.steps = steps
        self.outcome: Answer | None = None
        self.change: ClaimChange | None = None
        self.due_at = 0.0
        self.exposed_at: int | None = None
        self.waiting = True
        self.granted = False
        self.closed = False
        self.life = _build_life(self)

    @property
    def is_finished(self) -> bool:
        """Whether its timers no longer matter."""
        return self.closed

    @property
    def is_idle(self) -> bool:
        """Whether it wants nothing of the store at present."""
        return self.closed or self.granted

    def handle_timeout(self, now: float) -> None:
        """Do what is due.

        :param now: Present time in seconds.
        """
        if self.waiting and now >= self.deadline:
            self.life.give_up()

    def expire(self, now: float) -> None:
        """Stop asking for what no longer serves anyone.

        :param now: Present time in seconds.
        """
        if not self.waiting and not self.is_idle and now > self.useful_until:
            self.life.forget()

    def review(self, standing: Claim | None, version: int) -> None:
        """Decide by what stands in the store.

        :param standing: The request's claim there, if any.
        :param version: The store's version that it was seen at.
        """
        self.change = None
        if standing is None:
            self._review_none(version)
        elif standing.token != self.claim.token:
            self._review_other(standing)
        elif standing.outcome is None:
            self.life.find_own(standing)
        else:
            self.life.find_recorded()

    def _review_none(self, version: int) -> None:
        if self.exposed_at is not None and version > self.exposed_at:
            self.life.find_none_for_good()
            return
        self.life.find_none()

    def _review_other(self, standing: Claim) -> None:
        if standing.expires_at < self.claim.expires_at:
            self.life.find_shorter(standing)
            return
        self.life.find_other(standing)

    def log(self, sentence: str, *fields: LogField) -> None:
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
class DropClaim:
    """A claim is to stand no more, now or by a write still in the air.

    :param claim: The claim.
    """

    claim: Claim

    def apply(self, claims: dict[str, Claim]) -> None:
        """Make the change.

        :param claims: The claims of a bucket by request id.
        """
        standing = claims.get(self.claim.request_id)
        if standing is not None and standing.token == self.claim.token:
            del claims[self.claim.request_id]


ClaimChange = PutClaim | DropClaim


def _take(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.change = PutClaim(claim=attempt.claim)


def _extend(life: ClaimLife, attempt: ClaimAttempt, claim: Claim) -> None:
    # The holder's claim must outlive every attempt that was told of it.
    expires_at = attempt.claim.expires_at
    longer = dataclasses.replace(claim, expires_at=expires_at)
    attempt.change = PutClaim(claim=longer)


def _grant(life: ClaimLife, attempt: ClaimAttempt, claim: Claim) -> None:
    attempt.waiting = False
    attempt.granted = True
    attempt.log("Granted the claim.")
    attempt.steps.append(ClaimGranted(request_id=claim.request_id))


def _report(life: ClaimLife, attempt: ClaimAttempt, claim: Claim) -> None:
    attempt.waiting = False
    attempt.closed = True
    known = LogField(name="outcome_known", value=claim.outcome is not None)
    attempt.log("Another attempt holds the claim.", known)
    attempt.steps.append(
        ClaimHeld(request_id=claim.request_id, outcome=claim.outcome)
    )


def _refuse(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.waiting = False
    attempt.closed = attempt.exposed_at is None
    attempt.log("Refused, as the store did not take the claim in time.")
    attempt.steps.append(ClaimRefused(request_id=attempt.claim.request_id))


def _end_grant(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.granted = False


def _record(life: ClaimLife, attempt: ClaimAttempt, claim: Claim) -> None:
    recorded = dataclasses.replace(claim, outcome=attempt.outcome)
    attempt.change = PutClaim(claim=recorded)


def _drop(life: ClaimLife, attempt: ClaimAttempt, claim: Claim) -> None:
    attempt.change = DropClaim(claim=attempt.claim)


def _fence(life: ClaimLife, attempt: ClaimAttempt) -> None:
    # Any write moves the version, and so ends what is still in the air.
    attempt.change = DropClaim(claim=attempt.claim)


def _close(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.granted = False
    attempt.closed = True


def _close_lost(life: ClaimLife, attempt: ClaimAttempt, claim: Claim) -> None:
    attempt.closed = True


def _make_builder() -> automat.TypeMachineBuilder[ClaimLife, ClaimAttempt]:
    builder = automat.TypeMachineBuilder(ClaimLife, ClaimAttempt)
    claiming = builder.state("claiming")
    granted = builder.state("granted")
    recording = builder.state("recording")
    releasing = builder.state("releasing")
    closed = builder.state("closed")

    claiming.upon(ClaimLife.find_none).loop()(_take)
    claiming.upon(ClaimLife.find_none_for_good).loop()(_take)
    claiming.upon(ClaimLife.find_own).to(granted)(_grant)
    claiming.upon(ClaimLife.find_shorter).loop()(_extend)
    claiming.upon(ClaimLife.find_other).to(closed)(_report)
    claiming.upon(ClaimLife.give_up).to(releasing)(_refuse)

    granted.upon(ClaimLife.record).to(recording)(_end_grant)
    granted.upon(ClaimLife.release).to(releasing)(_end_grant)
    granted.upon(ClaimLife.forget).to(closed)(_close)

    recording.upon(ClaimLife.find_own).loop()(_record)
    recording.upon(ClaimLife.find_recorded).to(closed)(_close)
    recording.upon(ClaimLife.forget).to(closed)(_close)

    releasing.upon(ClaimLife.find_none).loop()(_fence)
    releasing.upon(ClaimLife.find_own).loop()(_drop)
    releasing.upon(ClaimLife.forget).to(closed)(_close)

    for state in (recording, releasing):
        state.upon(ClaimLife.find_none_for_good).to(closed)(_close)
        state.upon(ClaimLife.find_shorter).to(closed)(_close_lost)
        state.upon(ClaimLife.find_other).to(closed)(_close_lost)
    recording.upon(ClaimLife.find_none).to(closed)(_close)
    return builder


_build_life = _make_builder().build()
