"""Prints docs/METRICS.md from the metrics that a daemon publishes."""

import sys

from prometheus_client import CollectorRegistry
from prometheus_client.metrics import MetricWrapperBase

from bluebellbayd.metrics import Metrics

HEADER = """# Metrics

`GET /metrics` at an entry VM. This page is printed from the code by
`tools/metrics_page.py`, and a test compares the two. A profile's label is
empty for a name that is not in force.

What our users measure:

{questions}
| metric | kind | labels | meaning |
| --- | --- | --- | --- |
"""


EXAMPLE_QUERIES = {
    "tail latency": "histogram_quantile(0.99, sum by (le, profile) "
    "(rate(bluebellbay_answer_seconds_bucket[1m])))",
    "coverage": "sum by (profile) "
    "(rate(bluebellbay_answer_coverage_sum[1m])) / sum by (profile) "
    "(rate(bluebellbay_answer_coverage_count[1m]))",
    "extra load": "sum by (profile) "
    '(rate(bluebellbay_legs_total{extra="yes"}[10s])) / sum by (profile) '
    '(rate(bluebellbay_legs_total{extra="no"}[10s]))',
    "refusals by kind": "sum by (profile, kind) "
    "(rate(bluebellbay_errors_total[1m]))",
}


def build_page() -> str:
    """Make the page.

    :returns: Markdown.
    """
    metrics = Metrics(
        registry=CollectorRegistry(), knows_profile=lambda name: True
    )
    collectors = [
        collector
        for collector in vars(metrics).values()
        if isinstance(collector, MetricWrapperBase)
    ]
    rows = []
    for collector in collectors:
        name = collector._name + (
            "_total" if collector._type == "counter" else ""
        )
        labels = ", ".join(f"`{label}`" for label in collector._labelnames)
        rows.append(
            f"| `{name}` | {collector._type} | {labels} | "
            f"{collector._documentation} |"
        )
    query_rows = ["| question | query |", "| --- | --- |"]
    query_rows += [
        f"| {key} | `{query}` |" for key, query in EXAMPLE_QUERIES.items()
    ]
    header = HEADER.replace("{questions}", "\n".join(query_rows) + "\n")
    return header + "\n".join(rows) + "\n"


if __name__ == "__main__":
    sys.stdout.write(build_page())
