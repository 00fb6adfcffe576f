"""A fake of the platform's store for the steps about claims."""

from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten


class ClaimStore:
    """Compare-and-swap over versions that grow also over a delete."""

    def __init__(self):
        self.values = {}
        self.latest = {}

    def apply(self, command):
        """Let a command take effect and give the event that answers it."""
        key = command.key
        value = self.values.get(key)
        version = self.latest[key] if value is not None else 0
        names = {"correlation_id": command.correlation_id, "key": key}
        if isinstance(command, ReadKey):
            return KeyRead(**names, value=value, version=version)
        if command.expected_version != version:
            return KeyConflict(**names, value=value, version=version)
        self.values[key] = command.value
        self.latest[key] = self.latest.get(key, 0) + 1
        return KeyWritten(**names, version=self.latest[key])
