"""Message codecs: MessagePack between peers, JSON everywhere else."""

import dataclasses
from typing import Any
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from bluebellbay.protocol.decode_failure import DECODE_EXCEPTIONS
from bluebellbay.protocol.peer import MAX_PEER_MESSAGE_BYTES
from bluebellbay.protocol.peer import PEER_MESSAGES
from bluebellbay.protocol.peer import PEER_PROTOCOL_VERSION
from bluebellbay.protocol.peer import PeerEnvelope

MessageT = TypeVar("MessageT")

_KIND_BY_TYPE = {cls: cls.__name__ for cls in PEER_MESSAGES}
_TYPE_BY_KIND = {cls.__name__: cls for cls in PEER_MESSAGES}
_JSON_ENCODER = msgspec.json.Encoder()
_JSON_DECODERS: dict[Any, msgspec.json.Decoder[Any]] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DecodeError:
    """Why a message could not be decoded.

    :param reason: Description of the error.
    """

    reason: str


def encode_json(message: Any) -> bytes:
    """Encode a message as JSON.

    :param message: An instance of a message data class.
    """
    return _JSON_ENCODER.encode(message)


def decode_json(
    data: bytes, cls: type[MessageT]
) -> Result[MessageT, DecodeError]:
    """Decode JSON into a message.

    :param data: The JSON text.
    :param cls: Data class of the message.
    :returns: The message, or why the text could not be decoded.
    """
    decoder = _JSON_DECODERS.get(cls)
    if decoder is None:
        decoder = _JSON_DECODERS[cls] = msgspec.json.Decoder(cls)
    try:
        return Ok(decoder.decode(data))
    except DECODE_EXCEPTIONS as error:
        return Error(DecodeError(reason=str(error)))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Frame:
    version: int
    sender: str
    incarnation: int
    sequence: int
    kind: str
    body: msgspec.Raw


def encode_peer(envelope: PeerEnvelope) -> bytes:
    """Encode an envelope as MessagePack for a peer."""
    frame = _Frame(
        version=PEER_PROTOCOL_VERSION,
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        sequence=envelope.sequence,
        kind=_KIND_BY_TYPE[type(envelope.message)],
        body=msgspec.Raw(msgspec.msgpack.encode(envelope.message)),
    )
    return msgspec.msgpack.encode(frame)


def decode_peer(data: bytes) -> Result[PeerEnvelope, DecodeError]:
    """Decode an envelope received from a peer.

    :param data: The received bytes.
    :returns: The envelope, or why the bytes could not be decoded: they are
        longer than ``MAX_PEER_MESSAGE_BYTES``, of another protocol version,
        of an unknown message type or malformed.
    """
    if len(data) > MAX_PEER_MESSAGE_BYTES:
        return Error(DecodeError(reason="oversized"))
    try:
        frame = msgspec.msgpack.decode(data, type=_Frame)
        if frame.version != PEER_PROTOCOL_VERSION:
            return Error(DecodeError(reason="wrong version"))
        cls = _TYPE_BY_KIND.get(frame.kind)
        if cls is None:
            return Error(DecodeError(reason="unknown kind"))
        message: Any = msgspec.msgpack.decode(frame.body, type=cls)
    except DECODE_EXCEPTIONS as error:
        return Error(DecodeError(reason=str(error)))
    return Ok(
        PeerEnvelope(
            sender=frame.sender,
            incarnation=frame.incarnation,
            sequence=frame.sequence,
            message=message,
        )
    )
