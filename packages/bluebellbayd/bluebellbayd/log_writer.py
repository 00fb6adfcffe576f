"""Log output that does not block on a slow reader."""

import collections
import errno
import os

MAX_PENDING_BYTES = 1_048_576


class NonBlockingLogWriter:
    """File object for log lines whose ``write`` never blocks.

    Lines that the file descriptor does not accept yet are kept in memory, up
    to ``MAX_PENDING_BYTES``. Further lines are dropped and counted in
    ``dropped_count``.

    :param descriptor: File descriptor to write to; set to non-blocking mode.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> int:
        """Write a line, buffer it, or drop it if the buffer is full.

        :param data: The line, with its line end.
        :returns: Length of the line in bytes, also if it was dropped.
        :raises OSError: If writing fails for another reason than a closed
            reader.
        """
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped_count += 1
            return len(data)
        self._pending.append(data)
        self._pending_bytes += len(data)
        self.flush()
        return len(data)

    def flush(self) -> None:
        """Write buffered lines until the descriptor accepts no more.

        :raises OSError: If writing fails for another reason than a closed
            reader.
        """
        while self._pending:
            line = self._pending.popleft()
            self._pending_bytes -= len(line)
            written = self._try_write(line)
            if written < len(line):
                self._pending.appendleft(line[written:])
                self._pending_bytes += len(line) - written
                return

    def pop_dropped_count(self) -> int:
        """Reset the count of dropped lines.

        :returns: Number of lines dropped since the last call.
        """
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
            # The reader has closed its end, so the loss can't be logged.
            self.dropped_count += 1
            return len(line)
