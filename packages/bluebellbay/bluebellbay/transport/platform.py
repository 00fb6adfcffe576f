"""Clients of the platform's key-value store and VM list, over HTTP."""

from collections.abc import Callable
import dataclasses
from typing import Any
from urllib.parse import quote

import treq
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectingCancelledError
from twisted.python.failure import Failure
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers

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
from bluebellbay.transport.interface import EventHandler
from bluebellbay.transport.interface import StoreLink
from bluebellbay.transport.interface import VmListLink

MAX_IDLE_CONNECTIONS = 4
TOO_MANY_REQUESTS = 429
CONFLICT = 409

_HEADERS = Headers({"Content-Type": ["application/json"]})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _KeyState:
    key: str
    value: str | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _KeyWrite:
    value: str | None
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Response:
    status: int
    body: bytes


class _HttpClient:
    """HTTP client of one of the platform's services.

    :param reactor: Twisted reactor.
    :param url: Base URL of the service.
    :param timeout_s: Time-out of a call in seconds.
    """

    def __init__(self, *, reactor: Any, url: str, timeout_s: float) -> None:
        self.timeout_s = timeout_s
        self._reactor = reactor
        self._url = url
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=timeout_s, pool=self._pool)
        self._client = HTTPClient(agent)

    def call(
        self,
        method: str,
        path: str,
        *,
        data: bytes | None = None,
        timeout_s: float | None = None,
    ) -> Deferred[_Response]:
        """Make a call, without retries or redirects.

        :param method: HTTP method.
        :param path: Path and query of the URL.
        :param data: Request body.
        :param timeout_s: Time-out in seconds in place of the client's.
        :returns: Fires with the whole response, or fails.
        """
        pending = self._client.request(
            method,
            self._url + path,
            data=data,
            headers=_HEADERS,
            allow_redirects=False,
            reactor=self._reactor,
        )
        answered = pending.addCallback(self._read_response)
        answered.addTimeout(timeout_s or self.timeout_s, self._reactor)
        return answered

    def stop(self) -> Deferred[None]:
        """Close idle connections.

        :returns: Fires once they are closed.
        """
        return self._pool.closeCachedConnections()

    def _read_response(self, response: Any) -> Deferred[_Response]:
        pending_body = treq.content(response)
        return pending_body.addCallback(
            lambda body: _Response(status=response.code, body=body)
        )


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
        self._client = _HttpClient(
            reactor=reactor, url=url, timeout_s=timeout_s
        )
        self._report = report

    def read_key(self, command: ReadKey) -> None:
        """Read a key.

        :param command: The key, and the ticket that its event repeats.
        """
        pending = self._client.call("GET", _build_path(command.key))
        self._report_outcome(command, pending, self._report_read)

    def write_key(self, command: WriteKey) -> None:
        """Write a key if its version is the expected one.

        :param command: The key, value, expected version and ticket.
        """
        value = None if command.value is None else command.value.decode()
        write = _KeyWrite(
            value=value, expected_version=command.expected_version
        )
        pending = self._client.call(
            "PUT", _build_path(command.key), data=encode_json(write)
        )
        self._report_outcome(command, pending, self._report_written)

    def watch_key(self, command: WatchKey) -> None:
        """Wait for a key to have a version above the known one.

        :param command: The key, the known version, the time to wait in seconds
            and the ticket.
        """
        path = _build_path(command.key)
        pending = self._client.call(
            "GET",
            f"{path}?after={command.known_version}"
            f"&timeout_s={command.timeout_s:g}",
            timeout_s=command.timeout_s + self._client.timeout_s,
        )
        self._report_outcome(command, pending, self._report_read)

    def stop(self) -> Deferred[None]:
        """Close idle connections.

        :returns: Fires once they are closed.
        """
        return self._client.stop()

    def _report_outcome(
        self,
        command: ReadKey | WriteKey | WatchKey,
        pending: Deferred[_Response],
        report: Callable[[Any, _Response], None],
    ) -> None:
        def fail(failure: Failure) -> None:
            self._report_failed(command, sent=not _is_unsent(failure))

        pending.addCallbacks(lambda response: report(command, response), fail)
        pending.addErrback(fail)

    def _report_read(
        self, command: ReadKey | WatchKey, response: _Response
    ) -> None:
        state = _read_state(response, status=200)
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

    def _report_written(self, command: WriteKey, response: _Response) -> None:
        state = _read_state(response, status=200)
        if state is not None:
            self._report(
                KeyWritten(
                    correlation_id=command.correlation_id,
                    key=command.key,
                    version=state.version,
                )
            )
            return
        current = _read_state(response, status=CONFLICT)
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
        self, command: ReadKey | WriteKey | WatchKey, response: _Response
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
        self._client = _HttpClient(
            reactor=reactor, url=url, timeout_s=timeout_s
        )
        self._report = report

    def read_vm_list(self) -> None:
        """Read the list; an event reports it, a failure reports nothing."""
        pending = self._client.call("GET", "/v1/vms")
        pending.addCallbacks(self._report_list, lambda failure: None)

    def stop(self) -> Deferred[None]:
        """Close idle connections.

        :returns: Fires once they are closed.
        """
        return self._client.stop()

    def _report_list(self, response: _Response) -> None:
        if response.status != 200:
            return
        decoded = decode_json(response.body, VmList)
        if decoded.is_ok():
            self._report(VmListRead(vm_list=decoded.ok))


def _build_path(key: str) -> str:
    return "/v1/keys/" + quote(key, safe="/")


def _is_unsent(failure: Failure) -> bool:
    """Check whether a call failed before its connection was open."""
    return bool(failure.check(ConnectError, ConnectingCancelledError))


def _read_state(response: _Response, *, status: int) -> _KeyState | None:
    if response.status != status:
        return None
    decoded = decode_json(response.body, _KeyState)
    return decoded.ok if decoded.is_ok() else None


def _encode_value(state: _KeyState) -> bytes | None:
    return None if state.value is None else state.value.encode()
