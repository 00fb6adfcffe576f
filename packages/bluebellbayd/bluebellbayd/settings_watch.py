"""Notices that a settings file has changed."""

from collections.abc import Callable
import os
import pathlib
from typing import Any
from typing import Generic
from typing import TypeVar

import structlog
from twisted.internet.task import LoopingCall

CHECK_S = 2.0

Settings = TypeVar("Settings")
_Stamp = tuple[int, int, int]


class SettingsWatch(Generic[Settings]):
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
        self._stamp = self._read_stamp()
        self._check = LoopingCall(self._look)
        self._check.clock = reactor

    def start(self) -> None:
        """Begin to look at the file."""
        self._check.start(CHECK_S, now=False)

    def stop(self) -> None:
        """Look at the file no more."""
        if self._check.running:
            self._check.stop()

    def reload(self) -> None:
        """Load the file and apply what it holds."""
        self._stamp = self._read_stamp()
        try:
            settings = self._load(self._path)
        except ValueError as error:
            self._log("Kept the settings", reason=str(error))
            return
        self._log("Read the settings anew")
        self._apply(settings)

    def _look(self) -> None:
        if self._read_stamp() != self._stamp:
            self.reload()

    def _read_stamp(self) -> _Stamp | None:
        try:
            found = os.stat(self._path)
        except OSError:
            # Being replaced, or gone: what was read last holds.
            return None
        return (found.st_mtime_ns, found.st_size, found.st_ino)

    def _log(self, sentence: str, **fields: Any) -> None:
        structlog.get_logger().info(
            sentence, part="daemon", path=str(self._path), **fields
        )
