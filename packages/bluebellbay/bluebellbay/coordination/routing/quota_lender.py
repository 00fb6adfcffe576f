"""Lends requests of client accounts to the nodes of the fleet."""

from bluebellbay.coordination.routing.quota_division import compute_lent
from bluebellbay.coordination.routing.quota_division import compute_regular
from bluebellbay.coordination.routing.quota_division import compute_reserve
from bluebellbay.coordination.routing.quota_division import measure_window
from bluebellbay.coordination.routing.quota_members import QuotaMembers
from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.quota import LenderAnswered
from bluebellbay.protocol.quota import QuotaAsk
from bluebellbay.protocol.router_rules import QuotaLimits
from bluebellbay.state.swept_table import SweptTable
from bluebellbay.state.window_ledger import WindowLedger

# A node that may not lend now may soon; who asks again finds out.
NOT_LENDING_WAIT_S = 1.0


class QuotaLender:
    """A ledger of what this node has lent, by client account.

    :param members: Tells whether this node is the lender.
    :param limits: Limits on client accounts, for the length of the window.
    :param failure_domain: Failure domain of this node.
    """

    def __init__(
        self,
        *,
        members: QuotaMembers,
        limits: QuotaLimits,
        failure_domain: str,
    ) -> None:
        self._members = members
        self._failure_domain = failure_domain
        kept_s = measure_window(limits)
        self._ledgers = SweptTable(
            create=lambda: WindowLedger(kept_s=kept_s),
            is_idle=lambda ledger, now: not ledger.count(now),
        )

    def lend(
        self,
        ask: QuotaAsk,
        account: ClientAccount | None,
        limits: QuotaLimits,
        *,
        confirmed_at: float,
        now: float,
    ) -> LenderAnswered:
        """Grant what there is room for.

        :param ask: What a node asks for.
        :param account: The account in the configuration in force here;
            ``None`` if there is none of its name.
        :param limits: Limits on client accounts.
        :param confirmed_at: Time in seconds of the last confirmed view of the
            store.
        :param now: Current time in seconds.
        :returns: What is granted, or when there is room; its ``attempt`` is 0.
        """
        if (
            account is None
            or self._failure_domain not in limits.domains
            or not self._members.is_lender(account.name)
        ):
            return _refuse(NOT_LENDING_WAIT_S)
        ledger = self._ledgers.get(account.name, now)
        lent = self._compute_lent(account, limits, confirmed_at, now)
        if account.rate_per_s <= 0:
            # Only the asking node's configuration has a limit.
            lent = ledger.count(now) + ask.count
        granted = min(ask.count, lent - ledger.count(now))
        if granted < 1:
            return _refuse(ledger.measure_wait(lent, now))
        for _ in range(granted):
            ledger.add(now)
        return LenderAnswered(attempt=0, granted=granted, room_s=0.0)

    def _compute_lent(
        self,
        account: ClientAccount,
        limits: QuotaLimits,
        confirmed_at: float,
        now: float,
    ) -> int:
        domains = len(limits.domains)
        reserve = compute_reserve(account, limits, domains)
        if not self._members.is_settled(account.name, confirmed_at, now):
            return reserve
        lent = compute_lent(
            compute_regular(account, limits),
            self._members.count_least(now),
            domains,
        )
        return max(lent, reserve)


def _refuse(room_s: float) -> LenderAnswered:
    return LenderAnswered(attempt=0, granted=0, room_s=room_s)
