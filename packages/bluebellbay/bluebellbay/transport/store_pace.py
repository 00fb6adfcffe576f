"""Rate at which a node calls the store.

The store charges for the calls of all nodes together and limits them. Each
batch of changes is a call. The more nodes there are, the fewer calls each
makes, as far as changes still take effect in time.
"""

import dataclasses

from bluebellbay.protocol.store_allowance import SEND_MARGIN_S
from bluebellbay.protocol.store_allowance import StoreAllowance
from bluebellbay.transport.store import StoreItem

# A batch this large may be incomplete, so the next call is made at once.
LARGE_BATCH_ITEMS = 200
LARGE_BATCH_BYTES = 262_144
# Part of a limit for what follows a check that finds a loss: the rest of the
# watch's way, a backoff, and the next watch.
CATCH_UP_S = 1.0
# Longest time until a check on a silent connection has failed, and the next
# call was answered on another one.
SILENT_CHECK_S = 2.0
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
        """Seconds after which what is known is confirmed by a check.

        A watch may have been lost at once, so what is missed then must take
        effect in the rest of its limit.
        """
        allowance = self.allowance
        limit_s = min(allowance.change_limit_s, allowance.removal_limit_s)
        interval_s = min(
            limit_s - SEND_MARGIN_S - CATCH_UP_S,
            allowance.recovery_limit_s - SILENT_CHECK_S,
        )
        return max(MIN_CHECK_DELAY_S, interval_s)

    def compute_first_check(self, age_s: float) -> float:
        """Compute when a watch is checked first.

        :param age_s: Age in seconds of what is known, when the watch begins.
        :returns: Seconds since the watch began.
        """
        return max(MIN_CHECK_DELAY_S, self.check_interval_s - age_s)

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
