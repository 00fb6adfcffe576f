"""The configuration that is in force at a node."""

from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.profile import Profile


class ConfigurationState:
    """Holds the highest revision seen; it never goes back."""

    def __init__(self) -> None:
        self.document: ConfigurationDocument | None = None
        self.confirmed_at: float | None = None
        self._profiles: dict[str, Profile] = {}

    @property
    def revision(self) -> int:
        """Revision in force; 0 for none."""
        return self.document.revision if self.document else 0

    def accept(self, document: ConfigurationDocument) -> bool:
        """Take a document if its revision is higher.

        :param document: A document from the store or a peer.
        :returns: Whether it is in force now and was not before.
        """
        if document.revision <= self.revision:
            return False
        self.document = document
        self.confirmed_at = None
        self._profiles = {
            record.name: record.profile
            for record in document.profiles
            if record.profile is not None
        }
        return True

    def confirm(self, seen_at: float) -> None:
        """Note that the revision in force was seen in the store.

        :param seen_at: Time in seconds when it was seen.
        """
        if self.confirmed_at is None or seen_at > self.confirmed_at:
            self.confirmed_at = seen_at

    def find_profile(self, name: str) -> Profile | None:
        """Look a profile up.

        :param name: Name of the profile.
        :returns: The profile; none if there is none of this name.
        """
        return self._profiles.get(name)

    def is_confirmed(self, *, now: float, max_age_s: float) -> bool:
        """Say whether the revision was lately seen in the store.

        :param now: Present time in seconds.
        :param max_age_s: Greatest age in seconds that counts as lately.
        :returns: Whether it was.
        """
        if self.confirmed_at is None:
            return False
        return now - self.confirmed_at <= max_age_s
