"""Checks that an answer is exactly what its caller must see."""

from collections.abc import Iterable
import json
from typing import Any

from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.key_range import FULL_KEY_RANGE
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.state.coverage import measure_coverage
from bluebellbay.state.coverage import subtract_ranges
from bluebellbay_standins.client import Reply
from bluebellbay_standins.row import list_rows_of_ranges

SERVED = ("answered", "partial")
UNSERVED = ("not-run", "failed", "unknown")


def find_faults(
    reply: Reply,
    *,
    request_id: str,
    index: str,
    snapshots: Iterable[int],
    coverage_floor: float,
) -> tuple[str, ...]:
    """List everything that is wrong with an answer.

    :param reply: The answer.
    :param request_id: As the caller gave it.
    :param index: Name of the index asked.
    :param snapshots: Snapshots that may have been read.
    :param coverage_floor: Least coverage of the profile.
    :returns: One phrase for each fault.
    """
    body = reply.body
    if not isinstance(body, dict):
        return (f"not JSON: {body!r}",)
    if body.get("request_id") != request_id:
        return (f"answers request {body.get('request_id')!r}",)
    if body.get("outcome") in UNSERVED:
        return tuple(_check_error(body))
    if body.get("outcome") not in SERVED:
        return (f"outcome {body.get('outcome')!r}",)
    faults = [*_check_coverage(body, coverage_floor)]
    if body["snapshot"] not in set(snapshots):
        faults.append(f"snapshot {body['snapshot']}")
    if body["rows"] != _expect_rows(body, request_id, index):
        faults.append("rows differ from those of the ranges covered")
    return tuple(faults)


def _check_error(body: dict[str, Any]) -> Iterable[str]:
    if body["rows"]:
        yield "rows in an answer that reports an error"
    if not body.get("error"):
        yield "no error is stated"
        return
    if (body["error"]["ran"] == "no") != (body["outcome"] == "not-run"):
        yield f"{body['outcome']} with ran {body['error']['ran']}"


def _check_coverage(
    body: dict[str, Any], coverage_floor: float
) -> Iterable[str]:
    stated = body["coverage"]
    covered = measure_coverage(_read_covered(body))
    if json.loads(encode_json(covered)) != stated:
        yield f"coverage contradicts itself: {stated}"
    if covered.complete != (body["outcome"] == "answered"):
        yield f"{body['outcome']} with coverage {covered.fraction}"
    if covered.fraction < coverage_floor:
        yield f"coverage {covered.fraction} below {coverage_floor}"


def _read_covered(body: dict[str, Any]) -> tuple[KeyRange, ...]:
    missing = [KeyRange(**item) for item in body["coverage"]["missing"]]
    return subtract_ranges(FULL_KEY_RANGE, missing)


def _expect_rows(body: dict[str, Any], request_id: str, index: str) -> Any:
    rows = list_rows_of_ranges(
        ranges=_read_covered(body),
        index=index,
        snapshot=body["snapshot"],
        request_id=request_id,
    )
    return json.loads(encode_json(rows))
