"""When a node asks the store for the configuration, and how."""

from bluebellbay.coordination.configurations.watcher import is_watcher
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WatchKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.configuration import CONFIGURATION_KEY
from bluebellbay.state.node import NodeState

START_SPREAD_S = 0.002
WATCH_SHARE = 0.3
MIN_CALL_GAP_S = 0.1
POLL_S = 5.0
RETRY_S = 0.5
MAX_RETRY_S = 8.0
JITTER = 0.25

StoreCall = ReadKey | WatchKey | WriteKey


class StoreWatch:
    """Paces one node's calls to the store for the configuration.

    Only the watchers of a failure domain hold a watch. The other nodes
    poll so slowly that a whole domain makes one poll in ``POLL_S``.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._watching = False
        self._version: int | None = None
        self._ticket = ""
        self._calls = 0
        self._called_at = 0.0
        self._give_up_at = 0.0
        self._next_at: float | None = None
        self.failures = 0

    def next_wake(self) -> float | None:
        """Name the time at which ``step`` has something to do.

        :returns: Time in seconds, or none before the start.
        """
        return self._give_up_at if self._ticket else self._next_at

    def start(self, now: float) -> None:
        """Set the first read, spread over more time in a larger fleet.

        :param now: Present time in seconds.
        """
        spread_s = START_SPREAD_S * len(self._state.fleet.peers)
        self._next_at = now + self._state.rng.uniform(0, spread_s)
        self._choose_role()

    def review_role(self, now: float) -> None:
        """Take up the watch if this node has become a watcher.

        :param now: Present time in seconds.
        """
        was_watching = self._watching
        self._choose_role()
        if self._watching and not was_watching:
            self.hasten(now)

    def hasten(self, now: float) -> None:
        """Bring the next call forward.

        :param now: Present time in seconds.
        """
        soon = max(now, self._called_at + self._jitter(RETRY_S))
        if self._next_at is not None and not self.failures:
            self._next_at = min(self._next_at, soon)

    def step(self, now: float) -> StoreCall | None:
        """Make the call that is due.

        :param now: Present time in seconds.
        :returns: The call, or none.
        """
        if self._ticket and now >= self._give_up_at:
            self.record_failure(now)
        if self._ticket or self._next_at is None or now < self._next_at:
            return None
        if self._version is None or self.failures or not self._watching:
            return ReadKey(
                correlation_id=self._open_call(now, 0.0), key=CONFIGURATION_KEY
            )
        confirm_s = self._state.settings.fleet.confirm_s
        timeout_s = self._jitter(confirm_s * WATCH_SHARE)
        return WatchKey(
            correlation_id=self._open_call(now, timeout_s),
            key=CONFIGURATION_KEY,
            known_version=self._version,
            timeout_s=timeout_s,
        )

    def write(self, value: bytes, version: int, now: float) -> StoreCall:
        """Bring the store up by compare-and-swap.

        :param value: The document's bytes.
        :param version: The store's version that must stand.
        :param now: Present time in seconds.
        :returns: The call.
        """
        return WriteKey(
            correlation_id=self._open_call(now, 0.0),
            key=CONFIGURATION_KEY,
            value=value,
            expected_version=version,
        )

    def owns(self, ticket: str) -> bool:
        """Say whether an answer is to the call under way.

        :param ticket: Ticket of the answer.
        :returns: Whether it is.
        """
        return bool(ticket) and ticket == self._ticket

    def record_answer(self, version: int, now: float) -> None:
        """Note that the store answered, and set the next call.

        :param version: The store's version of the key.
        :param now: Present time in seconds.
        """
        self._ticket = ""
        self._version = version
        self.failures = 0
        self._next_at = now + self._find_pause_s(now)

    def record_failure(self, now: float) -> None:
        """Note that the store did not answer, and back off.

        :param now: Present time in seconds.
        """
        self._ticket = ""
        self.failures += 1
        pause_s = min(RETRY_S * 2 ** min(self.failures - 1, 8), MAX_RETRY_S)
        if not self._watching:
            pause_s = max(pause_s, self._find_poll_s())
        self._next_at = now + self._jitter(pause_s)

    def _choose_role(self) -> None:
        self._watching = is_watcher(
            self._state.fleet, watchers=self._state.settings.fleet.watchers
        )

    def _open_call(self, now: float, wait_s: float) -> str:
        self._calls += 1
        self._ticket = f"configuration-{self._calls}"
        self._called_at = now
        timeout_s = self._state.settings.platform.store_timeout_s
        self._give_up_at = now + wait_s + 2 * timeout_s
        return self._ticket

    def _find_pause_s(self, now: float) -> float:
        if self._watching:
            return max(0.0, self._called_at + MIN_CALL_GAP_S - now)
        return self._jitter(self._find_poll_s())

    def _find_poll_s(self) -> float:
        return POLL_S * (1 + len(self._state.fleet.list_domain_peers()))

    def _jitter(self, time_s: float) -> float:
        return time_s * self._state.rng.uniform(1 - JITTER, 1 + JITTER)
