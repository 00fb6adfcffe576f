"""Callers that send queries at the same time and keep what they got."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import concurrent.futures
import dataclasses
import math
import threading
import time
import uuid

from bluebellbay_standins.client import Reply
from bluebellbay_standins.cluster import Cluster
from bluebellbay_standins.verdict import find_faults

DEFAULT_CALLERS = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """One query that a caller sends.

    :param entry: Name of the entry VM that it is sent to.
    :param index: Name of the index.
    :param profile: Name of the profile.
    :param coverage_floor: Least coverage of that profile.
    :param request_id: The caller's request id.
    """

    entry: str
    index: str
    profile: str
    coverage_floor: float
    request_id: str = dataclasses.field(
        default_factory=lambda: uuid.uuid4().hex
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """What came of one query.

    :param query: The query.
    :param reply: The answer; none if the connection failed or broke.
    :param began_at: Unix time in seconds when it was sent.
    :param latency_s: Time in seconds until its answer or end.
    """

    query: Query
    reply: Reply | None
    began_at: float
    latency_s: float

    @property
    def outcome(self) -> str:
        """The outcome stated, or ``broken``."""
        if self.reply is None or not isinstance(self.reply.body, dict):
            return "broken"
        return str(self.reply.body.get("outcome"))

    def find_faults(self, snapshots: Iterable[int]) -> tuple[str, ...]:
        """List everything that is wrong with the answer, if there is one.

        :param snapshots: Snapshots that may have been read.
        :returns: One phrase for each fault.
        """
        if self.reply is None:
            return ()
        return find_faults(
            self.reply,
            request_id=self.query.request_id,
            index=self.query.index,
            snapshots=snapshots,
            coverage_floor=self.query.coverage_floor,
        )


def send_query(cluster: Cluster, query: Query) -> Sample:
    """Send one query and wait for its answer.

    :param cluster: The cluster.
    :param query: The query.
    :returns: What came of it.
    """
    began_at = time.time()
    started = time.monotonic()
    reply: Reply | None
    try:
        reply = cluster.query(
            query.entry,
            query.index,
            request_id=query.request_id,
            profile=query.profile,
            query={"text": query.request_id},
        )
    except OSError:
        reply = None
    return Sample(
        query=query,
        reply=reply,
        began_at=began_at,
        latency_s=time.monotonic() - started,
    )


def send_queries(
    cluster: Cluster,
    queries: Sequence[Query],
    callers: int = DEFAULT_CALLERS,
) -> tuple[Sample, ...]:
    """Send queries from several callers at once.

    :param cluster: The cluster.
    :param queries: The queries.
    :param callers: Queries under way at once.
    :returns: What came of each.
    """
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        return tuple(
            pool.map(lambda query: send_query(cluster, query), queries)
        )


class SteadyLoad:
    """Callers that go on sending until they are stopped.

    :param cluster: The cluster.
    :param draw: Makes the next query of a caller, by its number.
    :param callers: Number of callers.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        draw: Callable[[int], Query],
        callers: int = DEFAULT_CALLERS,
    ) -> None:
        self.samples: list[Sample] = []
        self._cluster = cluster
        self._draw = draw
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(callers)
        ]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> tuple[Sample, ...]:
        """Stop the callers after the answers under way.

        :returns: What came of every query.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return tuple(self.samples)

    def _run(self, number: int) -> None:
        while not self._stopping.is_set():
            query = self._draw(number)
            self.samples.append(send_query(self._cluster, query))


def pick_quantile(values: Iterable[float], quantile: float) -> float:
    """Pick the value that a share of the values does not exceed.

    :param values: The values, at least one.
    :param quantile: The share, 0 to 1.
    :returns: The value.
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(quantile * len(ordered)) - 1)]
