"""A placement that knows every service time, within the servers' slots.

The clairvoyant bound lets every leg run at once. The oracle takes the slots
into account: queries in order of arrival, each leg at the replica where it
ends first. It tells how much of a latency is queueing that no choice of
replica avoids; it is a policy, not a bound.
"""

import heapq

from bluebellbay_bench.server import FakeServer
from bluebellbay_bench.work import NETWORK_ONE_WAY_S
from bluebellbay_bench.work import WorkModel


class Oracle:
    """Places each query as it arrives.

    :param work: Service times.
    :param servers: The servers of each service.
    :param slots: Slots of each server.
    """

    def __init__(
        self,
        *,
        work: WorkModel,
        servers: dict[str, list[FakeServer]],
        slots: int,
    ) -> None:
        self._work = work
        self._servers = servers
        self._free_at = {
            server.name: [0.0] * slots
            for replicas in servers.values()
            for server in replicas
        }

    def place_query(self, query: str, now: float) -> float:
        """Place every leg of a query.

        :param query: The query's request id.
        :param now: Time of its arrival in seconds.
        :returns: Its latency in seconds.
        """
        ends = [
            self._place_leg(query, service, now) for service in self._servers
        ]
        return max(ends) + NETWORK_ONE_WAY_S - now

    def _place_leg(self, query: str, service: str, now: float) -> float:
        candidates = []
        for server in self._servers[service]:
            if server.condition.silent or server.condition.down:
                continue
            start = max(now + NETWORK_ONE_WAY_S, self._free_at[server.name][0])
            time_s = server.condition.slow_factor * self._work.measure(
                query=query, service=service, server=server.name
            )
            candidates.append((start + time_s, server.name))
        end, name = min(candidates)
        heapq.heapreplace(self._free_at[name], end)
        return end
