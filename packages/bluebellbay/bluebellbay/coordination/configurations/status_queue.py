"""Queue of status updates to piggyback on messages to peers."""

import math

from bluebellbay.protocol.peer import MAX_STATUS_UPDATES
from bluebellbay.protocol.peer import StatusUpdate

# An update is sent RETRANSMIT_FACTOR * ln(fleet size + 2) times, as
# gossip reaches all nodes after a number of rounds that grows with the
# logarithm of the fleet size.
RETRANSMIT_FACTOR = 1.5


class StatusQueue:
    """Holds the latest update on each node until it was sent often enough.

    Urgent updates are sent first; within each class, those sent the fewest
    times so far.
    """

    def __init__(self) -> None:
        self._send_counts: dict[str, int] = {}
        self._urgent: set[str] = set()
        self._updates: dict[str, StatusUpdate] = {}

    def put(self, update: StatusUpdate, *, urgent: bool) -> None:
        """Queue an update and drop an older one on the same node.

        :param update: The update.
        :param urgent: Whether it reports a node as suspect, dead or left, or
            refutes such a report.
        """
        self._urgent.discard(update.name)
        if urgent:
            self._urgent.add(update.name)
        self._updates[update.name] = update
        self._send_counts[update.name] = 0

    def take(
        self, *, fleet_size: int, max_updates: int
    ) -> tuple[StatusUpdate, ...]:
        """Choose the updates of one message and count them as sent.

        An update that was sent often enough leaves the queue.

        :param fleet_size: Number of nodes in the fleet, this one included.
        :param max_updates: Most updates that fit in the message.
        :returns: The updates, urgent ones first, at most
            ``MAX_STATUS_UPDATES``.
        """
        if not self._updates:
            return ()
        names = sorted(self._send_counts, key=self._priority_key)
        chosen = names[: min(max_updates, MAX_STATUS_UPDATES)]
        taken = tuple(self._updates[name] for name in chosen)
        max_sends = math.ceil(RETRANSMIT_FACTOR * math.log(fleet_size + 2))
        for name in chosen:
            self._send_counts[name] += 1
            if self._send_counts[name] >= max_sends:
                del self._send_counts[name]
                del self._updates[name]
        return taken

    def _priority_key(self, name: str) -> tuple[bool, int]:
        return name not in self._urgent, self._send_counts[name]
