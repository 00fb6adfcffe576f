"""Steps about the check of configuration files by ``bluebellctl``."""

import contextlib
import copy
import io
import json
import pathlib
import re
import subprocess
import sys
import tempfile
from unittest import mock

import behave
from hypothesis import strategies
from query_history_steps import hold_for_all

from bluebellbay_platform.configuration import decode_configuration
from bluebellbay_standins.operator_command import PROGRAM
from bluebellctl.main import main

COMMON = {"hostname": "h", "timeout-ms": 1000, "target-latency-ms": 90}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            **COMMON,
            "name": "plain",
            "prefix": "/a/",
            "type": "unsafe",
            "max-attempts": 2,
            "service": "s",
        },
        {
            **COMMON,
            "name": "split",
            "prefix": "/b/",
            "type": "safe",
            "max-attempts": 2,
            "weighted-split": [
                {"service": "s", "weight": 3},
                {"service": "t", "weight": 1},
            ],
        },
        {
            **COMMON,
            "name": "query",
            "prefix": "/c/",
            "type": "safe",
            "max-attempts": 2,
            "fanout-services": ["x", "y"],
            "min-shard-ratio": 0.5,
        },
    ],
    "services": [
        {"name": "s", "max-connections": 26, "warmup-per-s": 40},
        {"name": "t", "max-connections": 26},
        {"name": "x", "max-connections": 26},
        {"name": "y", "max-connections": 26},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [
        {
            "name": "large",
            "api-keys": ["k1", "k2"],
            "rate-per-s": 0.5,
            "burst": 1,
        },
        {"name": "small", "api-keys": ["k3"]},
    ],
}
FLEET = ("--nodes", "35", "--replicas", "3")
DOCUMENT = """{"revision": 2, "change_id": "c",
 "profiles": [
  {"name": "batch",
   "revision": 1,
   "profile": {
    "name": "batch",
    "rank": 1}}]}"""
SECRET = "secret-of-a-caller"


def change(configuration, path, value):
    """Return a copy with a value at a path; the next item may be added."""
    changed = copy.deepcopy(configuration)
    *parents, last = (
        int(part) if part.isdigit() else part
        for part in re.findall(r"[a-z][a-z0-9-]*|\d+", path)
    )
    target = changed
    for part in parents:
        target = target[part]
    if isinstance(target, list) and last == len(target):
        target.append(value)
    else:
        target[last] = value
    return changed


def write_text(configuration):
    return json.dumps(configuration, indent=1)


def find_line(configuration, path):
    # The value's first line keeps its number whatever the value is.
    lines = write_text(change(configuration, path, "MARK")).splitlines()
    return next(n for n, line in enumerate(lines, 1) if '"MARK"' in line)


def check(*texts, options=FLEET, as_json=True):
    """Check a text, and a second one as the configuration in force."""
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for number, text in enumerate(texts):
            paths.append(pathlib.Path(folder) / f"{number}.json")
            paths[-1].write_bytes(
                text if isinstance(text, bytes) else text.encode()
            )
        command = ["bluebellctl", "configuration", "check", str(paths[0])]
        command += options
        command += ["--in-force", str(paths[1])] if len(paths) > 1 else []
        command += ["--json"] if as_json else []
        output = io.StringIO()
        with (
            mock.patch.object(sys, "argv", command),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            try:
                main()
            except SystemExit as exit_request:
                return int(exit_request.code), output.getvalue()
    raise AssertionError("the command did not exit")


@behave.when("a configuration is checked")
def check_plain(context):
    context.result = check(write_text(CONFIGURATION), as_json=False)


@behave.when("a configuration is checked with {value} at {path}")
def check_changed(context, value, path):
    context.configuration = change(CONFIGURATION, path, json.loads(value))
    context.result = check(write_text(context.configuration))


@behave.when(
    "a configuration with an error in a route, a service and two accounts is "
    "checked"
)
def check_many_errors(context):
    configuration = CONFIGURATION
    for path, value in {
        "routes[1].hostname": 7,
        "routes[2].fanout-services": [],
        "services[0].warmup-per-s": -1,
        "tenants[0].name": "a b",
        "tenants[1].api-keys": ["k3", 5],
    }.items():
        configuration = change(configuration, path, value)
    context.result = check(write_text(configuration))


@behave.then("the findings are at {paths}")
def check_finding_paths(context, paths):
    findings = json.loads(context.result[1])["data"]["findings"]
    assert [item["path"] for item in findings] == paths.split(), findings
    assert all(item["line"] for item in findings), findings


@behave.when(
    "the text of a configuration is checked with a comma too many on line "
    "{line:d}"
)
def check_malformed(context, line):
    lines = write_text(CONFIGURATION).splitlines()
    lines[line - 1] += ","
    context.result = check("\n".join(lines))


@behave.when("a configuration is checked against one in force that differs")
def check_differences(context):
    new = change(CONFIGURATION, "version", 8)
    for path, value in {
        "routes[0].timeout-ms": 2000,
        # Neither the scale of weights nor the case of a host has a meaning.
        "routes[1].weighted-split": [
            {"service": "s", "weight": 6},
            {"service": "t", "weight": 2},
        ],
        "routes[1].hostname": "H",
        "routes[2].fanout-services": ["y", "x", "w"],
        "services[4]": {"name": "w", "max-connections": 26},
        "services[0].max-connections": 30,
        "limits.idle-timeout-ms": 9000,
        "tenants[0].api-keys": ["k2", "k5", "k6"],
        "tenants[1].name": "tiny",
        "tenants[1].api-keys": ["k3"],
    }.items():
        new = change(new, path, value)
    new["routes"].reverse()
    context.result = check(write_text(new), write_text(CONFIGURATION))


@behave.then("it prints each difference once, and none without a meaning")
def check_printed_differences(context):
    differences = json.loads(context.result[1])["data"]["differences"]
    found = [(item["path"], item["kind"]) for item in differences]
    assert found == [
        ("version", "changed"),
        ("routes[2].timeout-ms", "changed"),
        ("routes[0].fanout-services", "changed"),
        ("services[0].max-connections", "changed"),
        ("services[4]", "added"),
        ("limits.idle-timeout-ms", "changed"),
        ("tenants[1]", "added"),
        ("tenants", "removed"),
        ("tenants[0].api-keys", "changed"),
    ], differences
    assert "2 added, 1 withdrawn, 3 in all" in differences[-1]["text"]


@behave.when(
    "a configuration is checked against a changed one of the same version"
)
def check_stale_version(context):
    in_force = change(CONFIGURATION, "routes[0].priority", 3)
    context.result = check(write_text(CONFIGURATION), write_text(in_force))


PATHS = (
    "version",
    "routes",
    "routes[0].prefix",
    "routes[0].service",
    "routes[1].name",
    "routes[1].weighted-split",
    "routes[1].weighted-split[0].service",
    "routes[1].weighted-split[1].weight",
    "routes[2].fanout-services",
    "routes[2].min-shard-ratio",
    "services[0].name",
    "services[0].warmup-per-s",
    "tenants",
    "tenants[0]",
    "tenants[0].name",
    "tenants[0].api-keys",
    "tenants[0].rate-per-s",
    "tenants[1].name",
    "tenants[1].api-keys",
)
VALUES = strategies.one_of(
    strategies.none(),
    strategies.integers(-2, 3),
    strategies.floats(allow_nan=False),
    strategies.sampled_from([SECRET, "", "s", "a b", [], {}]),
    strategies.just([SECRET]),
    strategies.just([f" {SECRET}", SECRET, SECRET]),
    strategies.just([SECRET, 4]),
)
CHANGES = strategies.dictionaries(
    strategies.sampled_from(PATHS), VALUES, max_size=4
)


def build_changed(changes):
    # The secret is a key of an account unless a change takes it out.
    changed = change(CONFIGURATION, "tenants[0].api-keys", [SECRET])
    for path, value in changes.items():
        with contextlib.suppress(KeyError, IndexError, TypeError):
            changed = change(changed, path, value)
    return changed


@behave.then(
    "for all changed configurations there is an error if the nodes raise one"
)
def check_agreement(context):
    del context

    @hold_for_all(
        CHANGES, strategies.sampled_from([0, 0, 1, 50]), examples=200
    )
    def agree(changes, cut):
        text = write_text(build_changed(changes)).encode()
        text = text[: len(text) - cut] if cut else text
        try:
            decode_configuration(text)
            readable = True
        except (ValueError, RecursionError):
            readable = False
        code, output = check(text)
        assert (code == 2) is not readable, (text, output)

    agree()


NAME_PATHS = (
    "routes[0].name",
    "routes[1].name",
    "routes[0].hostname",
    "routes[0].prefix",
    "routes[0].service",
    "routes[1].weighted-split[0].service",
    "routes[2].fanout-services[0]",
    "services[0].name",
    "services[1].name",
    "tenants[0].name",
    "tenants[1].name",
)
NAMED_LIKE_KEY = strategies.sets(strategies.sampled_from(NAME_PATHS))


def lists_secret(configuration):
    tenants = configuration.get("tenants")
    keys = [
        tenant.get("api-keys")
        for tenant in (tenants if isinstance(tenants, list) else ())
        if isinstance(tenant, dict)
    ]
    return any(isinstance(item, list) and SECRET in item for item in keys)


@behave.then("for all configurations neither text nor JSON holds a key")
def check_no_key(context):
    del context

    @hold_for_all(
        CHANGES, CHANGES, NAMED_LIKE_KEY, strategies.booleans(), examples=200
    )
    def hold_no_key(changes, other_changes, paths, as_json):
        named = dict.fromkeys(paths, SECRET)
        new = build_changed({**named, **changes})
        old = build_changed(other_changes)
        # Only its accounts tell that a name is a key.
        if not lists_secret(new):
            return
        for texts in ((new,), (new, old), (old, new)):
            if lists_secret(texts[0]):
                _, output = check(*map(write_text, texts), as_json=as_json)
                assert SECRET not in output, (new, output)

    hold_no_key()


@behave.when("a configuration is checked where the adapter is not installed")
def check_without_adapter(context):
    with mock.patch.dict(sys.modules, {"bluebellbay_platform": None}):
        sys.modules.pop("bluebellbay_platform.configuration_check", None)
        context.result = check(write_text(CONFIGURATION))


@behave.when("a document of profiles with a rank of 12 on line 7 is checked")
def check_bad_document(context):
    context.result = check(DOCUMENT.replace('"rank": 1', '"rank": 12'))


@behave.when("a document of profiles is checked against one in force")
def check_document_differences(context):
    in_force = DOCUMENT.replace('"rank": 1', '"rank": 3')
    in_force = in_force.replace('"revision": 2', '"revision": 1')
    context.result = check(DOCUMENT, in_force)


@behave.when(
    "the program checks a configuration with a service that no route names"
)
def check_by_program(context):
    context.configuration = change(
        CONFIGURATION, "services[4]", {"name": "z", "max-connections": 1}
    )
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(write_text(context.configuration))
        file.flush()
        completed = subprocess.run(
            [str(PROGRAM), "configuration", "check", file.name, "--json"],
            capture_output=True,
            text=True,
            check=False,
        )
    context.result = (completed.returncode, completed.stdout)


@behave.then("the check exits with {code:d}")
def check_code(context, code):
    assert context.result[0] == code, context.result


@behave.then("the check exits with {code:d} and prints {text}")
def check_code_and_text(context, code, text):
    check_code(context, code)
    assert text in context.result[1], context.result


def read_finding(context):
    findings = json.loads(context.result[1])["data"]["findings"]
    assert len(findings) == 1, findings
    return findings[0]


@behave.then(
    'the only finding is {article:w} {severity:w} "{kind}" at {path} '
    "on its line"
)
def check_finding(context, article, severity, kind, path):
    del article
    finding = read_finding(context)
    assert finding["severity"] == severity, finding
    assert finding["kind"] == kind, finding
    assert finding["path"] == path, finding
    assert finding["line"] == find_line(context.configuration, path), finding


@behave.then("the only finding is on line {line:d}")
def check_finding_line(context, line):
    assert read_finding(context)["line"] == line, context.result
