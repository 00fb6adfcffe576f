"""The platform's store, as an operator's command calls it."""

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreFailed
from bluebellbay.settings import PlatformSettings
from bluebellbay.transport.platform import HttpStoreLink

StoreEvent = KeyRead | KeyWritten | KeyConflict | StoreFailed


class OperatorStore:
    """Turns each call to the store into one result.

    :param settings: Where the store is.
    """

    def __init__(self, *, settings: PlatformSettings) -> None:
        self._link = HttpStoreLink(
            reactor=reactor,
            url=settings.store,
            timeout_s=settings.store_timeout_s,
            report=self._deliver_event,
        )
        self._pending_results: dict[str, Deferred[StoreEvent]] = {}
        self._call_count = 0

    def read(self, key: str) -> Deferred[StoreEvent]:
        """Read a key.

        :param key: The key.
        :returns: The event that answers.
        """
        ticket, result = self._register_call()
        self._link.read_key(ReadKey(ticket=ticket, key=key))
        return result

    def write(
        self, key: str, *, value: bytes, expected_version: int
    ) -> Deferred[StoreEvent]:
        """Compare-and-swap a key.

        :param key: The key.
        :param value: The new value.
        :param expected_version: Version that must stand.
        :returns: The event that answers.
        """
        ticket, result = self._register_call()
        self._link.write_key(
            WriteKey(
                ticket=ticket,
                key=key,
                value=value,
                expected_version=expected_version,
            )
        )
        return result

    def _register_call(self) -> tuple[str, Deferred[StoreEvent]]:
        self._call_count += 1
        ticket = f"operator:{self._call_count}"
        result: Deferred[StoreEvent] = Deferred()
        self._pending_results[ticket] = result
        return ticket, result

    def _deliver_event(self, event: Event) -> None:
        if not isinstance(event, StoreEvent):
            return
        self._pending_results.pop(event.ticket).callback(event)
