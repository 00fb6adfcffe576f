"""The life cycle of one attempt's claim, as a state machine."""

import dataclasses
from typing import Final
from typing import Protocol

import automat

from bluebellbay.coordination.part import Step
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.claim import encode_claim
from bluebellbay.protocol.claim import name_claim_key
from bluebellbay.protocol.command import Field
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused

TICKET_PREFIX: Final = "claim:"
FIRST_PAUSE_S: Final = 0.02
LONGEST_PAUSE_S: Final = 5.0
PAUSE_GROWTH: Final = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimAttempt:
    """What one attempt knows about its claim.

    :param number: Number of the attempt on this node.
    :param claim: The claim as this attempt wants it to stand.
    :param calls: Commands sent to the store so far.
    :param ticket: Ticket of the command in the air; empty for none.
    :param written: The claim in the latest write.
    :param version: The store's version of the claim once it was granted.
    :param exposed: Whether a write may have taken effect.
    :param exposed_before: The same before the latest command.
    :param pause_s: Length of the next pause in seconds.
    :param paused_s: Length of the pause just begun; none while not paused.
    :param waiting: Whether the query part still waits.
    :param granted: Whether the request may be sent, or was.
    :param closed: Whether nothing is left to do.
    :param steps: Commands and events to hand back, in order.
    """

    number: int
    claim: Claim
    calls: int = 0
    ticket: str = ""
    written: Claim | None = None
    version: int = 0
    exposed: bool = False
    exposed_before: bool = False
    pause_s: float = FIRST_PAUSE_S
    paused_s: float | None = None
    waiting: bool = True
    granted: bool = False
    closed: bool = False
    steps: list[Step] = dataclasses.field(default_factory=list)

    def write(self, claim: Claim, version: int) -> None:
        """Write a claim over the version that stands."""
        self.written = claim
        self.exposed_before = self.exposed
        self.exposed = True
        self.steps.append(
            WriteKey(
                ticket=self._issue_ticket(),
                key=name_claim_key(claim.request_id),
                value=encode_claim(claim),
                expected_version=version,
            )
        )

    def read(self) -> None:
        """Read what stands."""
        self.exposed_before = self.exposed
        key = name_claim_key(self.claim.request_id)
        self.steps.append(ReadKey(ticket=self._issue_ticket(), key=key))

    def take_back(self) -> None:
        """Note that the latest command positively had no effect."""
        self.exposed = self.exposed_before

    def back_off(self) -> None:
        """Pause before the store is asked again, longer each time."""
        self.paused_s = self.pause_s
        self.pause_s = min(LONGEST_PAUSE_S, self.pause_s * PAUSE_GROWTH)

    def log(self, sentence: str, *fields: Field) -> None:
        """Log a decision about this attempt."""
        self.steps.append(
            LogDecision(
                part="claim",
                sentence=sentence,
                request_id=self.claim.request_id,
                fields=fields,
            )
        )

    def _issue_ticket(self) -> str:
        self.calls += 1
        self.ticket = f"{TICKET_PREFIX}{self.number}:{self.calls}"
        return self.ticket


class ClaimLife(Protocol):
    """What can happen to an attempt's claim.

    The four ``found`` inputs tell what stands in the store, whether by a
    write that took effect, a conflict, or a read.
    """

    def start(self) -> None:
        """Begin to claim."""

    def found_free(self, version: int) -> None:
        """No claim stands, or a released one of another attempt."""

    def found_own(self, version: int) -> None:
        """The claim of this attempt stands, without an outcome."""

    def found_settled(self) -> None:
        """The claim of this attempt stands, with outcome or released."""

    def found_other(self, claim: Claim, version: int) -> None:
        """The claim of another attempt stands."""

    def lose(self) -> None:
        """The store could not be asked, or its answer was lost."""

    def resume(self) -> None:
        """The pause is over."""

    def give_up(self) -> None:
        """The time to claim is over."""

    def finish(self, final: Claim) -> None:
        """The request has ended; the claim should stand as given."""


_builder = automat.TypeMachineBuilder(ClaimLife, ClaimAttempt)

_new = _builder.state("new")
_claiming = _builder.state("claiming")
_pausing = _builder.state("pausing")
_granted = _builder.state("granted")
_recording = _builder.state("recording")
_deferring = _builder.state("deferring")
_closed = _builder.state("closed")


@_new.upon(ClaimLife.start).to(_claiming)
def _create(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.write(attempt.claim, 0)


@_claiming.upon(ClaimLife.found_free).to(_claiming)
def _take(life: ClaimLife, attempt: ClaimAttempt, version: int) -> None:
    attempt.write(attempt.claim, version)


@_claiming.upon(ClaimLife.found_own).to(_granted)
def _grant(life: ClaimLife, attempt: ClaimAttempt, version: int) -> None:
    attempt.version = version
    attempt.waiting = False
    attempt.granted = True
    attempt.log("claim granted")
    attempt.steps.append(ClaimGranted(request_id=attempt.claim.request_id))


@_claiming.upon(ClaimLife.found_other).to(_closed)
def _report_holder(
    life: ClaimLife, attempt: ClaimAttempt, claim: Claim, version: int
) -> None:
    attempt.waiting = False
    attempt.closed = True
    known = Field(name="known", value=claim.outcome is not None)
    attempt.log("another attempt holds the claim", known)
    attempt.steps.append(
        ClaimHeld(request_id=claim.request_id, outcome=claim.outcome)
    )


@_claiming.upon(ClaimLife.lose).to(_pausing)
def _pause(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.back_off()


@_pausing.upon(ClaimLife.resume).to(_claiming)
def _read_back(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.read()


@_claiming.upon(ClaimLife.give_up).to(_recording)
def _refuse(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.waiting = False
    attempt.closed = not attempt.exposed
    attempt.log("claim refused, store unavailable")
    attempt.steps.append(ClaimRefused(request_id=attempt.claim.request_id))
    attempt.claim = dataclasses.replace(attempt.claim, released=True)


_pausing.upon(ClaimLife.give_up).to(_deferring)(_refuse)


@_granted.upon(ClaimLife.finish).to(_recording)
def _record(life: ClaimLife, attempt: ClaimAttempt, final: Claim) -> None:
    attempt.claim = final
    attempt.write(final, attempt.version)


@_recording.upon(ClaimLife.found_own).to(_recording)
def _write_final(life: ClaimLife, attempt: ClaimAttempt, version: int) -> None:
    attempt.write(attempt.claim, version)


@_recording.upon(ClaimLife.found_free).to(_recording)
def _fence(life: ClaimLife, attempt: ClaimAttempt, version: int) -> None:
    # A write that is still in the air would otherwise take effect later and
    # hold a claim that nobody uses.
    attempt.write(attempt.claim, version)


@_recording.upon(ClaimLife.lose).to(_deferring)
def _defer(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.back_off()


@_deferring.upon(ClaimLife.resume).to(_recording)
def _look_again(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.read()


@_recording.upon(ClaimLife.found_settled).to(_closed)
def _close(life: ClaimLife, attempt: ClaimAttempt) -> None:
    attempt.closed = True
    attempt.log("claim settled")


@_recording.upon(ClaimLife.found_other).to(_closed)
def _close_lost(
    life: ClaimLife, attempt: ClaimAttempt, claim: Claim, version: int
) -> None:
    attempt.closed = True
    attempt.log("claim passed to another attempt")


ClaimMachine = _builder.build()
