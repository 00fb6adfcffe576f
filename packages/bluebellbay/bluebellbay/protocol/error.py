"""All error kinds, and the answer that a caller gets for each of them."""

import dataclasses
import enum
from typing import Final


class ExecutionStatus(enum.StrEnum):
    """Whether a backend server may have executed any part of a request."""

    NO = "no"
    PERHAPS = "perhaps"
    YES = "yes"


class Outcome(enum.StrEnum):
    """How a request ended, as reported to its caller."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class NotRunKind(enum.StrEnum):
    """Errors of requests of which no part was executed."""

    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_INDEX = "unknown-index"
    UNKNOWN_PROFILE = "unknown-profile"
    MISSING_REQUEST_ID = "missing-request-id"
    MISSING_EXPIRY = "missing-expiry"
    EXPIRED = "expired"
    EXPIRY_TOO_FAR = "expiry-too-far"
    REQUEST_ID_IN_USE = "request-id-in-use"
    AMBIGUOUS_TARGET = "ambiguous-target"
    OVERLOADED = "overloaded"
    SHUTTING_DOWN = "shutting-down"
    NO_CONFIGURATION = "no-configuration"
    NO_SERVER = "no-server"
    REFUSED_BY_SERVERS = "refused-by-servers"
    STORE_UNAVAILABLE = "store-unavailable"
    DELAY_PASSED_UNSENT = "delay-passed-unsent"


class FailedKind(enum.StrEnum):
    """Errors of repeatable requests that may have been executed in part."""

    BELOW_FLOOR = "below-floor"
    SNAPSHOT_LOST = "snapshot-lost"


class UnknownKind(enum.StrEnum):
    """Errors of non-repeatable requests that may have been executed."""

    OUTCOME_LOST = "outcome-lost"
    CLAIMED_ELSEWHERE = "claimed-elsewhere"


ErrorKind = NotRunKind | FailedKind | UnknownKind

ERROR_KINDS: Final[tuple[ErrorKind, ...]] = (
    *NotRunKind,
    *FailedKind,
    *UnknownKind,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorTableEntry:
    """The answer to a caller for one error kind.

    :param outcome: Outcome stated in the answer.
    :param ran: Whether any part of the request may have been executed.
    :param status: HTTP status code.
    :param message: Error message for the caller.
    """

    outcome: Outcome
    ran: ExecutionStatus
    status: int
    message: str


def _build_not_run_entry(status: int, message: str) -> ErrorTableEntry:
    return ErrorTableEntry(
        outcome=Outcome.NOT_RUN,
        ran=ExecutionStatus.NO,
        status=status,
        message=message,
    )


def _build_failed_entry(status: int, message: str) -> ErrorTableEntry:
    return ErrorTableEntry(
        outcome=Outcome.FAILED,
        ran=ExecutionStatus.PERHAPS,
        status=status,
        message=message,
    )


def _build_unknown_entry(status: int, message: str) -> ErrorTableEntry:
    return ErrorTableEntry(
        outcome=Outcome.UNKNOWN,
        ran=ExecutionStatus.PERHAPS,
        status=status,
        message=message,
    )


ERROR_TABLE: Final[dict[ErrorKind, ErrorTableEntry]] = {
    NotRunKind.MALFORMED: _build_not_run_entry(
        400, "The request could not be read."
    ),
    NotRunKind.BODY_TOO_LARGE: _build_not_run_entry(
        413, "The body is too large."
    ),
    NotRunKind.UNKNOWN_INDEX: _build_not_run_entry(404, "No such index."),
    NotRunKind.UNKNOWN_PROFILE: _build_not_run_entry(404, "No such profile."),
    NotRunKind.MISSING_REQUEST_ID: _build_not_run_entry(
        400, "A request that is not repeatable needs a request id."
    ),
    NotRunKind.MISSING_EXPIRY: _build_not_run_entry(
        400, "A request that is not repeatable needs an expiry."
    ),
    NotRunKind.EXPIRED: _build_not_run_entry(410, "The request had expired."),
    NotRunKind.EXPIRY_TOO_FAR: _build_not_run_entry(
        400, "The expiry is further ahead than this VM accepts."
    ),
    NotRunKind.REQUEST_ID_IN_USE: _build_not_run_entry(
        409, "Another request with this id is under way here."
    ),
    NotRunKind.AMBIGUOUS_TARGET: _build_not_run_entry(
        400,
        "A request that is not repeatable needs a key, as its index has "
        "several services.",
    ),
    NotRunKind.OVERLOADED: _build_not_run_entry(
        503, "Refused so that requests of a higher rank are served."
    ),
    NotRunKind.SHUTTING_DOWN: _build_not_run_entry(503, "This VM is leaving."),
    NotRunKind.NO_CONFIGURATION: _build_not_run_entry(
        503, "This VM has no configuration yet."
    ),
    NotRunKind.NO_SERVER: _build_not_run_entry(
        503, "No backend server can serve this."
    ),
    NotRunKind.REFUSED_BY_SERVERS: _build_not_run_entry(
        503, "Every backend server asked refused before running."
    ),
    NotRunKind.STORE_UNAVAILABLE: _build_not_run_entry(
        503, "The platform's store could not take the claim."
    ),
    NotRunKind.DELAY_PASSED_UNSENT: _build_not_run_entry(
        504, "The delay passed before anything was sent."
    ),
    FailedKind.BELOW_FLOOR: _build_failed_entry(
        504, "The coverage reached is below the profile's floor."
    ),
    FailedKind.SNAPSHOT_LOST: _build_failed_entry(
        503, "The snapshot was withdrawn and no other could be read in time."
    ),
    UnknownKind.OUTCOME_LOST: _build_unknown_entry(
        502, "The request was sent and its outcome is not known."
    ),
    UnknownKind.CLAIMED_ELSEWHERE: _build_unknown_entry(
        409, "Another attempt holds this request; its outcome is not known."
    ),
}
