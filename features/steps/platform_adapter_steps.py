"""Steps about the adapter to the platform."""

import ast
import json
import pathlib
import re
import tempfile

import behave
from hypothesis import strategies
from query_history_steps import hold_for_all

from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import ReplicaUpdated
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.store import StoreItem
import bluebellbay_platform
from bluebellbay_platform.configuration import decode_configuration
from bluebellbay_platform.replica import decode_replica
from bluebellbay_platform.schema import PlatformSchema
from bluebellbay_platform.settings import load_settings
from bluebellbay_platform.wire import PlatformWire

ADAPTER = pathlib.Path(bluebellbay_platform.__file__).parent
PACKAGES = ADAPTER.parent.parent / "packages"
# Names of the field that a reader of this language expects anyway.
COMMON = {"content-length", "keep-alive", "transfer-encoding"}

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-remaining-ms": 0,
    "sequence": 4,
    "born": 1000,
}
ROUTE = {
    "name": "plain",
    "hostname": "H.example",
    "prefix": "/a/",
    "type": "unsafe",
    "timeout-ms": 1000,
    "target-latency-ms": 68,
    "priority": 2,
    "service": "s",
    "max-attempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            **{key: ROUTE[key] for key in ROUTE if key != "service"},
            "name": "split",
            "type": "safe",
            "weighted-split": [
                {"service": "s", "weight": 3},
                {"service": "t", "weight": 1},
            ],
        },
        {
            **{key: ROUTE[key] for key in ROUTE if key != "service"},
            "name": "query",
            "type": "safe",
            "fanout-services": ["x", "y"],
            "top-k": 5,
            "min-shard-ratio": 0.75,
        },
    ],
    "services": [
        {"name": "s", "health-check-path": "/health", "max-connections": 26}
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}
SETTINGS = """
node-name = "n"
zone = "zone-a"
ip-address = "127.0.0.1"
is-bootstrap = true
internal-port-range = [7380, 7395]
new-field = "ignored"
[bind-addresses]
front = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[bounds]
grace-s = 6
retry-budget-slack = 58
[platform]
address = "127.0.0.1:3"
"""


def list_strings(path):
    """List the string constants of a module, its docstrings left out."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    docs = {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)
    }
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in docs:
            continue
        value = node.value
        if isinstance(value, bytes):
            value = value.decode("latin-1")
        if isinstance(value, str):
            yield value


def list_wire_names():
    """List the names that the adapter alone may know."""
    names = set()
    for path in ADAPTER.glob("*.py"):
        for text in list_strings(path):
            names.update(re.findall(r"(?i)bluebellbay-[a-z-]+", text))
            names.update(re.findall(r"/-/[a-z-]+", text))
            names.update(re.findall(r"^[a-z]+/$", text))
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef) and any(
                keyword.arg == "rename" for keyword in node.keywords
            ):
                names.update(
                    item.target.id.replace("_", "-")
                    for item in node.body
                    if isinstance(item, ast.AnnAssign)
                    and "_" in item.target.id
                )
    names.add("BLUEBELLBAY_BOOT")
    return {name.lower() for name in names} - COMMON - {"bluebellbay-platform"}


@behave.then("no module of the product holds a name that the adapter decodes")
def check_names(context):
    del context
    names = list_wire_names()
    assert {"top-k", "bluebellbay-deadline-ms", "/-/kv-watch"} <= names, names
    wrong = [
        f"{path.name}: {text!r}"
        for path in PACKAGES.rglob("*.py")
        if "build" not in path.parts
        for text in list_strings(path)
        if any(name in text.lower() for name in names)
    ]
    assert not wrong, wrong


@behave.when("a configuration with a plain, a split and a query route is read")
def step_decode(context):
    context.found = decode_configuration(json.dumps(CONFIGURATION).encode())


@behave.then("its routes, services and limits are as they were written")
def step_decoded(context):
    found = context.found
    assert found.version == 7
    plain, split, query = found.routes
    assert plain.host == "h.example"
    assert not plain.idempotent
    assert plain.timeout_s == 1.0
    assert plain.objective_s == 0.068
    assert [share.service for share in plain.services] == ["s"]
    assert split.idempotent
    assert [share.weight for share in split.services] == [3, 1]
    assert query.scatter.shards == ("x", "y")
    assert query.scatter.most_records == 5
    assert query.scatter.least_coverage == 0.75
    assert found.services["s"].connections == 26
    assert found.limits.idle_timeout_s == 15.0


def build_schema():
    notes = []
    schema = PlatformSchema(
        note_unreadable=lambda key, reason: notes.append((key, reason))
    )
    return schema, notes


@behave.then(
    "whatever the configuration's key holds no configuration is found in it"
)
def check_bad_configurations(context):
    del context
    broken = [b"", b"{", b"[]", b"7", b"\xff", None]
    for key in CONFIGURATION:
        fields = {name: CONFIGURATION[name] for name in CONFIGURATION}
        del fields[key]
        broken.append(json.dumps(fields).encode())
    for key in ("name", "prefix", "type", "timeout-ms", "service"):
        route = {name: ROUTE[name] for name in ROUTE if name != key}
        fields = {**CONFIGURATION, "routes": [route]}
        broken.append(json.dumps(fields).encode())
    for value in broken:
        schema, notes = build_schema()
        events = schema.read_change(StoreItem(key="op/config", value=value))
        assert not any(
            isinstance(item, ConfigurationReceived) for item in events
        )
        assert len(notes) == 1, value


@behave.then(
    "an entry lacking a field, or with another type, names no replica"
)
def check_entries(context):
    del context
    entry = decode_replica("i-1", json.dumps(ENTRY).encode())
    assert (entry.replica_id, entry.started_ms, entry.slots) == (
        "i-1",
        1000,
        2,
    )
    needed = (
        "service",
        "address",
        "zone",
        "max-concurrency",
        "state",
        "sequence",
    )
    broken = [
        {name: ENTRY[name] for name in ENTRY if name != key} for key in needed
    ]
    broken.extend({**ENTRY, key: [1]} for key in needed)
    broken.append({**ENTRY, "state": "resting"})
    broken.append({**ENTRY, "address": "nowhere"})
    broken.append({**ENTRY, "max-concurrency": 0})
    broken.append({**ENTRY, "born": "yesterday"})
    for fields in broken:
        schema, notes = build_schema()
        item = StoreItem(key="servers/i-1", value=json.dumps(fields).encode())
        (event,) = schema.read_change(item)
        assert event == ReplicaRemoved(replica_id="i-1"), fields
        assert notes


VALUES = strategies.one_of(
    strategies.none(),
    strategies.binary(max_size=60),
    strategies.recursive(
        strategies.one_of(
            strategies.none(),
            strategies.booleans(),
            strategies.integers(),
            strategies.text(max_size=8),
        ),
        lambda inner: (
            strategies.dictionaries(
                strategies.sampled_from([*ENTRY, *CONFIGURATION, *ROUTE]),
                inner,
            )
            | strategies.lists(inner, max_size=3)
        ),
        max_leaves=8,
    ).map(lambda value: json.dumps(value).encode()),
)
KEYS = strategies.sampled_from(
    ("op/config", "op/other", "servers/i-1", "servers/", "nodes/n", "x")
)


@behave.then("whatever the store holds each item is read or left out")
def check_any_item(context):
    del context

    @hold_for_all(KEYS, VALUES, examples=800)
    def check(key, value):
        schema, _ = build_schema()
        for event in schema.read_change(StoreItem(key=key, value=value)):
            if isinstance(event, ReplicaUpdated):
                assert event.entry.replica_id
                assert event.entry.slots > 0

    check()


@behave.then("settings that lack a field or hold a wrong type are named")
def check_settings(context):
    del context
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.toml"
        path.write_text(SETTINGS, encoding="utf-8")
        settings = load_settings(path, metrics_port=7390)
        assert settings.peer_listen == "127.0.0.1:7380"
        assert settings.metrics_listen == "127.0.0.1:7390"
        assert settings.rules.retries.slack == 58
        assert settings.rules.first_start
        faults = {
            'node-name = "n"': "node-name",
            'front = "127.0.0.1:1"': "front",
            'address = "127.0.0.1:3"': "address",
        }
        for line, name in faults.items():
            for other in ("", line.split("=")[0] + "= 7"):
                text = SETTINGS.replace(line, other)
                path.write_text(text, encoding="utf-8")
                assert name in find_fault(path)
        path.write_text("no settings", encoding="utf-8")
        assert find_fault(path)
        assert "can't be read" in find_fault(pathlib.Path(folder) / "none")


def find_fault(path):
    try:
        load_settings(path, metrics_port=7390)
    except ValueError as error:
        return str(error)
    raise AssertionError(f"{path} has no fault")


@behave.then("a replica's answer loses only the headers of its connection")
def check_headers(context):
    del context
    reply = PlatformWire().read_reply(
        CallAnswered(
            status=200,
            body=b"x",
            headers=(
                (b"connection", b"keep-alive, x-hop"),
                (b"x-hop", b"1"),
                (b"keep-alive", b"timeout=5"),
                (b"content-length", b"1"),
                (b"x-kept", b"1"),
                (b"bluebellbay-response-signature", b"d"),
            ),
        )
    )
    assert reply.digest == "d"
    assert reply.forwarded == (
        b"x-kept: 1\r\nbluebellbay-response-signature: d\r\n"
    )


@behave.then('the error "{kind}" is written as {status:d} if it {ran} run')
def check_status(context, kind, status, ran):
    del context
    answer = ErrorAnswer(
        exchange=1,
        kind=RoutingErrorKind(kind),
        ran=ran == "may have",
        retry_after_s=0.25,
    )
    written = PlatformWire().write_answer(answer, close=False)
    assert written.startswith(b"HTTP/1.1 %d " % status), written
    assert (b"Retry-After: 0.25" in written) == (status in (502, 503))
