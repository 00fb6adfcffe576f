"""What is known of backend servers that are leaving."""

from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.protocol.peer import Departure

MAX_DEPARTURES = 16_384


class DepartureTable:
    """The latest evidence of each server's leaving, and operators' marks.

    A departure holds until there is newer evidence: a later start of the
    server, or a later mark by which an operator takes it back.
    """

    def __init__(self) -> None:
        self._by_server: dict[str, Departure] = {}
        self._marks: dict[str, LeavingMark] = {}

    def set_marks(self, document: ConfigurationDocument) -> None:
        """Take the operators' marks of a configuration.

        :param document: The configuration in force.
        """
        self._marks = {mark.vm: mark for mark in document.marks}

    def record(self, departure: Departure) -> bool:
        """Keep evidence, if it is newer than what is known.

        :param departure: The evidence.
        :returns: Whether it was newer.
        """
        latest = self._by_server.get(departure.server)
        if latest is None and len(self._by_server) >= MAX_DEPARTURES:
            return False
        if latest is not None and _get_version(departure) <= _get_version(
            latest
        ):
            return False
        self._by_server[departure.server] = departure
        return True

    def find(self, server: str) -> Departure | None:
        """Look up what is known of a server.

        :param server: Name of the server.
        :returns: The latest evidence that it is leaving, if any.
        """
        return self._by_server.get(server)

    def is_leaving(self, server: str, incarnation: int) -> bool:
        """Say whether a server must get no new work.

        :param server: Name of the server.
        :param incarnation: Its present start.
        :returns: Whether it is leaving.
        """
        mark = self._marks.get(server)
        if mark is not None and mark.leaving:
            return True
        departure = self._by_server.get(server)
        if departure is None or departure.incarnation < incarnation:
            return False
        return mark is None or mark.revision <= departure.revision


def _get_version(departure: Departure) -> tuple[int, int]:
    return departure.incarnation, departure.revision
