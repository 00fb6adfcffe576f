"""Changes of operators: the next document, and what became of it."""

import dataclasses
import enum

from expression import Error
from expression import Ok
from expression import Result

from bluebellbay.coordination.configurations.document import find_fault
from bluebellbay.coordination.configurations.document import join_documents
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
class ProfileSet:
    """Create a profile or replace it.

    :param profile: The profile.
    """

    profile: Profile


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProfileDelete:
    """Delete a profile, which leaves a tombstone.

    :param name: Name of the profile.
    """

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmLeave:
    """Mark a VM as leaving.

    :param vm: Name of the VM.
    """

    vm: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmReturn:
    """Take the mark of a VM back.

    :param vm: Name of the VM.
    """

    vm: str


Change = ProfileSet | ProfileDelete | VmLeave | VmReturn


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeFault:
    """Why a change can't be made.

    :param reason: One sentence for the operator.
    """

    reason: str


class ChangeOutcome(enum.StrEnum):
    """What became of a change, judged by the document read back."""

    STANDS = "stands"
    SUPERSEDED = "superseded"
    NOT_MADE = "not-made"
    UNKNOWN = "unknown"


def find_base(
    stored: ConfigurationDocument | None,
    known: ConfigurationDocument | None,
) -> ConfigurationDocument | None:
    """Find the document that the next change builds on.

    A store that was restored to an older state is behind the nodes; the
    base then holds what both have.

    :param stored: The store's document; none if the key is absent.
    :param known: The highest document in force at any node asked.
    :returns: The base; none for the first document of all.
    """
    if stored is None or known is None:
        return stored or known
    return join_documents(stored, known)


def build_next(
    base: ConfigurationDocument | None,
    change: Change,
    *,
    change_id: str,
    author: str,
) -> Result[ConfigurationDocument, ChangeFault]:
    """Build the document that a change makes of its base.

    :param base: The document from ``find_base``.
    :param change: The change.
    :param change_id: Random id, fresh for each change.
    :param author: Who makes the change.
    :returns: The next document, or why there is none.
    """
    fault = _find_change_fault(base, change)
    if fault:
        return Error(ChangeFault(reason=fault))
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
        profiles=_change_profiles(base, change, revision),
        marks=_change_marks(base, change, revision),
        recent=recent[-MAX_RECENT_CHANGES:],
    )
    fault = find_fault(document)
    if fault:
        return Error(ChangeFault(reason=fault))
    if len(encode_json(document)) > MAX_DOCUMENT_BYTES:
        return Error(ChangeFault(reason="The configuration is too large."))
    return Ok(document)


def describe_change(change: Change) -> str:
    """Say in a few words what a change does.

    :param change: The change.
    :returns: The words.
    """
    match change:
        case ProfileSet(profile=profile):
            return f"profile set {profile.name}"
        case ProfileDelete(name=name):
            return f"profile delete {name}"
        case VmLeave(vm=vm):
            return f"vm leave {vm}"
        case VmReturn(vm=vm):
            return f"vm return {vm}"


def judge_change(
    intended: ConfigurationDocument, found: ConfigurationDocument | None
) -> ChangeOutcome:
    """Judge by the document read back whether a write took effect.

    Use it after a lost answer, a conflict, or to see what stands now.

    :param intended: The document that was written.
    :param found: The document that the store holds now.
    :returns: ``STANDS`` if it is the latest, ``SUPERSEDED`` if it took
        effect and others were built on it, ``NOT_MADE`` if it never took
        effect, ``UNKNOWN`` if too many changes came after.
    """
    if found is None:
        return ChangeOutcome.NOT_MADE
    if found.change_id == intended.change_id:
        return ChangeOutcome.STANDS
    if any(note.change_id == intended.change_id for note in found.recent):
        return ChangeOutcome.SUPERSEDED
    oldest = min(
        (note.revision for note in found.recent), default=found.revision
    )
    if found.revision > intended.revision and oldest > intended.revision:
        return ChangeOutcome.UNKNOWN
    return ChangeOutcome.NOT_MADE


def list_foreign_changes(
    base: ConfigurationDocument | None, found: ConfigurationDocument
) -> tuple[ChangeRecord, ...]:
    """List what others changed after a base, to show in a conflict.

    :param base: The document that the refused change was built on.
    :param found: The document that stands.
    :returns: The changes, oldest first.
    """
    seen = {note.change_id for note in base.recent} if base else set()
    revision = base.revision if base else 0
    return tuple(
        note
        for note in found.recent
        if note.revision > revision or note.change_id not in seen
    )


def _find_change_fault(
    base: ConfigurationDocument | None, change: Change
) -> str:
    match change:
        case ProfileSet(profile=profile):
            checked = decode_json(encode_json(profile), Profile)
            return checked.error.reason if checked.is_error() else ""
        case ProfileDelete(name=name):
            if _find_live_profile(base, name) is None:
                return f"There is no profile {name}."
            return ""
        case VmLeave(vm=vm) | VmReturn(vm=vm):
            return "" if vm else "The name of the VM is empty."


def _find_live_profile(
    base: ConfigurationDocument | None, name: str
) -> Profile | None:
    for record in base.profiles if base else ():
        if record.name == name:
            return record.profile
    return None


def _change_profiles(
    base: ConfigurationDocument | None, change: Change, revision: int
) -> tuple[ProfileRecord, ...]:
    records = {item.name: item for item in (base.profiles if base else ())}
    match change:
        case ProfileSet(profile=profile):
            records[profile.name] = ProfileRecord(
                name=profile.name, revision=revision, profile=profile
            )
        case ProfileDelete(name=name):
            records[name] = ProfileRecord(name=name, revision=revision)
        case _:
            pass
    return tuple(records[name] for name in sorted(records))


def _change_marks(
    base: ConfigurationDocument | None, change: Change, revision: int
) -> tuple[LeavingMark, ...]:
    marks = {item.vm: item for item in (base.marks if base else ())}
    match change:
        case VmLeave(vm=vm):
            marks[vm] = LeavingMark(vm=vm, revision=revision)
        case VmReturn(vm=vm):
            marks[vm] = LeavingMark(vm=vm, revision=revision, leaving=False)
        case _:
            pass
    return tuple(marks[vm] for vm in sorted(marks))
