"""Pings that have no answer yet, and the order in which peers are pinged."""

import collections
from collections.abc import Iterable
import dataclasses
import random

from bluebellbay.state.fleet import PeerRecord


@dataclasses.dataclass(slots=True, kw_only=True)
class Probe:
    """One ping that has no answer yet.

    :param number: Number of the ping, unique on this node.
    :param name: Name of the node that was pinged.
    :param indirect_at: Time in seconds when others are asked to ping it.
    :param suspect_at: Time in seconds when it is suspected.
    :param requester_name: Node that asked for the ping; empty if this node
        pings on its own account.
    :param requester_number: Number of the requester's own ping.
    :param is_indirect: Whether ``indirect_at`` has been handled.
    """

    number: int
    name: str
    indirect_at: float
    suspect_at: float
    requester_name: str = ""
    requester_number: int = 0
    is_indirect: bool = False


class ProbeTable:
    """Holds the pings in progress and chooses the contact to ping next.

    :param rng: Source of randomness for the order of the contacts.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._number = 0
        self._probes: dict[int, Probe] = {}
        self._remaining: collections.deque[str] = collections.deque()

    def next_wake(self) -> float | None:
        """Return the time of the earliest timeout.

        :returns: Time in seconds; ``None`` if no ping is in progress.
        """
        return min(
            (
                probe.suspect_at if probe.is_indirect else probe.indirect_at
                for probe in self._probes.values()
            ),
            default=None,
        )

    def pick_next(self, contacts: Iterable[PeerRecord]) -> PeerRecord | None:
        """Choose the contact to ping next.

        Every contact is pinged once in each round, in random order.

        :param contacts: All contacts of this node at present.
        :returns: One of them; ``None`` if there are none.
        """
        by_name = {peer.name: peer for peer in contacts}
        while self._remaining:
            peer = by_name.get(self._remaining.popleft())
            if peer is not None:
                return peer
        names = list(by_name)
        self._rng.shuffle(names)
        self._remaining.extend(names)
        return by_name[self._remaining.popleft()] if names else None

    def open(self, *, name: str, indirect_at: float, suspect_at: float) -> int:
        """Add a ping that is being sent.

        :param name: Name of the node that is pinged.
        :param indirect_at: Time in seconds when others are asked to ping it.
        :param suspect_at: Time in seconds when it is suspected.
        :returns: Number of the ping; numbers start at 1.
        """
        self._number += 1
        self._probes[self._number] = Probe(
            number=self._number,
            name=name,
            indirect_at=indirect_at,
            suspect_at=suspect_at,
        )
        return self._number

    def set_requester(
        self, probe_number: int, *, requester_name: str, number: int
    ) -> None:
        """Set the node on whose behalf a ping is made.

        :param probe_number: Number of the ping.
        :param requester_name: Name of that node.
        :param number: Number of that node's own ping.
        :raises KeyError: If the ping is not in progress.
        """
        probe = self._probes[probe_number]
        probe.requester_name = requester_name
        probe.requester_number = number

    def close(self, number: int, subject: str) -> Probe | None:
        """Remove an answered ping.

        :param number: Number of the ping.
        :param subject: Name of the node that answered.
        :returns: The ping; ``None`` if no ping of this number to this node
            is in progress.
        """
        probe = self._probes.get(number)
        if probe is None or probe.name != subject:
            return None
        return self._probes.pop(number)

    def start_indirect(self, now: float) -> list[Probe]:
        """Mark the pings whose ``indirect_at`` has passed as indirect.

        :param now: Current Unix time in seconds.
        :returns: Those marked now that were not made for another node.
        """
        due = [
            probe
            for probe in self._probes.values()
            if probe.indirect_at <= now and not probe.is_indirect
        ]
        for probe in due:
            probe.is_indirect = True
        return [probe for probe in due if not probe.requester_name]

    def pop_failed(self, now: float) -> list[Probe]:
        """Remove the pings that were not answered before ``suspect_at``.

        :param now: Current Unix time in seconds.
        :returns: Those removed that were not made for another node.
        """
        due = [
            entry for entry in self._probes.values() if entry.suspect_at <= now
        ]
        for probe in due:
            del self._probes[probe.number]
        return [probe for probe in due if not probe.requester_name]

    def clear(self) -> None:
        """Remove all pings without treating them as failed."""
        self._probes.clear()
