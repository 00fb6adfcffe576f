"""Operators' changes to the configuration, and their outcome."""

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
from bluebellbay.protocol.configuration import ChangeRecord
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.protocol.configuration import MAX_DOCUMENT_BYTES
from bluebellbay.protocol.configuration import MAX_RECENT_CHANGES
from bluebellbay.protocol.configuration import ProfileRecord
from bluebellbay.protocol.profile import Profile


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetProfile:
    """A change that creates a profile or replaces the one of that name.

    :param profile: The complete profile; no field is kept of the old one.
    """

    profile: Profile


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeleteProfile:
    """A change that deletes a profile and leaves a tombstone.

    The tombstone keeps a merge with an older document from restoring the
    profile.

    :param name: Name of the profile.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarkVmLeaving:
    """A change that marks a VM as leaving.

    :param vm: Name of the VM.
    """

    vm: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarkVmReturned:
    """A change that withdraws the leaving mark of a VM.

    :param vm: Name of the VM.
    """

    vm: str


Change = SetProfile | DeleteProfile | MarkVmLeaving | MarkVmReturned


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeError:
    """The reason why a change can't be applied.

    :param reason: One sentence, shown to the operator.
    """

    reason: str


class ChangeOutcome(enum.StrEnum):
    """Outcome of a write, determined from the document read back."""

    LATEST = "stands"
    SUPERSEDED = "superseded"
    NOT_APPLIED = "not-made"
    UNKNOWN = "unknown"


def build_base(
    stored: ConfigurationDocument | None,
    in_force: ConfigurationDocument | None,
) -> ConfigurationDocument | None:
    """Build the document that the next change is applied to.

    A store that was restored from an older snapshot lacks changes that are
    in force at the nodes. The base is therefore a merge of both documents.

    :param stored: The store's document; none if the key is absent.
    :param in_force: The document of the highest revision in force at the
        nodes that answered; none if no node has one.
    :returns: The base; none if there is no configuration yet.
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
    """Apply a change to its base document.

    :param base: The document from ``build_base``; it is not modified.
    :param change: The change.
    :param change_id: Random id that no other change has; it identifies the
        change when its outcome is determined.
    :param author: Name of the operator.
    :returns: The document of the next revision, or an error if the change
        is invalid or the document would exceed ``MAX_DOCUMENT_BYTES``.
    """
    error_reason = _find_change_error(base, change)
    if error_reason:
        return Error(ChangeError(reason=error_reason))
    revision = base.revision + 1 if base else 1
    note = ChangeRecord(
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
        return Error(
            ChangeError(
                reason=f"The configuration exceeds {MAX_DOCUMENT_BYTES} bytes."
            )
        )
    return Ok(document)


def describe_change(change: Change) -> str:
    """Summarize a change for the document's list of recent changes.

    :param change: The change.
    :returns: The words of the operator's command, without its options.
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
    """Determine from the document read back whether a write took effect.

    A caller needs this after a conflict, and after a write whose answer was
    lost, as the store may have executed it.

    :param written: The document that was written.
    :param stored: The document that the store holds now; none if the key
        is absent.
    :returns: ``LATEST`` if the write is the store's latest change,
        ``SUPERSEDED`` if it took effect and later changes are based on it,
        ``NOT_APPLIED`` if it did not take effect, and ``UNKNOWN`` if the
        list of recent changes no longer goes back to its revision.
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
) -> tuple[ChangeRecord, ...]:
    """List the changes that a document holds and its base does not.

    A conflict shows them to the operator whose change was refused. Only
    the changes in the document's list of recent changes are found.

    :param base: The document that the refused change was based on; none if
        there was none.
    :param stored: The document that the store holds now.
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
