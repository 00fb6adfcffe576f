"""HTTP helpers that the stand-ins share."""

import dataclasses
from typing import Any
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.web.server import Request

from bluebellbay.protocol.codec import DecodeError
from bluebellbay.protocol.codec import encode_json

BehaviourT = TypeVar("BehaviourT")


def write_json(request: Request, message: Any, status: int = 200) -> bytes:
    """Set status and type of an answer and encode its body.

    :param request: The exchange.
    :param message: A data class instance or a mapping.
    :param status: HTTP status.
    :returns: The body.
    """
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return encode_json(message)


def read_body(request: Request) -> bytes:
    """Read the whole body of a request.

    :param request: The exchange.
    :returns: The bytes.
    """
    content: Any = request.content
    return content.read()


def abort_connection(request: Request) -> None:
    """Break the connection of an exchange without an answer.

    :param request: The exchange.
    """
    channel = getattr(request, "channel", None)
    if channel is not None:
        channel.transport.abortConnection()


def merge_behaviour(
    current: BehaviourT, data: bytes
) -> Result[BehaviourT, DecodeError]:
    """Change the fields of a behaviour that a control call names.

    :param current: The behaviour in force.
    :param data: A JSON object of the fields to change.
    :returns: The new behaviour, or why the call was refused.
    """
    cls = type(current)
    names = {field.name for field in dataclasses.fields(current)}  # type: ignore[arg-type]
    try:
        changes = msgspec.json.decode(data, type=dict[str, Any])
        unknown = sorted(changes.keys() - names)
        if unknown:
            return Error(DecodeError(reason=f"unknown: {unknown}"))
        merged = {**msgspec.to_builtins(current), **changes}
        return Ok(msgspec.convert(merged, cls))
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(DecodeError(reason=str(error)))
