"""A token bucket that bounds calls a second."""


class RateLimit:
    """Admits calls up to a rate, with a burst of one second's worth.

    :param rate: Calls a second.
    :param now: Present time in seconds.
    """

    def __init__(self, *, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._filled_at = now

    def set_rate(self, rate: float) -> None:
        """Change the rate.

        :param rate: Calls a second.
        """
        self._rate = rate
        self._tokens = min(self._tokens, rate)

    def admit(self, now: float) -> bool:
        """Take one call's token if there is one.

        :param now: Present time in seconds.
        :returns: Whether the call is admitted.
        """
        gained = max(0.0, now - self._filled_at) * self._rate
        self._tokens = min(self._rate, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
