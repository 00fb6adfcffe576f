"""The other nodes, and what this one learned of each."""

import dataclasses

from bluebellbay.protocol.node import NodeEntry


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class PeerRecord:
    """A node that may run queries in place of this one.

    :param entry: Its entry, as last read.
    :param in_flight: Queries under way there.
    :param suspended_since: Time in seconds since which it gets none, as it
        failed; none if it is sound.
    :param failed_at: Time in seconds when it failed last.
    :param backoff_until: Time in seconds until which it gets none, as it
        refused one.
    :param lease_ended_at: Time in seconds when its lease ended; none while
        it lasts.
    """

    entry: NodeEntry
    in_flight: int = 0
    suspended_since: float | None = None
    failed_at: float = 0.0
    backoff_until: float = 0.0
    lease_ended_at: float | None = None

    def is_available(self, now: float) -> bool:
        """Say whether it may be given queries.

        :param now: Present time in seconds.
        """
        return self.suspended_since is None and self.backoff_until <= now
