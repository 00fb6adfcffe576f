"""Keys with versions, changed by compare-and-swap."""

import dataclasses
import pathlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyEntry:
    """A key, what it holds, and its version.

    :param key: The key.
    :param value: Its text; none if the key is absent.
    :param version: Grows with each write of the key; 0 if absent.
    """

    key: str
    value: str | None = None
    version: int = 0


class KeySpace:
    """All keys of the store.

    Versions come from one counter, so those of a key grow over a delete.

    :param journal: File that each write is added to and that is read back
        at the start; none to keep nothing.
    """

    def __init__(self, *, journal: pathlib.Path | None = None) -> None:
        self._entries: dict[str, KeyEntry] = {}
        self._version = 0
        self._journal = journal
        if journal is not None and journal.exists():
            self._replay(journal)

    def read(self, key: str) -> KeyEntry:
        """Read a key.

        :param key: The key.
        :returns: What stands.
        """
        return self._entries.get(key, KeyEntry(key=key))

    def write(
        self, *, key: str, value: str | None, expected_version: int
    ) -> Result[KeyEntry, KeyEntry]:
        """Change a key if its version is the expected one.

        :param key: The key.
        :param value: The new text; none deletes the key.
        :param expected_version: Version that must stand; 0 for absent.
        :returns: The new entry, or what stands.
        """
        present = self.read(key)
        if present.version != expected_version:
            return Error(present)
        self._version += 1
        written = KeyEntry(key=key, value=value, version=self._version)
        self._apply(written)
        if self._journal is not None:
            with self._journal.open("ab") as file:
                file.write(msgspec.json.encode(written) + b"\n")
        return Ok(written)

    def list_entries(self) -> tuple[KeyEntry, ...]:
        """List every key that is present."""
        return tuple(self._entries.values())

    def restore(self, entries: tuple[KeyEntry, ...]) -> None:
        """Go back to an older state, as a restored backup does.

        :param entries: All keys of that state.
        """
        self._entries = {entry.key: entry for entry in entries}

    def _apply(self, entry: KeyEntry) -> None:
        if entry.value is None:
            self._entries.pop(entry.key, None)
            return
        self._entries[entry.key] = entry

    def _replay(self, journal: pathlib.Path) -> None:
        for line in journal.read_bytes().splitlines():
            entry = msgspec.json.decode(line, type=KeyEntry)
            self._version = max(self._version, entry.version)
            self._apply(entry)
