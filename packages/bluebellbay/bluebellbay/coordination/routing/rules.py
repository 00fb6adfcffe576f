"""Applies changed settings."""

import dataclasses

from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.registry import RulesReloaded


class RulesPart(RoutingPart):
    """Applies changed settings while the process runs."""

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {RulesReloaded: self._apply_rules}

    def _apply_rules(self, event: RulesReloaded, now: float) -> None:
        del now
        former = self.state.rules
        # Identity and start of the node are fixed for the life of the process.
        rules = dataclasses.replace(
            event.rules,
            node=former.node,
            failure_domain=former.failure_domain,
            first_start=former.first_start,
            nodes=former.nodes,
            # What was spent is kept for the window of the start.
            quota=dataclasses.replace(
                event.rules.quota,
                window_s=former.quota.window_s,
                domains=former.quota.domains,
            ),
        )
        if rules == former:
            return
        self.state.rules = rules
        self.context.log(
            "Applied changed limits of the settings.",
            retry_share=rules.retries.share,
            retry_slack=rules.retries.slack,
            retry_window_s=rules.retries.window_s,
            grace_s=rules.grace_s,
            change_limit_s=rules.store.change_limit_s,
            removal_limit_s=rules.store.removal_limit_s,
            recovery_limit_s=rules.store.recovery_limit_s,
            heartbeat_s=rules.store.heartbeat_s,
            quota_overage=rules.quota.overage,
            quota_slack=rules.quota.slack,
        )
