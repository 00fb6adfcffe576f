"""Evacuations and cold starts in a soak test, and what must hold."""

import time

from soak_accounts import count_most_in_window

EVACUATED_ZONE = "zone-b"
EVACUATION_S = 5.0
# A period in which the store could be reached for less is not judged.
MIN_REACHABLE_S = 2.0
# From the sending of a request until a replica's thread has read its head.
RECEIPT_DELAY_S = 0.5
EVACUATION_STEPS_S = (1.0, 9.0)
CYCLE_S = 12.0
WARMUP_S = 3.0
WARMUP_PER_S = 2.0
WARMUP_OVERAGE = 1.5
WARMUP_SLACK = 5


class ZoneOperator:
    """Evacuates a zone and restores it, over and over.

    :param store: The store.
    """

    def __init__(self, store):
        self._store = store
        self._started_at = None
        self._since = None
        self._periods = []
        self._outages = []

    def steer(self):
        """Evacuate or restore the zone if it is time to.

        The first cycle starts with the first call: programs that take seconds
        to start must not leave an evacuation too short to be judged.
        """
        if self._started_at is None:
            self._started_at = time.monotonic()
        phase_s = (time.monotonic() - self._started_at) % CYCLE_S
        first_s, last_s = EVACUATION_STEPS_S
        is_due = first_s <= phase_s < last_s
        if is_due and self._since is None:
            # Any value counts, also one that can't be read.
            self._store.put_text(f"op/evacuate/{EVACUATED_ZONE}", "?")
            self._since = time.monotonic()
        elif not is_due:
            self.restore()

    def restore(self):
        """End an evacuation if there is one."""
        if self._since is not None:
            self._periods.append((self._since, time.monotonic()))
            self._since = None
            self._store.delete(f"op/evacuate/{EVACUATED_ZONE}")

    def record_outage(self, since, until):
        """Record that the store could not be reached for a time."""
        self._outages.append((since, until))

    def check(self, replicas):
        """Check that nothing was sent to the zone later than allowed.

        :returns: Seconds that were judged; 0 if all evacuations were too
            short, or the store was away for too long.
        """
        judged_s = 0.0
        for since, until in self._periods:
            limit = since + EVACUATION_S + RECEIPT_DELAY_S
            if self._count_reachable_s(since) < MIN_REACHABLE_S:
                continue
            judged_s += max(0.0, until - limit)
            late = [
                (replica.replica_id, receipt.at - since)
                for replica in replicas
                if replica.zone == EVACUATED_ZONE
                for receipt in replica.receipts
                if limit < receipt.at < until
            ]
            assert not late, f"sent to an evacuated zone: {late[:5]}"
        return judged_s

    def _count_reachable_s(self, since):
        """Count the seconds for which the news could be read in time."""
        limit = since + EVACUATION_S
        return EVACUATION_S - sum(
            max(0.0, min(end, limit) - max(start, since))
            for start, end in self._outages
        )


def restart_cold(store, replica):
    """Let a replica come back cold under another id."""
    store.delete(f"servers/{replica.replica_id}")
    replica.restart_cold(WARMUP_S)
    store.put(f"servers/{replica.replica_id}", replica.build_entry())


def check_cold(replica, cold_starts):
    """Check that a cold replica ran no more than it may in any second.

    :param replica: The replica.
    :param cold_starts: When it came back cold.
    """
    limit = WARMUP_PER_S * WARMUP_OVERAGE + WARMUP_SLACK
    for start in cold_starts:
        times = [
            receipt.at
            for receipt in replica.receipts
            if receipt.ran and start <= receipt.at < start + WARMUP_S
        ]
        count = count_most_in_window(times, 1.0)
        assert count <= limit, (
            f"{replica.replica_id} ran {count} requests in a second while "
            f"cold, above {limit}"
        )
