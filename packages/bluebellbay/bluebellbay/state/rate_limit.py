"""Rate limits that replicas name in their answers."""

import dataclasses
import math

from bluebellbay.state.window_ledger import WindowLedger

# Requests of this time are counted together.
WINDOW_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitNotice:
    """What a replica last said of the rate at which it takes requests.

    :param per_s: Requests a second from all nodes together; ``None`` if it
        names no limit any more.
    :param heard_at: Time in seconds when a node heard it from the replica.
    """

    per_s: float | None
    heard_at: float


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class RateLimitRecord:
    """The rate limit of one incarnation of a replica, as this node knows it.

    :param notice: What the replica last said.
    :param since: Time in seconds since when it names a limit or names none.
    :param sends: Requests of this node in the last ``WINDOW_S``.
    :param spent: Requests in this time of the part that this node has as a
        lender, its own and those that it lent.
    :param spent_at: Time in seconds of the last one.
    :param full_until: Until when each lender has no room, in seconds.
    :param asked_at: Time in seconds when a lender was last asked.
    :param logged_at: Time in seconds of the last log line about it.
    """

    notice: RateLimitNotice
    since: float
    sends: WindowLedger = dataclasses.field(
        default_factory=lambda: WindowLedger(kept_s=WINDOW_S)
    )
    spent: WindowLedger = dataclasses.field(
        default_factory=lambda: WindowLedger(kept_s=WINDOW_S)
    )
    spent_at: float = -math.inf
    full_until: dict[str, float] = dataclasses.field(default_factory=dict)
    asked_at: float = -math.inf
    logged_at: float = 0.0

    def note_send(self, now: float) -> None:
        """Count a request of this node, whoever has permitted it.

        :param now: Current time in seconds.
        """
        self.sends.count(now)
        self.sends.add(now)

    @property
    def per_s(self) -> float | None:
        """Requests a second that it takes; ``None`` without a limit."""
        return self.notice.per_s
