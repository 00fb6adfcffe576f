"""Requests of callers."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryRequest:
    """One request of a caller to one index.

    :param request_id: Chosen by the caller; empty if it gave none.
    :param index: Name of the index.
    :param profile: Name of the profile.
    :param query: Passed on to the backend servers as it is.
    :param repeatable: Whether running it twice does no harm.
    :param deadline_ms: The caller's own limit from arrival, if shorter than
        the profile's delay.
    :param expires_at: Unix time in seconds after which a request that is
        not repeatable must not start.
    :param key: Key that a request for one service only is about.
    """

    request_id: str = ""
    index: str
    profile: str
    query: Any = None
    repeatable: bool = True
    deadline_ms: int | None = None
    expires_at: float | None = None
    key: int | None = None
