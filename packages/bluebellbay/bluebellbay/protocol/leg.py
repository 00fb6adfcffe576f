"""Messages between an entry VM and a backend server.

A leg is the part of a query that is sent to one backend server.
"""

import dataclasses
import enum
from typing import Any

from bluebellbay.protocol.answer import Row


class RefusalReason(enum.StrEnum):
    """Why a backend server refused a leg before executing it."""

    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    SNAPSHOT_GONE = "snapshot-gone"
    NOT_HELD = "not-held"
    DEADLINE = "deadline"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegRequest:
    """One leg of a query, for one backend server.

    :param attempt: Unique id of this leg; the reply repeats it.
    :param request_id: The caller's request id.
    :param index: Name of the index.
    :param service: Name of the service.
    :param snapshot: Number of the snapshot to read.
    :param start: First key of the requested range.
    :param end: First key after the requested range.
    :param query: The caller's query, unchanged.
    :param repeatable: Whether the request may safely be executed twice.
    :param deadline_ms: Time in ms that the server has for its reply, counted
        from the arrival of the leg.
    :param expires_at: Unix time in seconds after which the server must not
        start the leg; none if it does not expire.
    """

    attempt: str
    request_id: str
    index: str
    service: str
    snapshot: int
    start: int
    end: int
    query: Any = None
    repeatable: bool = True
    deadline_ms: int = 0
    expires_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegReply:
    """A backend server's reply to one leg.

    :param attempt: The leg's attempt id.
    :param snapshot: Number of the snapshot that was read.
    :param start: First key of the range that was read.
    :param end: First key after the range that was read.
    :param rows: The rows found in that range.
    :param load: Fraction of the server's slots in use; may be out of date.
    :param leaving: Whether the server is shutting down and takes no new work.
    """

    attempt: str
    snapshot: int
    start: int
    end: int
    rows: tuple[Row, ...] = ()
    load: float = 0.0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegRefusal:
    """A backend server's statement that it executed no part of a leg.

    :param attempt: The leg's attempt id.
    :param reason: Why the server refused the leg.
    :param load: Fraction of the server's slots in use; may be out of date.
    :param leaving: Whether the server is shutting down and takes no new work.
    """

    attempt: str
    reason: RefusalReason
    load: float = 0.0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Holding:
    """A key range of a snapshot that a server reports to hold.

    :param snapshot: Number of the snapshot; newer ones are higher.
    :param start: First key held.
    :param end: First key after the held range.
    """

    snapshot: int
    start: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerReport:
    """Response of a backend server's health endpoint; may be out of date.

    :param server: Name of the server's VM.
    :param holdings: The key ranges that the server holds, by snapshot.
    :param load: Fraction of the server's slots in use.
    :param leaving: Whether the server is shutting down and takes no new work.
    """

    server: str
    holdings: tuple[Holding, ...] = ()
    load: float = 0.0
    leaving: bool = False
