"""Rate at which a node calls the store.

The store charges for the calls of all nodes together and limits them. Each
watch is a call, and so is each batch of changes. The more nodes there are, the
fewer calls each makes, as far as changes still take effect in time.
"""

import dataclasses

from bluebellbay.transport.store import StoreItem

MIN_WATCH_S = 2.5
WATCH_S_PER_NODE = 0.15
BATCH_DELAY_S_PER_NODE = 0.1
# Longest batch delay, as a share of the time in which changes take effect.
MAX_BATCH_DELAY_RATIO = 0.4
# A batch this large may be incomplete, so the next call is made at once.
LARGE_BATCH_ITEMS = 50
LARGE_BATCH_BYTES = 262_144
# A watch that an outage has cut off ends by the call time-out, 1.5 s after its
# duration. The outage itself covers at least 0.5 s of it, which leaves this
# part of the time after the outage.
OUTAGE_DETECTION_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StorePace:
    """Watch durations and batch delays of one node.

    :param apply_limit_s: Time in seconds within which a change must take
        effect once the store has accepted it.
    :param catch_up_limit_s: Time in seconds after an outage within which a
        node must have caught up.
    """

    apply_limit_s: float = 3.0
    catch_up_limit_s: float = 4.0

    def compute_watch_duration(self, nodes: int) -> float:
        """Compute how long one watch waits for a change.

        A dead connection is detected only after this time.

        :param nodes: Number of nodes that call the store.
        :returns: Duration in seconds.
        """
        longest_s = self.catch_up_limit_s - OUTAGE_DETECTION_S
        scaled_s = MIN_WATCH_S + WATCH_S_PER_NODE * nodes
        return max(MIN_WATCH_S, min(longest_s, scaled_s))

    def compute_batch_delay(
        self, nodes: int, batch: tuple[StoreItem, ...]
    ) -> float:
        """Compute the delay between a batch of changes and the next call.

        Changes made meanwhile arrive together with the next batch.

        :param nodes: Number of nodes that call the store.
        :param batch: Changes that the last call returned.
        :returns: Delay in seconds; 0 after an empty or a large batch.
        """
        if not batch or len(batch) >= LARGE_BATCH_ITEMS:
            return 0.0
        if sum(len(item.value or b"") for item in batch) >= LARGE_BATCH_BYTES:
            return 0.0
        return min(
            MAX_BATCH_DELAY_RATIO * self.apply_limit_s,
            BATCH_DELAY_S_PER_NODE * nodes,
        )
