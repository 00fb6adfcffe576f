"""Reading, checking and joining of configuration documents."""

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


class _Revised(Protocol):
    @property
    def revision(self) -> int: ...


RecordT = TypeVar("RecordT", bound=_Revised)


def parse_document(
    data: bytes,
) -> Result[ConfigurationDocument, DecodeError]:
    """Read a document from the store's bytes.

    :param data: JSON.
    :returns: The document, or why it was dropped.
    """
    match decode_json(data, ConfigurationDocument):
        case Result(tag="ok", ok=document):
            fault = find_fault(document)
            if fault:
                return Error(DecodeError(reason=fault))
            return Ok(document)
        case Result(error=error):
            return Error(error)


def find_fault(document: ConfigurationDocument) -> str:
    """Find what makes a document impossible.

    :param document: The document.
    :returns: One short phrase; empty if it is sound.
    """
    if document.revision < 1:
        return "revision below 1"
    if not document.change_id:
        return "no change id"
    revisions = [record.revision for record in document.profiles]
    revisions += [mark.revision for mark in document.marks]
    if any(not 1 <= it <= document.revision for it in revisions):
        return "record of another revision"
    names = [record.name for record in document.profiles]
    vms = [mark.vm for mark in document.marks]
    if len(set(names)) < len(names) or len(set(vms)) < len(vms):
        return "two records of one name"
    for record in document.profiles:
        if record.profile is not None and record.profile.name != record.name:
            return "record and profile differ in name"
    return ""


def join_documents(
    first: ConfigurationDocument, second: ConfigurationDocument
) -> ConfigurationDocument:
    """Join two documents, record by record.

    The record of the higher revision wins, and that of the later document
    where both have the same. If one document was built on the other, the
    join is that document itself.

    :param first: A document.
    :param second: Another.
    :returns: The join, under the later document's revision and change id.
    """
    older, newer = sorted((first, second), key=_rank)
    profiles = _join(
        _by_name(older.profiles),
        _by_name(newer.profiles),
    )
    marks = _join(_by_vm(older.marks), _by_vm(newer.marks))
    if profiles == newer.profiles and marks == newer.marks:
        return newer
    return dataclasses.replace(
        newer,
        profiles=profiles,
        marks=marks,
        recent=_join_notes(older.recent, newer.recent),
    )


def _rank(document: ConfigurationDocument) -> tuple[int, str]:
    return document.revision, document.change_id


def _by_name(records: Iterable[ProfileRecord]) -> dict[str, ProfileRecord]:
    return {record.name: record for record in records}


def _by_vm(marks: Iterable[LeavingMark]) -> dict[str, LeavingMark]:
    return {mark.vm: mark for mark in marks}


def _join(
    older: dict[str, RecordT], newer: dict[str, RecordT]
) -> tuple[RecordT, ...]:
    joined = dict(newer)
    for name, record in older.items():
        other = newer.get(name)
        if other is None or record.revision > other.revision:
            joined[name] = record
    return tuple(joined[name] for name in sorted(joined))


def _join_notes(
    older: tuple[ChangeRecord, ...], newer: tuple[ChangeRecord, ...]
) -> tuple[ChangeRecord, ...]:
    notes = {note.change_id: note for note in (*older, *newer)}
    ordered = sorted(
        notes.values(), key=lambda note: (note.revision, note.change_id)
    )
    return tuple(ordered[-MAX_RECENT_CHANGES:])
