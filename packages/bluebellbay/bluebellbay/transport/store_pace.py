"""Rate at which a node calls the store.

The store charges for the calls of all nodes together and limits them. Each
batch of changes is a call. The more nodes there are, the fewer calls each
makes, as far as changes still take effect in time.
"""

import dataclasses

from bluebellbay.protocol.store_allowance import StoreAllowance
from bluebellbay.transport.store import StoreItem

# A batch this large may be incomplete, so the next call is made at once.
LARGE_BATCH_ITEMS = 200
LARGE_BATCH_BYTES = 262_144
# Part of the time after an outage for the calls that follow a check: the rest
# of the watch's way, a backoff, and reading the changes.
CATCH_UP_CALLS_S = 1.0
# A watch that is answered at once needs no check.
MIN_CHECK_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StorePace:
    """Intervals of checks and batch delays of one node.

    :param allowance: How old the knowledge of the store may be.
    """

    allowance: StoreAllowance

    @property
    def check_interval_s(self) -> float:
        """Seconds between two checks of a watch.

        Two checks fit into the time after an outage, as what the first one
        reads may be older than the outage's end.
        """
        return (self.allowance.recovery_limit_s - CATCH_UP_CALLS_S) / 2

    def compute_first_check(self, batch_delay_s: float) -> float:
        """Compute when a watch is checked first.

        The connections may have gone silent as the batch delay before it
        began, so that delay is a part of the interval.

        :param batch_delay_s: Seconds between the last answer and the watch.
        :returns: Seconds since the watch began.
        """
        return max(MIN_CHECK_DELAY_S, self.check_interval_s - batch_delay_s)

    def may_be_partial(self, batch: tuple[StoreItem, ...]) -> bool:
        """Tell whether a batch is so large that the store may have cut it.

        :param batch: Changes that a call returned.
        """
        if len(batch) >= LARGE_BATCH_ITEMS:
            return True
        size = sum(len(item.value or b"") for item in batch)
        return size >= LARGE_BATCH_BYTES

    def compute_batch_delay(
        self, nodes: int, batch: tuple[StoreItem, ...]
    ) -> float:
        """Compute the delay between a batch of changes and the next call.

        Changes made meanwhile arrive together with the next batch.

        :param nodes: Number of nodes that call the store.
        :param batch: Changes that the last call returned.
        :returns: Delay in seconds; 0 after an empty or a large batch.
        """
        if not batch or self.may_be_partial(batch):
            return 0.0
        return self.allowance.compute_pause(nodes)
