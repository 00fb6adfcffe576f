"""How often a node calls the store.

Answers a fleet whose calls together are priced and limited: each wait for a
change is a call, and so is each batch of changes. The more nodes there are,
the fewer calls each makes, as far as changes are still in force in time.
"""

import dataclasses

from bluebellbay.transport.store import StoreItem

MIN_WATCH_S = 2.5
WATCH_S_PER_NODE = 0.15
BATCH_DELAY_S_PER_NODE = 0.1
# Of the time in which a change must be in force, what gathering may take.
MAX_BATCH_DELAY_RATIO = 0.4
# A batch of so many changes or bytes may be but a part of what has changed.
LARGE_BATCH_ITEMS = 50
LARGE_BATCH_BYTES = 262_144
# A wait that an outage has silenced ends by its time limit, 1.5 s late; an
# outage takes at least the rest of this off the time that a node has after it.
OUTAGE_DETECTION_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StorePace:
    """The times between the calls of one node.

    :param apply_s: Seconds in which a change must be in force once the store
        has accepted it.
    :param contact_s: Seconds after an outage in which a node must have
        caught up.
    """

    apply_limit_s: float = 3.0
    catch_up_limit_s: float = 4.0

    def compute_watch_duration(self, nodes: int) -> float:
        """Say how long one call waits for a change.

        A connection that has gone silent is noticed only after this time.

        :param nodes: Nodes that call the store.
        :returns: Seconds.
        """
        longest_s = self.catch_up_limit_s - OUTAGE_DETECTION_S
        scaled_s = MIN_WATCH_S + WATCH_S_PER_NODE * nodes
        return max(MIN_WATCH_S, min(longest_s, scaled_s))

    def compute_batch_delay(
        self, nodes: int, batch: tuple[StoreItem, ...]
    ) -> float:
        """Say how long changes are gathered after some before the next call.

        :param nodes: Nodes that call the store.
        :param batch: Changes that the last call brought.
        :returns: Seconds.
        """
        if not batch or len(batch) >= LARGE_BATCH_ITEMS:
            return 0.0
        if sum(len(item.value or b"") for item in batch) >= LARGE_BATCH_BYTES:
            return 0.0
        return min(
            MAX_BATCH_DELAY_RATIO * self.apply_limit_s,
            BATCH_DELAY_S_PER_NODE * nodes,
        )
