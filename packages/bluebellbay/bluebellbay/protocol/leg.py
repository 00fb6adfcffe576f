"""Messages between an entry VM and a backend server."""

import dataclasses
import enum
from typing import Any

from bluebellbay.protocol.answer import Row


class RefusalReason(enum.StrEnum):
    """Why a backend server refused a leg before running it."""

    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    SNAPSHOT_GONE = "snapshot-gone"
    NOT_HELD = "not-held"
    DEADLINE = "deadline"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LegRequest:
    """One leg of a query, for one backend server.

    :param attempt: Fresh for each leg; echoed in the reply.
    :param request_id: The caller's request id.
    :param index: Name of the index.
    :param service: Name of the service.
    :param snapshot: The snapshot to read.
    :param start: First key wanted.
    :param end: First key after the wanted range.
    :param query: The caller's query.
    :param repeatable: Whether running it twice does no harm.
    :param deadline_ms: Time left for the server, from arrival there.
    :param expires_at: Unix time in seconds after which it must not start.
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
    """What a backend server read for one leg.

    :param attempt: The leg's attempt id.
    :param snapshot: The snapshot that was read.
    :param start: First key that the rows cover.
    :param end: First key that they no longer cover.
    :param rows: The rows found in that range.
    :param load: Share of the server's slots in use; a hint.
    :param leaving: Whether the server is leaving.
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
    """A backend server's word that it ran nothing of a leg.

    :param attempt: The leg's attempt id.
    :param reason: Why it was refused.
    :param load: Share of the server's slots in use; a hint.
    :param leaving: Whether the server is leaving.
    """

    attempt: str
    reason: RefusalReason
    load: float = 0.0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Holding:
    """A range of a snapshot that a server says it holds.

    :param snapshot: Number of the snapshot; newer ones are higher.
    :param start: First key held.
    :param end: First key after the held range.
    """

    snapshot: int
    start: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerReport:
    """What a backend server's health endpoint says; a hint.

    :param server: Name of the server's VM.
    :param holdings: The ranges that it says it holds.
    :param load: Share of its slots in use.
    :param leaving: Whether it is leaving.
    """

    server: str
    holdings: tuple[Holding, ...] = ()
    load: float = 0.0
    leaving: bool = False
