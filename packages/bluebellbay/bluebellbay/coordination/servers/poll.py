"""Rate limit of the extra health polls that refusals cause."""

# For one server, and for all servers of an index together.
MIN_POLL_INTERVAL_S = 0.05
MAX_POLLS_PER_S = 2000
# Requests stop waiting for the result of a poll after this time.
POLL_TIMEOUT_S = 0.1


class PollTracker:
    """Tracks which servers are being polled and when each poll began."""

    def __init__(self) -> None:
        self._begun_at: dict[str, float] = {}
        self._in_progress: set[str] = set()

    def try_begin(
        self, server: str, now: float, min_interval_s: float
    ) -> bool:
        """Begin a poll unless the last one began too recently.

        :param server: Name of the server.
        :param now: Current Unix time in seconds.
        :param min_interval_s: Minimum seconds since the last poll began.
        :returns: Whether the caller must poll the server now.
        """
        if now - self._begun_at.get(server, float("-inf")) < min_interval_s:
            return False
        self._begun_at[server] = now
        self._in_progress.add(server)
        return True

    def end(self, server: str) -> None:
        """End a server's poll, whether it succeeded or failed.

        :param server: Name of the server.
        """
        self._in_progress.discard(server)

    def is_in_progress(self, server: str, now: float) -> bool:
        """Return whether a poll has neither ended nor timed out.

        :param server: Name of the server.
        :param now: Current Unix time in seconds.
        :returns: Whether its result may still be waited for.
        """
        if server not in self._in_progress:
            return False
        return now - self._begun_at[server] < POLL_TIMEOUT_S
