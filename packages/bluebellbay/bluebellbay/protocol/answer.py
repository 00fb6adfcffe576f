"""Answers to client requests."""

import dataclasses
from typing import Any

from bluebellbay.protocol.error import ERROR_TABLE
from bluebellbay.protocol.error import ErrorKind
from bluebellbay.protocol.error import ExecutionStatus
from bluebellbay.protocol.error import FailedKind
from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.error import UnknownKind
from bluebellbay.protocol.key_range import FULL_KEY_RANGE
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.proof import NotRunProof


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of an answer.

    :param key: Key of the row, from 0 to 2^32 - 1.
    :param value: The row's content, unchanged from the backend server.
    """

    key: int
    value: Any = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Coverage:
    """The part of the key space that an answer covers.

    :param fraction: Covered fraction, 0 to 1; 1 only if complete.
    :param complete: Whether the whole key space is covered.
    :param missing: The ranges that are not covered, in key order.
    """

    fraction: float
    complete: bool
    missing: tuple[KeyRange, ...]


NO_COVERAGE = Coverage(fraction=0.0, complete=False, missing=(FULL_KEY_RANGE,))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBody:
    """The error part of an answer.

    :param kind: Value of an :data:`~bluebellbay.protocol.error.ErrorKind`.
    :param message: Error message for the caller.
    :param ran: Whether any part of the request may have been executed.
    """

    kind: str
    message: str
    ran: ExecutionStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The complete answer to one request.

    :param request_id: As the caller gave it.
    :param outcome: How the request ended.
    :param status: HTTP status code.
    :param profile: Name of the profile used.
    :param snapshot: Number of the snapshot that all rows were read from; none
        if no rows were read.
    :param coverage: The part of the key space that the rows cover.
    :param config_revision: Configuration revision in force at this node.
    :param config_confirmed: Whether the store confirmed that revision
        recently.
    :param rows: The rows, sorted by key.
    :param error: Set unless the outcome is answered or partial.
    """

    request_id: str
    outcome: Outcome
    status: int = 200
    profile: str = ""
    snapshot: int | None = None
    coverage: Coverage = NO_COVERAGE
    config_revision: int = 0
    config_confirmed: bool = False
    rows: tuple[Row, ...] = ()
    error: ErrorBody | None = None


def _build_error_answer(
    kind: ErrorKind,
    request_id: str,
    profile: str,
    config_revision: int,
    config_confirmed: bool,
) -> Answer:
    entry = ERROR_TABLE[kind]
    return Answer(
        request_id=request_id,
        outcome=entry.outcome,
        status=entry.status,
        profile=profile,
        config_revision=config_revision,
        config_confirmed=config_confirmed,
        error=ErrorBody(kind=kind.value, message=entry.message, ran=entry.ran),
    )


def build_not_run(
    kind: NotRunKind,
    proof: NotRunProof,
    *,
    request_id: str,
    profile: str = "",
    config_revision: int = 0,
    config_confirmed: bool = False,
) -> Answer:
    """Build the answer to a request of which no part was executed.

    :param kind: The error kind.
    :param proof: Proof that no part of the request was executed.
    :param request_id: As the caller gave it.
    :param profile: Name of the requested profile.
    :param config_revision: Configuration revision in force at this node.
    :param config_confirmed: Whether the store confirmed that revision
        recently.
    :raises TypeError: If ``proof`` is not a proof.
    """
    if not isinstance(proof, NotRunProof):
        raise TypeError("a not-run answer requires a NotRunProof")
    return _build_error_answer(
        kind, request_id, profile, config_revision, config_confirmed
    )


def build_failure(
    kind: FailedKind | UnknownKind,
    *,
    request_id: str,
    profile: str = "",
    config_revision: int = 0,
    config_confirmed: bool = False,
) -> Answer:
    """Build the error answer to a request that may have been executed.

    :param kind: The error kind.
    :param request_id: As the caller gave it.
    :param profile: Name of the requested profile.
    :param config_revision: Configuration revision in force at this node.
    :param config_confirmed: Whether the store confirmed that revision
        recently.
    :raises TypeError: If ``kind`` is a ``NotRunKind``.
    """
    if isinstance(kind, NotRunKind):
        raise TypeError("a not-run answer must be built by build_not_run")
    return _build_error_answer(
        kind, request_id, profile, config_revision, config_confirmed
    )
