"""Changes of operators: the next document, and what became of it."""

import dataclasses
import enum

from expression import Error
from expression import Ok
from expression import Result

from bluebellbay.coordination.configurations.document import (
    find_validation_error,
)
from bluebellbay.coordination.configurations.document import merge_documents
from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.configuration import ChangeNote
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.protocol.configuration import MAX_DOCUMENT_BYTES
from bluebellbay.protocol.configuration import MAX_RECENT_CHANGES
from bluebellbay.protocol.configuration import ProfileRecord
from bluebellbay.protocol.profile import Profile


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetProfile:
    """Create a profile or replace it.

    :param profile: The profile.
    """

    profile: Profile


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeleteProfile:
    """Delete a profile, which leaves a tombstone.

    :param name: Name of the profile.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarkVmLeaving:
    """Mark a VM as leaving.

    :param vm: Name of the VM.
    """

    vm: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarkVmReturned:
    """Take the mark of a VM back.

    :param vm: Name of the VM.
    """

    vm: str


Change = SetProfile | DeleteProfile | MarkVmLeaving | MarkVmReturned


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeError:
    """Why a change can't be made.

    :param reason: One sentence for the operator.
    """

    reason: str


class ChangeOutcome(enum.StrEnum):
    """What became of a change, judged by the document read back."""

    LATEST = "stands"
    SUPERSEDED = "superseded"
    NOT_APPLIED = "not-made"
    UNKNOWN = "unknown"


def build_base(
    stored: ConfigurationDocument | None,
    in_force: ConfigurationDocument | None,
) -> ConfigurationDocument | None:
    """Find the document that the next change builds on.

    A store that was restored to an older state is behind the nodes; the
    base then holds what both have.

    :param stored: The store's document; none if the key is absent.
    :param known: The highest document in force at any node asked.
    :returns: The base; none for the first document of all.
    """
    if stored is None or in_force is None:
        return stored or in_force
    return merge_documents(stored, in_force)


def apply_change(
    base: ConfigurationDocument | None,
    change: Change,
    *,
    change_id: str,
    author: str,
) -> Result[ConfigurationDocument, ChangeError]:
    """Build the document that a change makes of its base.

    :param base: The document from ``find_base``.
    :param change: The change.
    :param change_id: Random id, fresh for each change.
    :param author: Who makes the change.
    :returns: The next document, or why there is none.
    """
    error_reason = _find_change_error(base, change)
    if error_reason:
        return Error(ChangeError(reason=error_reason))
    revision = base.revision + 1 if base else 1
    note = ChangeNote(
        revision=revision,
        change_id=change_id,
        author=author,
        summary=describe_change(change),
    )
    recent = (*(base.recent if base else ()), note)
    document = ConfigurationDocument(
        revision=revision,
        change_id=change_id,
        author=author,
        profiles=_update_profiles(base, change, revision),
        marks=_update_marks(base, change, revision),
        recent=recent[-MAX_RECENT_CHANGES:],
    )
    error_reason = find_validation_error(document)
    if error_reason:
        return Error(ChangeError(reason=error_reason))
    if len(encode_json(document)) > MAX_DOCUMENT_BYTES:
        return Error(ChangeError(reason="The configuration is too large."))
    return Ok(document)


def describe_change(change: Change) -> str:
    """Say in a few words what a change does.

    :param change: The change.
    :returns: The words.
    """
    match change:
        case SetProfile(profile=profile):
            return f"profile set {profile.name}"
        case DeleteProfile(name=name):
            return f"profile delete {name}"
        case MarkVmLeaving(vm=vm):
            return f"vm leave {vm}"
        case MarkVmReturned(vm=vm):
            return f"vm return {vm}"


def determine_outcome(
    written: ConfigurationDocument, stored: ConfigurationDocument | None
) -> ChangeOutcome:
    """Judge by the document read back whether a write took effect.

    Use it after a lost answer, a conflict, or to see what stands now.

    :param intended: The document that was written.
    :param found: The document that the store holds now.
    :returns: ``STANDS`` if it is the latest, ``SUPERSEDED`` if it took
        effect and others were built on it, ``NOT_MADE`` if it never took
        effect, ``UNKNOWN`` if too many changes came after.
    """
    if stored is None:
        return ChangeOutcome.NOT_APPLIED
    if stored.change_id == written.change_id:
        return ChangeOutcome.LATEST
    if any(note.change_id == written.change_id for note in stored.recent):
        return ChangeOutcome.SUPERSEDED
    oldest_revision = min(
        (note.revision for note in stored.recent), default=stored.revision
    )
    if (
        stored.revision > written.revision
        and oldest_revision > written.revision
    ):
        return ChangeOutcome.UNKNOWN
    return ChangeOutcome.NOT_APPLIED


def list_changes_since(
    base: ConfigurationDocument | None, stored: ConfigurationDocument
) -> tuple[ChangeNote, ...]:
    """List what others changed after a base, to show in a conflict.

    :param base: The document that the refused change was built on.
    :param found: The document that stands.
    :returns: The changes, oldest first.
    """
    known_change_ids = (
        {note.change_id for note in base.recent} if base else set()
    )
    revision = base.revision if base else 0
    return tuple(
        note
        for note in stored.recent
        if note.revision > revision or note.change_id not in known_change_ids
    )


def _find_change_error(
    base: ConfigurationDocument | None, change: Change
) -> str:
    match change:
        case SetProfile(profile=profile):
            decoded = decode_json(encode_json(profile), Profile)
            return decoded.error.reason if decoded.is_error() else ""
        case DeleteProfile(name=name):
            if _find_live_profile(base, name) is None:
                return f"There is no profile {name}."
            return ""
        case MarkVmLeaving(vm=vm) | MarkVmReturned(vm=vm):
            return "" if vm else "The name of the VM is empty."


def _find_live_profile(
    base: ConfigurationDocument | None, name: str
) -> Profile | None:
    for record in base.profiles if base else ():
        if record.name == name:
            return record.profile
    return None


def _update_profiles(
    base: ConfigurationDocument | None, change: Change, revision: int
) -> tuple[ProfileRecord, ...]:
    records = {item.name: item for item in (base.profiles if base else ())}
    match change:
        case SetProfile(profile=profile):
            records[profile.name] = ProfileRecord(
                name=profile.name, revision=revision, profile=profile
            )
        case DeleteProfile(name=name):
            records[name] = ProfileRecord(name=name, revision=revision)
        case _:
            pass
    return tuple(records[name] for name in sorted(records))


def _update_marks(
    base: ConfigurationDocument | None, change: Change, revision: int
) -> tuple[LeavingMark, ...]:
    marks = {item.vm: item for item in (base.marks if base else ())}
    match change:
        case MarkVmLeaving(vm=vm):
            marks[vm] = LeavingMark(vm=vm, revision=revision)
        case MarkVmReturned(vm=vm):
            marks[vm] = LeavingMark(vm=vm, revision=revision, leaving=False)
        case _:
            pass
    return tuple(marks[vm] for vm in sorted(marks))
