"""Limits the extra reads of health that refusals lead to."""

LEAST_GAP_S = 0.05
MOST_POLLS_PER_S = 2000
LONGEST_ANSWER_S = 0.1


class PollTracker:
    """Knows which servers were lately asked for their health, and when."""

    def __init__(self) -> None:
        self._begun_at: dict[str, float] = {}
        self._under_way: set[str] = set()

    def begin(self, server: str, now: float, gap_s: float) -> bool:
        """Ask whether a server's health is to be read now.

        :param server: Name of the server.
        :param now: Present time in seconds.
        :param gap_s: Least time in seconds since the last such read.
        :returns: Whether it was not read too lately.
        """
        if now - self._begun_at.get(server, float("-inf")) < gap_s:
            return False
        self._begun_at[server] = now
        self._under_way.add(server)
        return True

    def end(self, server: str) -> None:
        """Note that a server's health was read, or could not be.

        :param server: Name of the server.
        """
        self._under_way.discard(server)

    def is_under_way(self, server: str, now: float) -> bool:
        """Say whether a server's answer is still worth waiting for.

        :param server: Name of the server.
        :param now: Present time in seconds.
        :returns: Whether it is.
        """
        if server not in self._under_way:
            return False
        return now - self._begun_at[server] < LONGEST_ANSWER_S
