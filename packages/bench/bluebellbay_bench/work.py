"""How long a leg takes, by draws that all policies share."""

import math

from bluebellbay_bench.draw import Draws

MEDIAN_S = 0.008
SHARED_SIGMA = 0.25
SERVER_SIGMA = 0.10
HICCUP_CHANCE = 0.005
HICCUP_S = 0.060
NETWORK_ONE_WAY_S = 0.001


class WorkModel:
    """Service times: most of a leg's work is the same at every replica.

    A leg costs what its query costs in that shard, times a little noise of
    the server, plus a rare hiccup (a pause of that server's process).

    :param draws: The draws of the run.
    """

    def __init__(self, *, draws: Draws) -> None:
        self._draws = draws
        self._times: dict[tuple[str, str], float] = {}

    def measure(self, *, query: str, service: str, server: str) -> float:
        """Give the service time of a leg at a healthy server.

        :param query: The query's request id.
        :param service: Name of the service.
        :param server: Name of the server.
        :returns: Seconds.
        """
        place = (query, server)
        known = self._times.get(place)
        if known is not None:
            return known
        shared = SHARED_SIGMA * self._draws.draw_normal("work", query, service)
        own = SERVER_SIGMA * self._draws.draw_normal("own", query, server)
        time_s = MEDIAN_S * math.exp(shared + own)
        if self._draws.draw_uniform("hiccup", query, server) < HICCUP_CHANCE:
            time_s += HICCUP_S
        self._times[place] = time_s
        return time_s
