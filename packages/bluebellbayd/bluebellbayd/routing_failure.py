"""Events and answers in place of those that an unexpected error prevented."""

from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.quota import AskLender
from bluebellbay.protocol.quota import LenderFailed
from bluebellbay.protocol.rate_permit import AskForPermit
from bluebellbay.protocol.rate_permit import PermitFailed

REASON = "internal error"


def build_routing_failure_event(
    command: object,
) -> AttemptFailed | PeerProbed | LenderFailed | PermitFailed | None:
    """Build the event that ends what a failed command should have begun.

    :param command: The command, of which any part may have been executed.
    :returns: The event; none if the core waits for nothing.
    """
    if isinstance(command, SendAttempt | DelegateQuery):
        return AttemptFailed(attempt=command.attempt, sent=True, reason=REASON)
    if isinstance(command, ProbePeer):
        return PeerProbed(name=command.peer.name, answered=False)
    if isinstance(command, AskLender):
        return LenderFailed(attempt=command.attempt, reason=REASON)
    if isinstance(command, AskForPermit):
        return PermitFailed(attempt=command.attempt, reason=REASON)
    return None


def build_exchange_failure(event: ExchangeOpened) -> ErrorAnswer:
    """Build the answer to a routed request that could not be handled.

    Part of it may have been sent, so it may have been executed.

    :param event: Arrival of the request.
    """
    return ErrorAnswer(
        exchange=event.exchange, kind=RoutingErrorKind.INTERNAL, ran=True
    )
