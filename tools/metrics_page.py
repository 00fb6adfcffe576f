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


QUESTIONS = {
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


def print_page() -> str:
    """Make the page.

    :returns: Markdown.
    """
    metrics = Metrics(
        registry=CollectorRegistry(), is_known_profile=lambda name: True
    )
    found = [
        item
        for item in vars(metrics).values()
        if isinstance(item, MetricWrapperBase)
    ]
    rows = []
    for item in found:
        name = item._name + ("_total" if item._type == "counter" else "")
        labels = ", ".join(f"`{label}`" for label in item._labelnames)
        rows.append(
            f"| `{name}` | {item._type} | {labels} | {item._documentation} |"
        )
    questions = ["| question | query |", "| --- | --- |"]
    questions += [f"| {key} | `{text}` |" for key, text in QUESTIONS.items()]
    header = HEADER.replace("{questions}", "\n".join(questions) + "\n")
    return header + "\n".join(rows) + "\n"


if __name__ == "__main__":
    sys.stdout.write(print_page())
