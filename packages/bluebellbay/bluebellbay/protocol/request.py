"""Callers' requests."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryRequest:
    """A caller's request to one index.

    :param request_id: Id chosen by the caller; empty if it gave none.
    :param index: Name of the index.
    :param profile: Name of the profile.
    :param query: The query, forwarded to the backend servers unchanged.
    :param repeatable: Whether the request may safely be executed twice.
    :param deadline_ms: The caller's limit in ms, counted from arrival; it
        applies if it is shorter than the profile's delay.
    :param expires_at: Unix time in seconds after which a request that is
        not repeatable must not start.
    :param key: Key that selects the service of a request to a single
        service.
    """

    request_id: str = ""
    index: str
    profile: str
    query: Any = None
    repeatable: bool = True
    deadline_ms: int | None = None
    expires_at: float | None = None
    key: int | None = None
