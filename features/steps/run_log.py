"""Record of a run's requests and faults, for the report page."""

import collections
import pathlib
import time

import msgspec

from bluebellbay_report.record import RunEvent
from bluebellbay_report.record import RunRecord
from bluebellbay_report.record import Window

NOT_EXECUTED_STATUSES = (401, 408, 421, 429, 503)


class RunLog:
    """Records requests and faults of a run, for the report page."""

    def __init__(self, title):
        self._title = title
        self._started_at = time.monotonic()
        self._calls = []
        self._events = []

    def record_call(self, started_at, status):
        ms = (time.monotonic() - started_at) * 1000
        self._calls.append((started_at - self._started_at, status, ms))

    def record_fault(self, fault):
        start_s = time.monotonic() - self._started_at
        try:
            fault()
        finally:
            self._events.append(
                RunEvent(
                    start_s=start_s,
                    end_s=time.monotonic() - self._started_at,
                    name=fault.__name__.strip("_"),
                )
            )

    def write(self, path):
        by_second = collections.defaultdict(list)
        for start_s, status, ms in self._calls:
            by_second[int(start_s)].append((status, ms))
        record = RunRecord(
            title=self._title,
            windows=tuple(
                build_window(second, calls)
                for second, calls in sorted(by_second.items())
            ),
            troubles=tuple(self._events),
        )
        pathlib.Path(path).write_bytes(msgspec.json.encode(record))


def build_window(second, calls):
    latencies_ms = sorted(ms for _, ms in calls)
    in_time = sum(200 <= status < 300 for status, _ in calls)
    refused = sum(status in NOT_EXECUTED_STATUSES for status, _ in calls)
    return Window(
        start_s=float(second),
        asked=len(calls),
        in_time=in_time,
        late=0,
        refused=refused,
        failed=len(calls) - in_time - refused,
        median_ms=latencies_ms[len(latencies_ms) // 2],
        tail_ms=latencies_ms[int(0.99 * len(latencies_ms))],
    )
