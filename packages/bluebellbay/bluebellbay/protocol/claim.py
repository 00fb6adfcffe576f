"""Claims: records in the store that let a request be executed only once."""

import dataclasses
import hashlib
from typing import Final

from expression import Result

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import DecodeError
from bluebellbay.protocol.codec import encode_json

CLAIM_KEY_PREFIX: Final = "claims/"
MAX_BUCKET_BYTES: Final = 1_048_576
# Part of the storage format: nodes with different counts would not see each
# other's claims.
CLAIM_BUCKET_COUNT: Final = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """The exclusive right of one attempt to send a request once.

    :param request_id: The caller's request id.
    :param token: Random token of the attempt that holds the claim.
    :param expires_at: Unix time in seconds after which no attempt at the
        request may start.
    :param outcome: The answer that the holder of the claim recorded, if any.
    """

    request_id: str
    token: str
    expires_at: float
    outcome: Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimBucket:
    """All claims stored under one key.

    :param claims: The claims, at most one for each request id.
    """

    claims: tuple[Claim, ...] = ()


def build_bucket_key(
    request_id: str, buckets: int = CLAIM_BUCKET_COUNT
) -> str:
    """Build the store key of the bucket that holds a request's claim.

    :param request_id: The caller's request id.
    :param buckets: Number of buckets.
    """
    digest = hashlib.sha256(request_id.encode()).digest()
    number = int.from_bytes(digest[:8]) % buckets
    return f"{CLAIM_KEY_PREFIX}{buckets}/{number}"


def encode_bucket(bucket: ClaimBucket) -> bytes:
    """Encode a bucket for the store."""
    return encode_json(bucket)


def decode_bucket(data: bytes) -> Result[ClaimBucket, DecodeError]:
    """Decode a bucket read from the store.

    :param data: The stored value.
    :returns: The bucket, or why it could not be decoded.
    """
    return decode_json(data, ClaimBucket)
