"""Steps for the HTML pages of bench and soak runs."""

import contextlib
import io
import json
import pathlib
import tempfile
import time

import behave
from run_log import RunLog

from bluebellbay_report.__main__ import main

REPORT = {
    "G": 0.764,
    "served": 0.95,
    "breaks": {"TWICE": 1},
    "prices": [["GB between zones", 0.017, 0.097]],
    "windows": [
        {
            "name": str(second),
            "n": 10,
            "in_aim": 8,
            "late": 1,
            "refused": 0,
            "failed": 1,
            "p50_ms": 80.5,
            "p99_ms": 231.0,
        }
        for second in range(0, 10, 2)
    ],
    "events": [
        {"at_s": 3.5, "to_s": 8.9, "kind": "zone_cut", "what": "zone-b"}
    ],
}


def write_input_file(context, name, content):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = pathlib.Path(folder.name) / name
    context.file.write_text(content, encoding="utf-8")


@behave.given("a bench report with a zone_cut event and a rule violation")
def step_write_bench_report(context):
    write_input_file(context, "report.json", json.dumps(REPORT))


@behave.given("the record of a soak run")
def step_write_soak_record(context):
    write_input_file(context, "soak.json", "")
    log = RunLog("soak, seed 1")
    log.record_fault(lambda: None)
    log.record_call(time.monotonic(), 200)
    log.write(context.file)


@behave.given("a file that is not valid JSON")
def step_write_invalid_report(context):
    write_input_file(context, "garbage.json", "{]")


@behave.when("the report command is run on the file")
def step_build_page(context):
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors):
        context.code = main([str(context.file)])
    context.errors = errors.getvalue()
    page = context.file.with_suffix(".html")
    context.page = page.read_text("utf-8") if page.exists() else ""


@behave.then("the page names the event, the rule violation and the deduction")
def check_page_text(context):
    assert context.code == 0
    for text in ("zone_cut", "TWICE 1", "GB between zones", "-0.097"):
        assert text in context.page, text


@behave.then("the page has an SVG with latency and shares of requests")
def check_page_plots(context):
    assert context.code == 0, context.errors
    for text in ("<svg", "latency in ms", "share of requests", "in time"):
        assert text in context.page, text


@behave.then(
    "the command exits with code 1, names the file and writes no page"
)
def check_unreadable(context):
    assert context.code == 1
    assert context.file.name in context.errors
    assert not context.page
