"""Which nodes share the limits of client accounts, and who lends.

A node lends for an account only if no other node of its failure domain can
lend for it, whatever that node knows of the members.
"""

from collections.abc import Iterable
import math

from bluebellbay.coordination.routing.quota_division import measure_window
from bluebellbay.protocol.router_rules import QuotaLimits
from bluebellbay.state.rendezvous import hash_name
from bluebellbay.state.store_picture import MAX_VIEW_AGE_S
from bluebellbay.state.value_history import ValueHistory

# A node that is cut off counts for this long, and spends its full allowance
# for less.
COUNT_RETENTION_S = 600.0
# A part that the nodes cut off for longer may spend beside all others.
CUT_OFF_PART = 4

Members = frozenset[str]


def find_lender(members: Iterable[str], account: str) -> str | None:
    """Find the lender of an account among the nodes of a failure domain.

    :param members: Names of the nodes.
    :param account: Name of the account.
    :returns: The node that ranks first; ``None`` without nodes.
    """
    return min(
        members,
        key=lambda name: hash_name(f"quota {account} {name}"),
        default=None,
    )


class QuotaMembers:
    """The members of a node's failure domain, and the number of nodes.

    :param node: Name of this node.
    :param limits: Limits on client accounts.
    :param first_start: Whether the whole fleet starts for the first time, so
        that no other process has spent or lent anything.
    """

    def __init__(
        self, *, node: str, limits: QuotaLimits, first_start: bool
    ) -> None:
        self._node = node
        self._first_start = first_start
        self._window_s = measure_window(limits)
        self._started_at: float | None = None
        self._members: ValueHistory[Members] | None = None
        self._counts: ValueHistory[int] | None = None

    def note_start(self, now: float) -> None:
        """Note that the process runs, unless noted before.

        :param now: Current time in seconds.
        """
        if self._started_at is None:
            self._started_at = now

    def record(self, members: Members, nodes: int, now: float) -> None:
        """Record what the store tells, once it has listed all nodes.

        :param members: Names of the nodes of this failure domain that hold a
            lease. This node is among them only if the store says so.
        :param nodes: Number of nodes of all failure domains.
        :param now: Current time in seconds.
        """
        self.note_start(now)
        if self._counts is None:
            self._counts = ValueHistory(nodes, retention_s=COUNT_RETENTION_S)
        self._counts.replace(nodes, now)
        if self._members is None:
            if self._node not in members:
                return
            # What other nodes did before this one came is not known, unless
            # there was nobody before.
            self._members = ValueHistory(
                members if self._first_start else frozenset(),
                retention_s=self._window_s + MAX_VIEW_AGE_S,
            )
        self._members.replace(members, now)

    def may_spend(self, now: float) -> bool:
        """Tell whether this node may spend its allowance.

        :param now: Current time in seconds.
        """
        return self.measure_spending_wait(now) <= 0

    def measure_spending_wait(self, now: float) -> float:
        """Measure how long this node may not spend its allowance.

        A process that restarted doesn't know what the former one spent.

        :param now: Current time in seconds.
        :returns: Seconds; infinite until all nodes were listed.
        """
        if self._counts is None or self._started_at is None:
            return math.inf
        if self._first_start:
            return 0.0
        return max(0.0, self._started_at + self._window_s - now)

    def count_most(self, confirmed_at: float, now: float) -> int:
        """Return the number of nodes by which the allowance is divided.

        Other nodes drop a node that is cut off from their count. It drops to
        a part of its allowance before they do.

        :param confirmed_at: Time in seconds of the last confirmed view of the
            store.
        :param now: Current time in seconds.
        """
        if self._counts is None:
            return 1
        most = max(self._counts.list_recent(now))
        if now - confirmed_at > COUNT_RETENTION_S - MAX_VIEW_AGE_S:
            return CUT_OFF_PART * most
        return most

    def count_least(self, now: float) -> int:
        """Return the least number of nodes that was known of late.

        :param now: Current time in seconds.
        """
        if self._counts is None:
            return 0
        return min(self._counts.list_recent(now))

    def is_lender(self, account: str) -> bool:
        """Tell whether this node is the lender of an account, as it knows.

        :param account: Name of the account.
        """
        return (
            self._members is not None
            and find_lender(self._members.current, account) == self._node
        )

    def is_settled(
        self, account: str, confirmed_at: float, now: float
    ) -> bool:
        """Tell whether no other node can lend for an account, too.

        :param account: Name of the account.
        :param confirmed_at: Time in seconds of the last confirmed view of the
            store.
        :param now: Current time in seconds.
        """
        if self._members is None or now - confirmed_at > MAX_VIEW_AGE_S:
            return False
        if self.measure_spending_wait(now) > 0:
            return False
        return all(
            find_lender(members, account) == self._node
            for members in self._members.list_recent(now)
        )
