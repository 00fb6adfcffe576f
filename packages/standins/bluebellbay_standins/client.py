"""Blocking HTTP calls of tests and the demo."""

import dataclasses
import http.client
import json
from typing import Any

from bluebellbay.protocol.codec import encode_json
from bluebellbay_standins.net import split_address

DEFAULT_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """The answer to one call.

    :param status: HTTP status.
    :param body: The body, parsed if it is JSON.
    """

    status: int
    body: Any


def call(
    address: str,
    method: str,
    path: str,
    message: Any = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Reply:
    """Make one call.

    :param address: ``host:port``.
    :param method: HTTP method.
    :param path: Path of the URL.
    :param message: Sent as JSON; bytes are sent as they are.
    :param timeout_s: Time in seconds after which to give up.
    :returns: The answer.
    :raises OSError: If the connection fails or breaks.
    """
    data = message if isinstance(message, bytes) else None
    if data is None and message is not None:
        data = encode_json(message)
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(
            method, path, data, {"content-type": "application/json"}
        )
        response = connection.getresponse()
        body = response.read()
    except http.client.HTTPException as error:
        raise ConnectionError(str(error)) from error
    finally:
        connection.close()
    return Reply(status=response.status, body=_parse(body))


def _parse(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return body


def change(address: str, path: str, **fields: Any) -> Any:
    """Tell a stand-in what to do.

    :param address: ``host:port`` of its control.
    :param path: Path of the control call.
    :param fields: Fields to change.
    :returns: What it answered.
    :raises RuntimeError: If it refused.
    """
    reply = call(address, "POST", path, fields)
    if reply.status != 200:
        raise RuntimeError(f"{path}: {reply.status} {reply.body}")
    return reply.body
