"""Steps for the comparison of ways to keep an account's limit."""

import behave

from bluebellbay.protocol.account import ClientAccount
from bluebellbay_bench import quota_ways

ACCOUNT = ClientAccount(name="account", rate_per_s=8.0, burst=16.0)


def measure_most(way, event, *, nodes=4):
    situation = quota_ways.Situation(
        account=ACCOUNT, nodes=nodes, callers=4, event=event, seed=1
    )
    return quota_ways.measure(way, situation, quota_ways.ABOVE)[1]


@behave.then("nodes with lenders run at most the limit in each situation")
def check_lenders(context):
    del context
    for event in quota_ways.EVENTS:
        for nodes in (4, 35, 74):
            most = measure_most(quota_ways.DomainLenders, event, nodes=nodes)
            assert 0.4 < most <= 1, (event, nodes, most)


@behave.then("shares that follow demand run above the limit after a restart")
def check_demand(context):
    del context
    assert measure_most(quota_ways.DemandShares, "all restart") > 1
