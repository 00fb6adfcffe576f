"""Claims: the records in the store that keep a request to one run."""

import dataclasses
import hashlib
from typing import Final

from expression import Result

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import DecodeError
from bluebellbay.protocol.codec import encode_json

CLAIM_KEY_PREFIX: Final = "claims/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """The right of one attempt to send a request, once.

    :param request_id: The caller's request id.
    :param token: Random token of the attempt that holds the claim.
    :param expires_at: Unix time in seconds after which no attempt at the
        request may start.
    :param released: Whether the holder ran nothing and never will, so that
        another attempt may take the claim.
    :param outcome: The answer that the holder gave, if recorded.
    """

    request_id: str
    token: str
    expires_at: float
    released: bool = False
    outcome: Answer | None = None


def name_claim_key(request_id: str) -> str:
    """Name the key of the store that holds a request's claim.

    :param request_id: The caller's request id.
    :returns: The key.
    """
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return CLAIM_KEY_PREFIX + digest


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim for the store.

    :param claim: The claim.
    :returns: The bytes.
    """
    return encode_json(claim)


def decode_claim(data: bytes) -> Result[Claim, DecodeError]:
    """Decode a claim read from the store.

    :param data: The bytes.
    :returns: The claim, or why it could not be read.
    """
    return decode_json(data, Claim)
