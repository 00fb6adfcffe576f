"""Updates on peers' status that wait to be passed on."""

import math

from bluebellbay.protocol.peer import MAX_STATUS_UPDATES
from bluebellbay.protocol.peer import StatusUpdate

RETRANSMIT_FACTOR = 2


class StatusQueue:
    """Passes each update on a bounded number of times, fresh ones first."""

    def __init__(self) -> None:
        self._sends: dict[str, int] = {}
        self._updates: dict[str, StatusUpdate] = {}

    def put(self, update: StatusUpdate) -> None:
        """Pass an update on, in place of an older one on the same node.

        :param update: The update.
        """
        self._updates[update.name] = update
        self._sends[update.name] = 0

    def take(self, *, fleet_size: int, room: int) -> tuple[StatusUpdate, ...]:
        """Take updates for one message.

        :param fleet_size: Nodes in the fleet.
        :param room: Most updates that the message takes.
        :returns: The updates sent the fewest times so far.
        """
        if not self._updates:
            return ()
        names = sorted(self._sends, key=self._sends.__getitem__)
        chosen = names[: min(room, MAX_STATUS_UPDATES)]
        taken = tuple(self._updates[name] for name in chosen)
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(fleet_size + 2))
        for name in chosen:
            self._sends[name] += 1
            if self._sends[name] >= limit:
                del self._sends[name]
                del self._updates[name]
        return taken
