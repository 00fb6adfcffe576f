"""Other nodes that queries can be delegated to."""

import dataclasses

from bluebellbay.protocol.node import NodeEntry


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class PeerRecord:
    """A node that can run queries on behalf of this one.

    :param entry: The node's registry entry, as last read.
    :param in_flight: Delegated queries in flight at the node.
    :param suspended_since: Time in seconds when delegation to the node was
        suspended after a failure; ``None`` if it is not suspended.
    :param failed_at: Time in seconds of the last failure.
    :param answered_at: Time in seconds of the last answer to a query or a
        probe.
    :param backoff_until: Time in seconds until which no queries are
        delegated to the node, because it refused one.
    :param lease_ended_at: Time in seconds when the node's lease ended;
        ``None`` while the lease is valid.
    """

    entry: NodeEntry
    in_flight: int = 0
    suspended_since: float | None = None
    failed_at: float = 0.0
    answered_at: float = 0.0
    backoff_until: float = 0.0
    lease_ended_at: float | None = None

    @property
    def is_registered(self) -> bool:
        """Whether the node holds a lease, under an address to reach it by."""
        return bool(self.entry.address) and self.lease_ended_at is None

    def is_available(self, now: float) -> bool:
        """Tell whether queries may be delegated to the node.

        :param now: Current time in seconds.
        """
        return self.suspended_since is None and self.backoff_until <= now
