"""Evidence that backend servers are leaving."""

from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.protocol.peer import Departure

MAX_DEPARTURES = 16_384


class DepartureTable:
    """The latest evidence that each server is leaving, and operators' marks.

    A departure stays in effect until it is superseded by a restart of the
    server, which has a higher incarnation, or by a later mark with which an
    operator puts the server back into service. At most ``MAX_DEPARTURES``
    servers are recorded.
    """

    def __init__(self) -> None:
        self._by_server: dict[str, Departure] = {}
        self._marks: dict[str, LeavingMark] = {}

    def set_marks(self, document: ConfigurationDocument) -> None:
        """Replace the operators' marks by those of a configuration.

        :param document: The configuration in force.
        """
        self._marks = {mark.vm: mark for mark in document.marks}

    def record(self, departure: Departure) -> bool:
        """Record evidence if it is newer than the recorded one.

        :param departure: The evidence.
        :returns: Whether it was recorded; ``False`` also if the table is
            full.
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
        """Return the latest evidence that a server is leaving.

        :param server: Name of the server.
        :returns: The evidence, or ``None`` if there is none. It may be about
            an earlier incarnation.
        """
        return self._by_server.get(server)

    def is_leaving(self, server: str, incarnation: int) -> bool:
        """Tell whether a server is leaving and must get no new work.

        :param server: Name of the server.
        :param incarnation: Current incarnation of the server.
        :returns: Whether an operator's mark or evidence about this or a
            later incarnation says that it is leaving.
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
