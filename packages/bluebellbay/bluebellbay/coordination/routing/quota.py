"""Decides whether a request of a client account runs under its quota."""

import dataclasses
import random

from bluebellbay.coordination.routing.quota_division import compute_allowance
from bluebellbay.coordination.routing.quota_division import compute_regular
from bluebellbay.coordination.routing.quota_division import measure_window
from bluebellbay.coordination.routing.quota_members import QuotaMembers
from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.router_rules import QuotaLimits
from bluebellbay.state.swept_table import SweptTable
from bluebellbay.state.window_ledger import WindowLedger

# A grant whose request didn't run may be used by another one for this time.
GRANT_REUSE_S = 0.3
# Callers that are refused together must not return together.
RETRY_JITTER = 0.5
# A refusal that knows no room asks for a return after this time.
UNKNOWN_ROOM_S = 1.0
MIN_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaToken:
    """The right to run one request.

    :param account: Name of the client account.
    :param spent_at: Time in seconds when it was spent, or asked for.
    :param granted: Whether a lender granted it; otherwise it is of this
        node's allowance.
    """

    account: str
    spent_at: float
    granted: bool


class _AccountUse:
    """What this node has spent of one account, and where there is no room."""

    __slots__ = ("full_until", "grants", "spent")

    def __init__(self, *, kept_s: float) -> None:
        self.spent = WindowLedger(kept_s=kept_s)
        self.grants: list[QuotaToken] = []
        # Until when each lender has no room, as time in seconds.
        self.full_until: dict[str, float] = {}

    def is_idle(self, now: float) -> bool:
        return not (
            self.spent.count(now)
            or self.grants
            or any(until > now for until in self.full_until.values())
        )


class QuotaBorrower:
    """Spends this node's allowances, and the grants of lenders.

    :param members: Tells the number of nodes, and whether to spend.
    :param limits: Limits on client accounts.
    :param rng: Source of the jitter.
    """

    def __init__(
        self,
        *,
        members: QuotaMembers,
        limits: QuotaLimits,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._rng = rng
        self._kept_s = measure_window(limits)
        self._uses = SweptTable(
            create=lambda: _AccountUse(kept_s=self._kept_s),
            is_idle=_AccountUse.is_idle,
        )

    def spend(
        self,
        account: ClientAccount,
        limits: QuotaLimits,
        *,
        confirmed_at: float,
        now: float,
    ) -> QuotaToken | None:
        """Spend an unused grant, or a request of this node's allowance.

        :param account: The account, which has a rate.
        :param limits: Limits on client accounts.
        :param confirmed_at: Time in seconds of the last confirmed view of the
            store.
        :param now: Current time in seconds.
        :returns: The token; ``None`` if a lender is to be asked.
        """
        use = self._uses.get(account.name, now)
        while use.grants:
            token = use.grants.pop()
            if now <= token.spent_at + GRANT_REUSE_S:
                return token
        if not self._members.may_spend(now):
            return None
        allowance = self._compute_allowance(account, limits, confirmed_at, now)
        if use.spent.count(now) >= allowance:
            return None
        use.spent.add(now)
        return QuotaToken(account=account.name, spent_at=now, granted=False)

    def give_back(self, token: QuotaToken) -> None:
        """Take back a token whose request has not run.

        :param token: The token; a grant may be used by another request.
        """
        use = self._uses.find(token.account)
        if use is None:
            return
        if token.granted:
            use.grants.append(token)
        else:
            use.spent.take_back(token.spent_at)

    def is_full(self, account: str, lender: str, now: float) -> bool:
        """Tell whether a lender said that it has no room yet.

        :param account: Name of the account.
        :param lender: Name of the lender.
        :param now: Current time in seconds.
        """
        use = self._uses.find(account)
        return use is not None and use.full_until.get(lender, 0.0) > now

    def record_refusal(
        self, account: str, lender: str, room_s: float, now: float
    ) -> None:
        """Record that a lender has no room.

        :param account: Name of the account.
        :param lender: Name of the lender.
        :param room_s: Seconds until it has, as it said.
        :param now: Current time in seconds.
        """
        use = self._uses.get(account, now)
        # A lender that says more doesn't know the limits in force here.
        use.full_until[lender] = now + min(room_s, self._kept_s)

    def compute_retry_after(
        self,
        account: ClientAccount,
        limits: QuotaLimits,
        *,
        confirmed_at: float,
        now: float,
    ) -> float:
        """Compute after how many seconds a refused caller may return.

        :param account: The account.
        :param limits: Limits on client accounts.
        :param confirmed_at: Time in seconds of the last confirmed view of the
            store.
        :param now: Current time in seconds.
        :returns: Seconds until there is room, as far as is known, with
            jitter of up to half.
        """
        use = self._uses.get(account.name, now)
        waits = [
            until - now for until in use.full_until.values() if until > now
        ]
        allowance = self._compute_allowance(account, limits, confirmed_at, now)
        if allowance > 0:
            waits.append(
                max(
                    self._members.measure_spending_wait(now),
                    use.spent.measure_wait(allowance, now),
                )
            )
        room_s = min(waits, default=UNKNOWN_ROOM_S)
        room_s = max(MIN_RETRY_AFTER_S, min(room_s, self._kept_s))
        return room_s * (1 + RETRY_JITTER * self._rng.random())

    def count_spent(self, account: str, now: float) -> int:
        """Count what was spent of this node's allowance in the window.

        :param account: Name of the account.
        :param now: Current time in seconds.
        """
        return self._uses.get(account, now).spent.count(now)

    def _compute_allowance(
        self,
        account: ClientAccount,
        limits: QuotaLimits,
        confirmed_at: float,
        now: float,
    ) -> int:
        return compute_allowance(
            compute_regular(account, limits),
            self._members.count_most(confirmed_at, now),
        )
