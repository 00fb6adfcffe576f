"""The operators' configuration, stored as a single document."""

import dataclasses

from bluebellbay.protocol.profile import Profile

CONFIGURATION_KEY = "bluebellbay/configuration"
MAX_DOCUMENT_BYTES = 786_432
MAX_RECENT_CHANGES = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProfileRecord:
    """A profile, or the tombstone of a deleted profile.

    :param name: Name of the profile.
    :param revision: Revision of the change that set or deleted it.
    :param profile: The profile; none for a tombstone.
    """

    name: str
    revision: int
    profile: Profile | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingMark:
    """An operator's mark that a VM is leaving or has returned.

    :param vm: Name of the VM.
    :param revision: Revision of the change that set the mark.
    :param leaving: False once the operator has withdrawn the mark.
    """

    vm: str
    revision: int
    leaving: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRecord:
    """One of the latest changes to the configuration.

    An operator's tool that lost the answer to a write looks its change up
    here, to find out whether it took effect.

    :param revision: Revision that the change created.
    :param change_id: Random id of the change.
    :param author: Author of the change.
    :param summary: Short description of the change.
    """

    revision: int
    change_id: str
    author: str = ""
    summary: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationDocument:
    """The configuration at one revision.

    :param revision: Incremented by each change and never reset.
    :param change_id: Random id of the change that created this revision.
    :param author: Author of that change.
    :param profiles: Profiles and tombstones, sorted by name.
    :param marks: Marks on VMs, sorted by VM name.
    :param recent: The latest changes, oldest first.
    """

    revision: int
    change_id: str
    author: str = ""
    profiles: tuple[ProfileRecord, ...] = ()
    marks: tuple[LeavingMark, ...] = ()
    recent: tuple[ChangeRecord, ...] = ()
