"""Clients of the platform's key-value store and VM list, over HTTP."""

from collections.abc import Callable
import dataclasses
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred

from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WatchKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.vm import VmList
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.interface import EventHandler
from bluebellbay.transport.interface import StoreLink
from bluebellbay.transport.interface import VmListLink
from bluebellbay.transport.service_client import ServiceClient

TOO_MANY_REQUESTS = 429
CONFLICT = 409


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _KeyState:
    key: str
    value: str | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _KeyWrite:
    value: str | None
    expected_version: int


class HttpStoreLink(StoreLink):
    """Makes calls to the platform's store; one event reports each result.

    :param reactor: Twisted reactor.
    :param url: Base URL of the store.
    :param timeout_s: Time-out of a call in seconds.
    :param report: Called with each event.
    """

    def __init__(
        self, *, reactor: Any, url: str, timeout_s: float, report: EventHandler
    ) -> None:
        self._client = ServiceClient(
            reactor=reactor, url=url, timeout_s=timeout_s
        )
        self._report = report

    def read_key(self, command: ReadKey) -> None:
        """Read a key.

        :param command: The key, and the ticket that its event repeats.
        """
        self._client.call(
            "GET",
            _build_path(command.key),
            lambda end: self._report_end(command, end, self._report_read),
        )

    def write_key(self, command: WriteKey) -> None:
        """Write a key if its version is the expected one.

        :param command: The key, value, expected version and ticket.
        """
        value = None if command.value is None else command.value.decode()
        write = _KeyWrite(
            value=value, expected_version=command.expected_version
        )
        self._client.call(
            "PUT",
            _build_path(command.key),
            lambda end: self._report_end(command, end, self._report_written),
            body=encode_json(write),
        )

    def watch_key(self, command: WatchKey) -> None:
        """Wait for a key to have a version above the known one.

        :param command: The key, the known version, the time to wait in seconds
            and the ticket.
        """
        path = _build_path(command.key)
        self._client.call(
            "GET",
            f"{path}?after={command.known_version}"
            f"&timeout_s={command.timeout_s:g}",
            lambda end: self._report_end(command, end, self._report_read),
            timeout_s=command.timeout_s + self._client.timeout_s,
        )

    def stop(self) -> Deferred[None]:
        """Fail all calls and close all connections.

        :returns: Fires once they are closed.
        """
        return self._client.stop()

    def _report_end(
        self,
        command: ReadKey | WriteKey | WatchKey,
        end: CallEnd,
        report: Callable[[Any, CallAnswered], None],
    ) -> None:
        if isinstance(end, CallAnswered):
            report(command, end)
        else:
            self._report_failed(command, sent=end.sent)

    def _report_read(
        self, command: ReadKey | WatchKey, response: CallAnswered
    ) -> None:
        state = _read_state(command, response, status=200)
        if state is None:
            self._report_refused(command, response)
            return
        self._report(
            KeyRead(
                correlation_id=command.correlation_id,
                key=command.key,
                value=_encode_value(state),
                version=state.version,
            )
        )

    def _report_written(
        self, command: WriteKey, response: CallAnswered
    ) -> None:
        state = _read_state(command, response, status=200)
        if state is not None:
            self._report(
                KeyWritten(
                    correlation_id=command.correlation_id,
                    key=command.key,
                    version=state.version,
                )
            )
            return
        current = _read_state(command, response, status=CONFLICT)
        if current is None:
            self._report_refused(command, response)
            return
        self._report(
            KeyConflict(
                correlation_id=command.correlation_id,
                key=command.key,
                value=_encode_value(current),
                version=current.version,
            )
        )

    def _report_refused(
        self, command: ReadKey | WriteKey | WatchKey, response: CallAnswered
    ) -> None:
        sent = response.status != TOO_MANY_REQUESTS
        self._report_failed(command, sent=sent)

    def _report_failed(
        self, command: ReadKey | WriteKey | WatchKey, *, sent: bool
    ) -> None:
        self._report(
            StoreCallFailed(
                correlation_id=command.correlation_id,
                key=command.key,
                sent=sent,
            )
        )


class HttpVmListLink(VmListLink):
    """Reads the platform's VM list.

    :param reactor: Twisted reactor.
    :param url: Base URL of the service.
    :param timeout_s: Time-out of a read in seconds.
    :param report: Called with each event.
    """

    def __init__(
        self, *, reactor: Any, url: str, timeout_s: float, report: EventHandler
    ) -> None:
        self._client = ServiceClient(
            reactor=reactor, url=url, timeout_s=timeout_s
        )
        self._report = report

    def read_vm_list(self) -> None:
        """Read the list; an event reports it, a failure reports nothing."""
        self._client.call("GET", "/v1/vms", self._report_list)

    def stop(self) -> Deferred[None]:
        """Fail all calls and close all connections.

        :returns: Fires once they are closed.
        """
        return self._client.stop()

    def _report_list(self, end: CallEnd) -> None:
        if not isinstance(end, CallAnswered) or end.status != 200:
            return
        decoded = decode_json(end.body, VmList)
        if decoded.is_ok():
            self._report(VmListRead(vm_list=decoded.ok))


def _build_path(key: str) -> str:
    return "/v1/keys/" + quote(key, safe="/")


def _read_state(
    command: ReadKey | WriteKey | WatchKey,
    response: CallAnswered,
    *,
    status: int,
) -> _KeyState | None:
    """Decode a response, unless it has another status or key."""
    if response.status != status:
        return None
    decoded = decode_json(response.body, _KeyState)
    if decoded.is_error() or decoded.ok.key != command.key:
        return None
    return decoded.ok


def _encode_value(state: _KeyState) -> bytes | None:
    return None if state.value is None else state.value.encode()
