"""Fake of the platform's store for the steps about claims."""

from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten


class FakeStore:
    """Compare-and-swap store; the versions of a key never decrease."""

    def __init__(self):
        self.values = {}
        self.versions = {}

    def apply(self, command):
        """Execute a command and return the event that answers it."""
        key = command.key
        value = self.values.get(key)
        version = self.versions[key] if value is not None else 0
        fields = {"correlation_id": command.correlation_id, "key": key}
        if isinstance(command, ReadKey):
            return KeyRead(**fields, value=value, version=version)
        if command.expected_version != version:
            return KeyConflict(**fields, value=value, version=version)
        self.values[key] = command.value
        self.versions[key] = self.versions.get(key, 0) + 1
        return KeyWritten(**fields, version=self.versions[key])
