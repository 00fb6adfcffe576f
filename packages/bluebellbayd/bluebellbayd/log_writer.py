"""Writes log lines without ever waiting for their reader."""

import collections
import errno
import os

MAX_PENDING_BYTES = 1_048_576


class NonBlockingLogWriter:
    """A file to which writing never blocks.

    Lines that the reader has not taken wait in memory, up to a bound; past
    it they are dropped and counted.

    :param descriptor: File descriptor; it is made non-blocking.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> int:
        """Write a line, or keep it until the reader takes more.

        :param data: The line.
        :returns: Its length.
        """
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped_count += 1
            return len(data)
        self._pending.append(data)
        self._pending_bytes += len(data)
        self.flush()
        return len(data)

    def flush(self) -> None:
        """Write as much as the reader takes."""
        while self._pending:
            line = self._pending.popleft()
            self._pending_bytes -= len(line)
            written = self._try_write(line)
            if written < len(line):
                self._pending.appendleft(line[written:])
                self._pending_bytes += len(line) - written
                return

    def pop_dropped_count(self) -> int:
        """Give how many lines were dropped since the last call."""
        dropped_count = self.dropped_count
        self.dropped_count = 0
        return dropped_count

    def _try_write(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno not in (errno.EPIPE, errno.EIO, errno.EBADF):
                raise
            # Nobody reads any more, and there is nowhere to say so.
            self.dropped_count += 1
            return len(line)
