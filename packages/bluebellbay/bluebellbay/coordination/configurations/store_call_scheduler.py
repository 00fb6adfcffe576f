"""Schedule of a node's calls to the store for the configuration."""

from bluebellbay.coordination.configurations.watcher import is_watcher
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WatchKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.configuration import CONFIGURATION_KEY
from bluebellbay.state.node import NodeState

# Spreads the first reads of a fleet that starts at the same time.
START_SPREAD_PER_PEER_S = 0.002
# Fraction of the setting confirm_s. A watch that ends without a change also
# confirms the revision, so watches have to end well within that time.
WATCH_TIMEOUT_FRACTION = 0.3
MIN_CALL_INTERVAL_S = 0.1
DOMAIN_POLL_INTERVAL_S = 5.0
MIN_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0
JITTER_FRACTION = 0.25

StoreCall = ReadKey | WatchKey | WriteKey


class StoreCallScheduler:
    """Decides when a node calls the store, and which call it makes.

    At most one call is pending. Only the watchers of a failure domain keep
    a watch open. The other nodes poll, at an interval that grows with their
    number, so that on average a domain polls once in
    ``DOMAIN_POLL_INTERVAL_S``. After a failure, calls back off
    exponentially.

    :param state: The node's shared state.
    :ivar failures: Number of calls that failed since the last answer.
    """

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._watching = False
        self._version: int | None = None
        self._ticket = ""
        self._call_count = 0
        self._last_call_at = 0.0
        self._call_deadline = 0.0
        self._next_call_at: float | None = None
        self.failures = 0

    def next_wake(self) -> float | None:
        """Return the time at which ``start_due_call`` is due.

        :returns: Deadline of the pending call or time of the next one, in
            seconds; none before ``start``.
        """
        return self._call_deadline if self._ticket else self._next_call_at

    def start(self, now: float) -> None:
        """Schedule the first read, with a random delay.

        The delay's range grows with the fleet to bound the store's load.

        :param now: Current Unix time in seconds.
        """
        spread_s = START_SPREAD_PER_PEER_S * len(self._state.fleet.peers)
        self._next_call_at = now + self._state.rng.uniform(0, spread_s)
        self._assign_role()

    def refresh_role(self, now: float) -> None:
        """Decide again whether this node is a watcher of its domain.

        A node that has become a watcher need not wait for its next poll.

        :param now: Current Unix time in seconds.
        """
        was_watching = self._watching
        self._assign_role()
        if self._watching and not was_watching:
            self.expedite(now)

    def expedite(self, now: float) -> None:
        """Move the next call forward, unless calls are backing off.

        The call still comes about ``MIN_RETRY_DELAY_S`` after the previous
        one at the earliest.

        :param now: Current Unix time in seconds.
        """
        earliest = max(
            now, self._last_call_at + self._add_jitter(MIN_RETRY_DELAY_S)
        )
        if self._next_call_at is not None and not self.failures:
            self._next_call_at = min(self._next_call_at, earliest)

    def start_due_call(self, now: float) -> StoreCall | None:
        """Start the read or watch that is due.

        :param now: Current Unix time in seconds.
        :returns: The call; none if none is due or one is still pending.
        """
        if (
            self._ticket
            or self._next_call_at is None
            or now < self._next_call_at
        ):
            return None
        if self._version is None or self.failures or not self._watching:
            return ReadKey(
                correlation_id=self._start_call(now, 0.0),
                key=CONFIGURATION_KEY,
            )
        confirm_s = self._state.settings.fleet.confirm_s
        timeout_s = self._add_jitter(confirm_s * WATCH_TIMEOUT_FRACTION)
        return WatchKey(
            correlation_id=self._start_call(now, timeout_s),
            key=CONFIGURATION_KEY,
            known_version=self._version,
            timeout_s=timeout_s,
        )

    def expire_call(self, now: float) -> bool:
        """Count a pending call as failed if its deadline has passed.

        :param now: Current Unix time in seconds.
        :returns: Whether a call was counted as failed.
        """
        if not self._ticket or now < self._call_deadline:
            return False
        self.record_failure(now)
        return True

    def start_write(self, value: bytes, version: int, now: float) -> StoreCall:
        """Start a write by compare-and-swap.

        The write becomes the pending call, so a caller starts it only after
        an answer.

        :param value: The document in JSON.
        :param version: Version of the key that the store must hold, or the
            write ends in a conflict; 0 if the key must be absent.
        :param now: Current Unix time in seconds.
        :returns: The call.
        """
        return WriteKey(
            correlation_id=self._start_call(now, 0.0),
            key=CONFIGURATION_KEY,
            value=value,
            expected_version=version,
        )

    def is_pending(self, ticket: str) -> bool:
        """Check whether an answer belongs to the pending call.

        :param ticket: Ticket of the answer.
        """
        return bool(ticket) and ticket == self._ticket

    def record_answer(self, version: int, now: float) -> None:
        """End the pending call and schedule the next one.

        :param version: The store's version of the key; 0 if absent.
        :param now: Current Unix time in seconds.
        """
        self._ticket = ""
        self._version = version
        self.failures = 0
        self._next_call_at = now + self._compute_delay_s(now)

    def record_failure(self, now: float) -> None:
        """End the pending call as failed and schedule a retry.

        The delay doubles with each failure up to ``MAX_RETRY_DELAY_S``. A
        node that is no watcher waits for its poll interval at least.

        :param now: Current Unix time in seconds.
        """
        self._ticket = ""
        self.failures += 1
        delay_s = min(
            MIN_RETRY_DELAY_S * 2 ** min(self.failures - 1, 8),
            MAX_RETRY_DELAY_S,
        )
        if not self._watching:
            delay_s = max(delay_s, self._compute_poll_interval_s())
        self._next_call_at = now + self._add_jitter(delay_s)

    def _assign_role(self) -> None:
        self._watching = is_watcher(
            self._state.fleet, watchers=self._state.settings.fleet.watchers
        )

    def _start_call(self, now: float, watch_timeout_s: float) -> str:
        self._call_count += 1
        self._ticket = f"configuration-{self._call_count}"
        self._last_call_at = now
        timeout_s = self._state.settings.platform.store_timeout_s
        self._call_deadline = now + watch_timeout_s + 2 * timeout_s
        return self._ticket

    def _compute_delay_s(self, now: float) -> float:
        if self._watching:
            return max(0.0, self._last_call_at + MIN_CALL_INTERVAL_S - now)
        return self._add_jitter(self._compute_poll_interval_s())

    def _compute_poll_interval_s(self) -> float:
        return DOMAIN_POLL_INTERVAL_S * (
            1 + len(self._state.fleet.list_domain_peers())
        )

    def _add_jitter(self, duration_s: float) -> float:
        return duration_s * self._state.rng.uniform(
            1 - JITTER_FRACTION, 1 + JITTER_FRACTION
        )
