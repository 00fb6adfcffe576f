"""Reloads a settings file when it changes."""

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
    """Reloads a settings file on request and whenever it has changed.

    The file is polled every ``POLL_INTERVAL_S`` seconds. If it can't be
    loaded, the reason is logged and the settings in force stay.

    :param reactor: The Twisted reactor that schedules the polls.
    :param path: Path of the settings file.
    :param load: Loads the file; raises an exception with the reason if it
        can't.
    :param apply: Called with the settings after each successful load.
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
        """Start to poll the file."""
        self._poll_loop.start(POLL_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop polling the file; does nothing if it is not polled."""
        if self._poll_loop.running:
            self._poll_loop.stop()

    def reload(self) -> None:
        """Load the file and apply its settings, also if it is unchanged."""
        self._file_signature = self._read_file_signature()
        try:
            settings = self._load(self._path)
        except Exception as error:
            # Whatever it raises, later changes must still be noticed.
            self._log(
                "Kept the settings in force because the file can't be loaded",
                reason=str(error) or type(error).__name__,
            )
            return
        self._log("Reloaded the settings file")
        self._apply(settings)

    def _reload_if_changed(self) -> None:
        if self._read_file_signature() != self._file_signature:
            self.reload()

    def _read_file_signature(self) -> _FileSignature | None:
        try:
            file_status = os.stat(self._path)
        except OSError:
            # The file is missing, perhaps while it is being replaced.
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
