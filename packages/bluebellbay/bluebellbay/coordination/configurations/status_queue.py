"""Updates on peers' status that wait to be passed on."""

import math

from bluebellbay.protocol.peer import MAX_STATUS_UPDATES
from bluebellbay.protocol.peer import StatusUpdate

RETRANSMIT_FACTOR = 1.5


class StatusQueue:
    """Passes each update on a bounded number of times.

    Doubts and what settles them go first, then those sent the fewest times.
    """

    def __init__(self) -> None:
        self._send_counts: dict[str, int] = {}
        self._urgent: set[str] = set()
        self._updates: dict[str, StatusUpdate] = {}

    def put(self, update: StatusUpdate, *, urgent: bool) -> None:
        """Pass an update on, in place of an older one on the same node.

        :param update: The update.
        :param urgent: Whether it is a doubt, a verdict or a refutation.
        """
        self._urgent.discard(update.name)
        if urgent:
            self._urgent.add(update.name)
        self._updates[update.name] = update
        self._send_counts[update.name] = 0

    def take(
        self, *, fleet_size: int, max_updates: int
    ) -> tuple[StatusUpdate, ...]:
        """Take updates for one message.

        :param fleet_size: Nodes in the fleet.
        :param room: Most updates that the message takes.
        :returns: The updates sent the fewest times so far.
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
