"""A compare-and-swap store with call rates, in virtual time."""

import re
from typing import Final

from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay_bench.claim_setup import ClaimCounts
from bluebellbay_bench.claim_setup import START_S

READS_PER_S: Final = 2000.0
WRITES_PER_S: Final = 400.0
BURST_S: Final = 0.1
RECORDED = re.compile(rb'"request_id":"([^"]+)"[^{}]*"outcome":\{')


class _RateLimit:
    """A bucket of tokens that refills with time."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s * BURST_S
        self._at = START_S

    def take(self, now: float) -> bool:
        """Take a token, if there is one."""
        gained = (now - self._at) * self._per_s
        self._tokens = min(self._per_s * BURST_S, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateLimitedStore:
    """Compare-and-swap with rates, and counts of what was asked."""

    def __init__(
        self, *, counts: ClaimCounts, started: dict[str, float]
    ) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self._counts = counts
        self._started = started
        self._reads = _RateLimit(READS_PER_S)
        self._writes = _RateLimit(WRITES_PER_S)

    def apply(self, command: ReadKey | WriteKey, now: float) -> Event:
        """Carry out a command.

        :param command: The command.
        :param now: Present time in seconds.
        :returns: The event that answers it.
        """
        if isinstance(command, ReadKey):
            return self._read(command, now)
        return self._write(command, now)

    def _read(self, command: ReadKey, now: float) -> Event:
        self._counts.reads += 1
        if not self._reads.take(now):
            return self._refuse(command)
        value, version = self.values.get(command.key, (None, 0))
        return KeyRead(
            correlation_id=command.correlation_id,
            key=command.key,
            value=value,
            version=version,
        )

    def _write(self, command: WriteKey, now: float) -> Event:
        data = command.value or b""
        self._counts.writes += 1
        self._counts.written_bytes += len(data)
        if not self._writes.take(now):
            return self._refuse(command)
        value, version = self.values.get(command.key, (None, 0))
        if version != command.expected_version:
            self._counts.conflicts += 1
            return KeyConflict(
                correlation_id=command.correlation_id,
                key=command.key,
                value=value,
                version=version,
            )
        self.values[command.key] = (data, version + 1)
        for found in RECORDED.findall(data):
            request_id = found.decode()
            if request_id in self._started:
                lag_s = now - self._started[request_id]
                self._counts.recorded.setdefault(request_id, lag_s)
        return KeyWritten(
            correlation_id=command.correlation_id,
            key=command.key,
            version=version + 1,
        )

    def _refuse(self, command: ReadKey | WriteKey) -> Event:
        self._counts.limited += 1
        return StoreCallFailed(
            correlation_id=command.correlation_id, key=command.key, sent=False
        )
