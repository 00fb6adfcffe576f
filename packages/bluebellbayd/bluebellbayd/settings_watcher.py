"""Notices that a settings file has changed."""

from collections.abc import Callable
import os
import pathlib
from typing import Any
from typing import Generic
from typing import TypeVar

import structlog
from twisted.internet.task import LoopingCall

POLL_INTERVAL_S = 2.0

Settings = TypeVar("Settings")
_FileSignature = tuple[int, int, int]


class SettingsWatcher(Generic[Settings]):
    """Loads a settings file anew on request and whenever it has changed.

    Settings that can't be used are logged, and the last good ones stay.

    :param reactor: The reactor.
    :param path: Path of the file.
    :param load: Loads the file; raises ``ValueError`` with the reason.
    :param apply: Told settings that were loaded.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        path: pathlib.Path,
        load: Callable[[pathlib.Path], Settings],
        apply: Callable[[Settings], None],
    ) -> None:
        self._path = path
        self._load = load
        self._apply = apply
        self._file_signature = self._read_file_signature()
        self._poll_loop = LoopingCall(self._reload_if_changed)
        self._poll_loop.clock = reactor

    def start(self) -> None:
        """Begin to look at the file."""
        self._poll_loop.start(POLL_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Look at the file no more."""
        if self._poll_loop.running:
            self._poll_loop.stop()

    def reload(self) -> None:
        """Load the file and apply what it holds."""
        self._file_signature = self._read_file_signature()
        try:
            settings = self._load(self._path)
        except ValueError as error:
            self._log("Kept the settings", reason=str(error))
            return
        self._log("Read the settings anew")
        self._apply(settings)

    def _reload_if_changed(self) -> None:
        if self._read_file_signature() != self._file_signature:
            self.reload()

    def _read_file_signature(self) -> _FileSignature | None:
        try:
            file_status = os.stat(self._path)
        except OSError:
            # Being replaced, or gone: what was read last holds.
            return None
        return (
            file_status.st_mtime_ns,
            file_status.st_size,
            file_status.st_ino,
        )

    def _log(self, sentence: str, **fields: Any) -> None:
        structlog.get_logger().info(
            sentence, part="daemon", path=str(self._path), **fields
        )
