"""Events and answers in place of those that an unexpected error prevented."""

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.answer import build_failure
from bluebellbay.protocol.command import Command
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.error import UnknownKind
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import QueryArrived

REASON = "internal error"


def build_failure_event(command: Command) -> LegFailed | None:
    """Build the event that ends what a failed command should have begun.

    :param command: The command, of which any part may have been executed.
    :returns: The event; none if the core waits for nothing.
    """
    if not isinstance(command, SendLeg):
        return None
    return LegFailed(
        server=command.server,
        attempt=command.leg.attempt,
        sent=True,
        reason=REASON,
    )


def build_query_failure(event: QueryArrived) -> Answer:
    """Build the answer to a query that could not be handled.

    Part of it may have been sent, so it may have been executed.

    :param event: Arrival of the query.
    """
    return build_failure(
        UnknownKind.OUTCOME_LOST,
        request_id=event.request.request_id,
        profile=event.request.profile,
    )
