"""Validates a request before it is admitted."""

from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.node import NodeState


def validate_request(
    request: QueryRequest, state: NodeState, now: float
) -> NotRunKind | None:
    """Check a request against the configuration and the settings.

    :param request: The request.
    :param state: The node's shared state.
    :param now: Current Unix time in seconds.
    :returns: The error kind, or ``None`` if the request is valid.
    """
    if request.index not in state.servers.indexes:
        return NotRunKind.UNKNOWN_INDEX
    if state.configuration.document is None:
        return NotRunKind.NO_CONFIGURATION
    if state.configuration.find_profile(request.profile) is None:
        return NotRunKind.UNKNOWN_PROFILE
    if request.expires_at is not None and request.expires_at <= now:
        return NotRunKind.EXPIRED
    if request.repeatable:
        return None
    return _validate_non_repeatable(request, state, now)


def _validate_non_repeatable(
    request: QueryRequest, state: NodeState, now: float
) -> NotRunKind | None:
    if not request.request_id:
        return NotRunKind.MISSING_REQUEST_ID
    if request.expires_at is None:
        return NotRunKind.MISSING_EXPIRY
    if request.expires_at - now > state.settings.limits.expiry_s:
        return NotRunKind.EXPIRY_TOO_FAR
    if state.servers.indexes[request.index].services > 1:
        return None if request.key is not None else NotRunKind.AMBIGUOUS_TARGET
    return None
