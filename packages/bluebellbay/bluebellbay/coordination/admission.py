"""Checks a request before any work is done for it."""

from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.settings import LimitSettings
from bluebellbay.state.node import NodeState


def check_request(
    request: QueryRequest, state: NodeState, now: float
) -> NotRunKind | None:
    """Find why a request cannot be taken.

    :param request: The request.
    :param state: What the node knows.
    :param now: Present time in seconds.
    :returns: The kind of error, or none if the request is in order.
    """
    index = state.servers.indexes.get(request.index)
    if index is None:
        return NotRunKind.UNKNOWN_INDEX
    if state.configuration.document is None:
        return NotRunKind.NO_CONFIGURATION
    if state.configuration.find_profile(request.profile) is None:
        return NotRunKind.UNKNOWN_PROFILE
    if request.expires_at is not None and request.expires_at <= now:
        return NotRunKind.EXPIRED
    if request.repeatable:
        return None
    if index.services > 1 and request.key is None:
        return NotRunKind.AMBIGUOUS_TARGET
    return _check_once(request, state.settings.limits, now)


def _check_once(
    request: QueryRequest, limits: LimitSettings, now: float
) -> NotRunKind | None:
    if not request.request_id:
        return NotRunKind.MISSING_REQUEST_ID
    if request.expires_at is None:
        return NotRunKind.MISSING_EXPIRY
    if request.expires_at - now > limits.expiry_s:
        return NotRunKind.EXPIRY_TOO_FAR
    return None
