"""Pings under way, and whose turn is next."""

import collections
from collections.abc import Iterable
import dataclasses
import random

from bluebellbay.state.fleet import PeerRecord


@dataclasses.dataclass(slots=True, kw_only=True)
class Probe:
    """One ping that has no answer yet.

    :param number: Number of the ping.
    :param name: Name of the node that was pinged.
    :param indirect_at: Time in seconds when others are asked to ping it.
    :param suspect_at: Time in seconds when it is suspected.
    :param requester_name: Node that asked for the ping; empty for this one.
    :param requester_number: Number of that node's request.
    """

    number: int
    name: str
    indirect_at: float
    suspect_at: float
    requester_name: str = ""
    requester_number: int = 0
    is_indirect: bool = False


class ProbeTable:
    """Holds the probes under way; each contact gets its turn.

    :param rng: The source of randomness.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._number = 0
        self._probes: dict[int, Probe] = {}
        self._remaining: collections.deque[str] = collections.deque()

    def next_wake(self) -> float | None:
        """Name the time of the earliest timeout.

        :returns: Time in seconds, or none if nothing is under way.
        """
        return min(
            (
                probe.suspect_at if probe.is_indirect else probe.indirect_at
                for probe in self._probes.values()
            ),
            default=None,
        )

    def pick_next(self, contacts: Iterable[PeerRecord]) -> PeerRecord | None:
        """Pick whose turn it is, in shuffled rounds.

        :param contacts: The contacts.
        :returns: One of them, or none if there are none.
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
        """Note a ping.

        :param name: Name of the node that is pinged.
        :param indirect_at: Time in seconds when others are asked.
        :param suspect_at: Time in seconds when it is suspected.
        :returns: Number of the ping.
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
        """Note that a ping is made on another node's behalf.

        :param probe_number: Number of the ping.
        :param requester_name: Name of the other node.
        :param number: Number of its request.
        """
        probe = self._probes[probe_number]
        probe.requester_name = requester_name
        probe.requester_number = number

    def close(self, number: int, subject: str) -> Probe | None:
        """Take an answered ping out.

        :param number: Number of the ping.
        :param subject: Name of the node that answered.
        :returns: The ping; none if it is not under way.
        """
        probe = self._probes.get(number)
        if probe is None or probe.name != subject:
            return None
        return self._probes.pop(number)

    def start_indirect(self, now: float) -> list[Probe]:
        """Take the pings for which others are to be asked.

        :param now: Present time in seconds.
        :returns: The pings of this node's own.
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
        """Take the pings that nobody answered in time.

        :param now: Present time in seconds.
        :returns: The pings of this node's own.
        """
        due = [
            entry for entry in self._probes.values() if entry.suspect_at <= now
        ]
        for probe in due:
            del self._probes[probe.number]
        return [probe for probe in due if not probe.requester_name]

    def clear(self) -> None:
        """Forget all pings under way."""
        self._probes.clear()
