"""How often a node calls the store.

Answers a fleet whose calls together are priced and limited: each wait for a
change is a call, and so is each batch of changes. The more nodes there are,
the fewer calls each makes, as far as changes are still in force in time.
"""

import dataclasses

from bluebellbay.transport.store import StoreItem

SHORTEST_WAIT_S = 2.5
WAIT_S_A_NODE = 0.15
GATHER_S_A_NODE = 0.1
# Of the time in which a change must be in force, what gathering may take.
GATHER_PART = 0.4
# A batch of so many changes or bytes may be but a part of what has changed.
LONG_BATCH = 50
LONG_BATCH_BYTES = 262_144
# A wait that an outage has silenced ends by its time limit, 1.5 s late; an
# outage takes at least the rest of this off the time that a node has after it.
NOTICE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StorePace:
    """The times between the calls of one node.

    :param apply_s: Seconds in which a change must be in force once the store
        has accepted it.
    :param contact_s: Seconds after an outage in which a node must have
        caught up.
    """

    apply_s: float = 3.0
    contact_s: float = 4.0

    def find_wait(self, nodes: int) -> float:
        """Say how long one call waits for a change.

        A connection that has gone silent is noticed only after this time.

        :param nodes: Nodes that call the store.
        :returns: Seconds.
        """
        longest_s = self.contact_s - NOTICE_S
        wanted_s = SHORTEST_WAIT_S + WAIT_S_A_NODE * nodes
        return max(SHORTEST_WAIT_S, min(longest_s, wanted_s))

    def find_gather(self, nodes: int, batch: tuple[StoreItem, ...]) -> float:
        """Say how long changes are gathered after some before the next call.

        :param nodes: Nodes that call the store.
        :param batch: Changes that the last call brought.
        :returns: Seconds.
        """
        if not batch or len(batch) >= LONG_BATCH:
            return 0.0
        if sum(len(item.value or b"") for item in batch) >= LONG_BATCH_BYTES:
            return 0.0
        return min(GATHER_PART * self.apply_s, GATHER_S_A_NODE * nodes)
