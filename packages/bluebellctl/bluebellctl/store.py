"""The platform's store, as an operator's command calls it."""

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.settings import PlatformSettings
from bluebellbay.transport.platform import HttpStoreLink

StoreEvent = KeyRead | KeyWritten | KeyConflict | StoreCallFailed


class OperatorStore:
    """Turns each call to the store into one result.

    :param settings: Where the store is.
    """

    def __init__(self, *, settings: PlatformSettings) -> None:
        self._link = HttpStoreLink(
            reactor=reactor,
            url=settings.store,
            timeout_s=settings.store_timeout_s,
            report=self._report,
        )
        self._waiting: dict[str, Deferred[StoreEvent]] = {}
        self._calls = 0

    def read(self, key: str) -> Deferred[StoreEvent]:
        """Read a key.

        :param key: The key.
        :returns: The event that answers.
        """
        ticket, result = self._open_call()
        self._link.read_key(ReadKey(correlation_id=ticket, key=key))
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
        ticket, result = self._open_call()
        self._link.write_key(
            WriteKey(
                correlation_id=ticket,
                key=key,
                value=value,
                expected_version=expected_version,
            )
        )
        return result

    def _open_call(self) -> tuple[str, Deferred[StoreEvent]]:
        self._calls += 1
        ticket = f"operator:{self._calls}"
        result: Deferred[StoreEvent] = Deferred()
        self._waiting[ticket] = result
        return ticket, result

    def _report(self, event: Event) -> None:
        if not isinstance(event, StoreEvent):
            return
        self._waiting.pop(event.correlation_id).callback(event)
