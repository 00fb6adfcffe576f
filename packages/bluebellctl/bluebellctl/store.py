"""Client of the platform's key-value store, for one-off commands."""

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
    """Reads and writes keys of the store, one deferred result per call.

    A failed call does not raise: its result is a ``StoreCallFailed`` event.

    :param settings: Platform settings with the store's URL and time-out.
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
        :returns: ``KeyRead``, or ``StoreCallFailed`` if the key could not be
            read.
        """
        ticket, result = self._register_call()
        self._link.read_key(ReadKey(correlation_id=ticket, key=key))
        return result

    def write(
        self, key: str, *, value: bytes, expected_version: int
    ) -> Deferred[StoreEvent]:
        """Write a key if its version is still the expected one.

        :param key: The key.
        :param value: The new value.
        :param expected_version: Version that the key must have in the store
            for the write to take effect.
        :returns: ``KeyWritten``; ``KeyConflict`` if the key has another
            version; or ``StoreCallFailed``, after which the write may have
            taken effect unless the event's ``sent`` is false.
        """
        ticket, result = self._register_call()
        self._link.write_key(
            WriteKey(
                correlation_id=ticket,
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
        self._pending_results.pop(event.correlation_id).callback(event)
