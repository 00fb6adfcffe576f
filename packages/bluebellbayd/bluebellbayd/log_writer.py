"""Writes log lines without ever waiting for their reader."""

import collections
import errno
import os

MOST_PENDING_BYTES = 1_048_576


class BoundedWriter:
    """A file to which writing never blocks.

    Lines that the reader has not taken wait in memory, up to a bound; past
    it they are dropped and counted.

    :param descriptor: File descriptor; it is made non-blocking.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> int:
        """Write a line, or keep it until the reader takes more.

        :param data: The line.
        :returns: Its length.
        """
        if self._size + len(data) > MOST_PENDING_BYTES:
            self.dropped += 1
            return len(data)
        self._pending.append(data)
        self._size += len(data)
        self.flush()
        return len(data)

    def flush(self) -> None:
        """Write as much as the reader takes."""
        while self._pending:
            line = self._pending.popleft()
            self._size -= len(line)
            written = self._write_some(line)
            if written < len(line):
                self._pending.appendleft(line[written:])
                self._size += len(line) - written
                return

    def take_dropped(self) -> int:
        """Give how many lines were dropped since the last call."""
        dropped = self.dropped
        self.dropped = 0
        return dropped

    def _write_some(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno not in (errno.EPIPE, errno.EIO, errno.EBADF):
                raise
            # Nobody reads any more, and there is nowhere to say so.
            self.dropped += 1
            return len(line)
