"""The one document that holds the operators' configuration."""

import dataclasses

from bluebellbay.protocol.profile import Profile

CONFIGURATION_KEY = "bluebellbay/configuration"
MAX_DOCUMENT_BYTES = 786_432
MAX_RECENT_CHANGES = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProfileRecord:
    """A profile, or the tombstone of a deleted one.

    :param name: Name of the profile.
    :param revision: Revision of the change that set or deleted it.
    :param profile: The profile; none for a tombstone.
    """

    name: str
    revision: int
    profile: Profile | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingMark:
    """An operator's word that a VM is leaving, or that it has returned.

    :param vm: Name of the VM.
    :param revision: Revision of the change that set the mark.
    :param leaving: False once the operator has taken the mark back.
    """

    vm: str
    revision: int
    leaving: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRecord:
    """One of the latest changes, kept to settle lost answers.

    :param revision: Revision that the change made.
    :param change_id: Random id of the change.
    :param author: Who made it.
    :param summary: What it did, in a few words.
    """

    revision: int
    change_id: str
    author: str = ""
    summary: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationDocument:
    """The configuration at one revision.

    :param revision: Grows by one with each change, never goes back.
    :param change_id: Random id of the change that made this revision.
    :param author: Who made the change.
    :param profiles: Profiles and tombstones, by name.
    :param marks: Marks on VMs, by name.
    :param recent: The latest changes, oldest first.
    """

    revision: int
    change_id: str
    author: str = ""
    profiles: tuple[ProfileRecord, ...] = ()
    marks: tuple[LeavingMark, ...] = ()
    recent: tuple[ChangeRecord, ...] = ()
