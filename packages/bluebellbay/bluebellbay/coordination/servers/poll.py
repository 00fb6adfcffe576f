"""Limits the extra reads of health that refusals lead to."""

MIN_POLL_INTERVAL_S = 0.05
MAX_POLLS_PER_S = 2000
POLL_TIMEOUT_S = 0.1


class PollTracker:
    """Knows which servers were lately asked for their health, and when."""

    def __init__(self) -> None:
        self._begun_at: dict[str, float] = {}
        self._in_progress: set[str] = set()

    def try_begin(
        self, server: str, now: float, min_interval_s: float
    ) -> bool:
        """Ask whether a server's health is to be read now.

        :param server: Name of the server.
        :param now: Present time in seconds.
        :param min_interval_s: Least time in seconds since the last such read.
        :returns: Whether it was not read too lately.
        """
        if now - self._begun_at.get(server, float("-inf")) < min_interval_s:
            return False
        self._begun_at[server] = now
        self._in_progress.add(server)
        return True

    def end(self, server: str) -> None:
        """Note that a server's health was read, or could not be.

        :param server: Name of the server.
        """
        self._in_progress.discard(server)

    def is_in_progress(self, server: str, now: float) -> bool:
        """Say whether a server's answer is still worth waiting for.

        :param server: Name of the server.
        :param now: Present time in seconds.
        :returns: Whether it is.
        """
        if server not in self._in_progress:
            return False
        return now - self._begun_at[server] < POLL_TIMEOUT_S
