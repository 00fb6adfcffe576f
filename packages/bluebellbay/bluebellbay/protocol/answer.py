"""Answers to callers."""

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

    :param key: The row's place in the key space.
    :param value: The row as the backend server gave it.
    """

    key: int
    value: Any = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Coverage:
    """The part of the key space that the rows come from.

    :param fraction: Between 0 and 1; 1 only for the whole space.
    :param complete: Whether the whole space is covered.
    :param missing: The holes, in order.
    """

    fraction: float
    complete: bool
    missing: tuple[KeyRange, ...]


NO_COVERAGE = Coverage(fraction=0.0, complete=False, missing=(FULL_KEY_RANGE,))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorBody:
    """The error part of an answer.

    :param kind: One of the closed list of error kinds.
    :param message: One sentence for the caller.
    :param ran: Whether work may have run.
    """

    kind: str
    message: str
    ran: ExecutionStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The whole answer to one request.

    :param request_id: As the caller gave it.
    :param outcome: How the request ended.
    :param status: HTTP status to answer with.
    :param profile: Name of the profile used.
    :param snapshot: The one snapshot that every row comes from.
    :param coverage: The part of the key space covered.
    :param config_revision: Configuration revision in force here.
    :param config_confirmed: Whether that revision was lately confirmed.
    :param rows: The rows, by key.
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
    """Build a "not run" answer, which needs the proof that nothing ran.

    :param kind: The error kind.
    :param proof: Evidence from the request's ledger.
    :param request_id: As the caller gave it.
    :param profile: Name of the profile asked for.
    :param config_revision: Configuration revision in force here.
    :param config_confirmed: Whether that revision was lately confirmed.
    :returns: The answer.
    """
    if not isinstance(proof, NotRunProof):
        raise TypeError("a not-run answer needs the proof that nothing ran")
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
    """Build an answer for a request of which some part may have run.

    :param kind: The error kind.
    :param request_id: As the caller gave it.
    :param profile: Name of the profile asked for.
    :param config_revision: Configuration revision in force here.
    :param config_confirmed: Whether that revision was lately confirmed.
    :returns: The answer.
    """
    if isinstance(kind, NotRunKind):
        raise TypeError("a not-run answer needs the proof that nothing ran")
    return _build_error_answer(
        kind, request_id, profile, config_revision, config_confirmed
    )
