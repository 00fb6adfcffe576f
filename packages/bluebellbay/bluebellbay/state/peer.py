"""The other nodes, and what this one learned of each."""

import dataclasses

from bluebellbay.protocol.node import NodeEntry


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class PeerRecord:
    """A node that may run queries in place of this one.

    :param entry: Its entry, as last read.
    :param in_flight: Queries under way there.
    :param avoided_until: Time in seconds until which it gets none.
    :param gone_at: Time in seconds when its lease ended; none while it lasts.
    """

    entry: NodeEntry
    in_flight: int = 0
    avoided_until: float = 0.0
    gone_at: float | None = None
