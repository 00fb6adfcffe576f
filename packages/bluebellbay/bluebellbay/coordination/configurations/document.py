"""Parsing, validation and merging of configuration documents."""

from collections.abc import Iterable
import dataclasses
from typing import Protocol
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result

from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import DecodeError
from bluebellbay.protocol.configuration import ChangeRecord
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.protocol.configuration import MAX_RECENT_CHANGES
from bluebellbay.protocol.configuration import ProfileRecord


class _HasRevision(Protocol):
    @property
    def revision(self) -> int: ...


RevisedT = TypeVar("RevisedT", bound=_HasRevision)


def parse_document(
    data: bytes,
) -> Result[ConfigurationDocument, DecodeError]:
    """Parse and validate the store's value.

    :param data: A document in JSON.
    :returns: The document, or the reason why it is malformed.
    """
    match decode_json(data, ConfigurationDocument):
        case Result(tag="ok", ok=document):
            error_reason = find_validation_error(document)
            if error_reason:
                return Error(DecodeError(reason=error_reason))
            return Ok(document)
        case Result(error=error):
            return Error(error)


def find_validation_error(document: ConfigurationDocument) -> str:
    """Check the rules that the document's types do not express.

    :param document: The document.
    :returns: One sentence on the first rule broken; empty if the document
        is valid.
    """
    if document.revision < 1:
        return f"The revision {document.revision} is below 1."
    if not document.change_id:
        return "The change id is empty."
    revisions = [record.revision for record in document.profiles]
    revisions += [mark.revision for mark in document.marks]
    if any(
        not 1 <= record_revision <= document.revision
        for record_revision in revisions
    ):
        return f"A record's revision is not in 1 to {document.revision}."
    names = [record.name for record in document.profiles]
    vms = [mark.vm for mark in document.marks]
    if len(set(names)) < len(names) or len(set(vms)) < len(vms):
        return "Two records have the same name."
    for record in document.profiles:
        if record.profile is not None and record.profile.name != record.name:
            return "The names of a record and its profile differ."
    return ""


def merge_documents(
    first: ConfigurationDocument, second: ConfigurationDocument
) -> ConfigurationDocument:
    """Merge two documents record by record.

    Of two records of one name, the one of the higher revision is kept; if
    both have the same revision, the one of the later document, which is
    that of the higher revision, or of the higher change id if these are
    equal. If the later document contains all changes of the other, it is
    returned itself, not as a copy.

    :param first: A document.
    :param second: The other document; the order does not matter.
    :returns: The merged document, with the revision and change id of the
        later one.
    """
    older, newer = sorted((first, second), key=_recency_key)
    profiles = _merge_records(
        _index_by_name(older.profiles),
        _index_by_name(newer.profiles),
    )
    marks = _merge_records(
        _index_by_vm(older.marks), _index_by_vm(newer.marks)
    )
    if profiles == newer.profiles and marks == newer.marks:
        return newer
    return dataclasses.replace(
        newer,
        profiles=profiles,
        marks=marks,
        recent=_merge_notes(older.recent, newer.recent),
    )


def _recency_key(document: ConfigurationDocument) -> tuple[int, str]:
    return document.revision, document.change_id


def _index_by_name(
    records: Iterable[ProfileRecord],
) -> dict[str, ProfileRecord]:
    return {record.name: record for record in records}


def _index_by_vm(marks: Iterable[LeavingMark]) -> dict[str, LeavingMark]:
    return {mark.vm: mark for mark in marks}


def _merge_records(
    older: dict[str, RevisedT], newer: dict[str, RevisedT]
) -> tuple[RevisedT, ...]:
    merged = dict(newer)
    for name, record in older.items():
        newer_record = newer.get(name)
        if newer_record is None or record.revision > newer_record.revision:
            merged[name] = record
    return tuple(merged[name] for name in sorted(merged))


def _merge_notes(
    older: tuple[ChangeRecord, ...], newer: tuple[ChangeRecord, ...]
) -> tuple[ChangeRecord, ...]:
    notes = {note.change_id: note for note in (*older, *newer)}
    ordered = sorted(
        notes.values(), key=lambda note: (note.revision, note.change_id)
    )
    return tuple(ordered[-MAX_RECENT_CHANGES:])
