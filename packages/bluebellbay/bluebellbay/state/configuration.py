"""The configuration in force at a node."""

from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.profile import Profile


class ConfigurationState:
    """Keeps the document with the highest revision seen.

    :ivar document: The document in force; ``None`` until the first one.
    :ivar confirmed_at: Time in seconds when the store last held the revision
        in force; ``None`` if this was not seen yet.
    """

    def __init__(self) -> None:
        self.document: ConfigurationDocument | None = None
        self.confirmed_at: float | None = None
        self._profiles: dict[str, Profile] = {}

    @property
    def revision(self) -> int:
        """The revision in force, or 0 if there is none."""
        return self.document.revision if self.document else 0

    def accept(self, document: ConfigurationDocument) -> bool:
        """Put a document in force if its revision is higher.

        Replacing the document resets ``confirmed_at``.

        :param document: A document from the store or a peer.
        :returns: Whether the document replaced the one in force.
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
        """Record that the store held the revision in force.

        :param seen_at: Time in seconds when the store was read. Times before
            the last confirmation are ignored.
        """
        if self.confirmed_at is None or seen_at > self.confirmed_at:
            self.confirmed_at = seen_at

    def find_profile(self, name: str) -> Profile | None:
        """Look up a profile of the configuration in force.

        :param name: Name of the profile.
        :returns: The profile, or ``None`` if it does not exist.
        """
        return self._profiles.get(name)

    def is_confirmed(self, *, now: float, max_age_s: float) -> bool:
        """Tell whether the store recently held the revision in force.

        :param now: Current time in seconds.
        :param max_age_s: Maximum age of the last confirmation in seconds.
        :returns: Whether the last confirmation is recent enough; ``False``
            if there is none.
        """
        if self.confirmed_at is None:
            return False
        return now - self.confirmed_at <= max_age_s
