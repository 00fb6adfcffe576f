"""Steps for the adapter to the platform."""

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
from bluebellbay.protocol.store_allowance import StoreAllowance
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.store import StoreItem
from bluebellbay.transport.wire import RequestHead
import bluebellbay_platform
from bluebellbay_platform.configuration import decode_configuration
from bluebellbay_platform.replica import decode_replica
from bluebellbay_platform.schema import PlatformSchema
from bluebellbay_platform.settings import load_settings
from bluebellbay_platform.wire import PlatformWire

ADAPTER_FOLDER = pathlib.Path(bluebellbay_platform.__file__).parent
PACKAGES_FOLDER = ADAPTER_FOLDER.parent.parent / "packages"
# Standard HTTP header names, which every module may use.
HTTP_HEADER_NAMES = {"content-length", "keep-alive", "transfer-encoding"}

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
    """List the string constants of a module, without docstrings."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    docstring_ids = {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)
    }
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in docstring_ids:
            continue
        value = node.value
        if isinstance(value, bytes):
            value = value.decode("latin-1")
        if isinstance(value, str):
            yield value


def list_wire_names():
    """List headers, paths, key prefixes and fields of the adapter only."""
    names = set()
    for path in ADAPTER_FOLDER.glob("*.py"):
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
    return (
        {name.lower() for name in names}
        - HTTP_HEADER_NAMES
        - {"bluebellbay-platform"}
    )


@behave.then(
    "no module under packages/ has a header, path or key of the adapter"
)
def check_names(context):
    del context
    names = list_wire_names()
    assert {"top-k", "bluebellbay-deadline-ms", "/-/kv-watch"} <= names, names
    violations = [
        f"{path.name}: {text!r}"
        for path in PACKAGES_FOLDER.rglob("*.py")
        if "build" not in path.parts
        for text in list_strings(path)
        if any(name in text.lower() for name in names)
    ]
    assert not violations, violations


@behave.when(
    "a configuration with a plain, a split and a query route is decoded"
)
def step_decode_configuration(context):
    context.configuration = decode_configuration(
        json.dumps(CONFIGURATION).encode()
    )


@behave.then("the decoded routes, services and limits have the written values")
def check_decoded_configuration(context):
    configuration = context.configuration
    assert configuration.version == 7
    plain, split, query = configuration.routes
    assert plain.host == "h.example"
    assert not plain.idempotent
    assert plain.timeout_s == 1.0
    assert plain.objective_s == 0.068
    assert [share.service for share in plain.services] == ["s"]
    assert split.idempotent
    assert [share.weight for share in split.services] == [3, 1]
    assert query.scatter.shards == ("x", "y")
    assert query.scatter.most_records == 5
    assert query.scatter.min_coverage == 0.75
    assert configuration.services["s"].connections == 26
    assert configuration.limits.idle_timeout_s == 15.0


def build_schema():
    reports = []
    schema = PlatformSchema(
        report_unreadable=lambda key, reason: reports.append((key, reason))
    )
    return schema, reports


@behave.then(
    "each invalid or removed configuration is reported and not decoded"
)
def check_invalid_configurations(context):
    del context
    invalid_values = [b"", b"{", b"[]", b"7", b"\xff", None]
    for key in CONFIGURATION:
        fields = {name: CONFIGURATION[name] for name in CONFIGURATION}
        del fields[key]
        invalid_values.append(json.dumps(fields).encode())
    for key in ("name", "prefix", "type", "timeout-ms", "service"):
        route = {name: ROUTE[name] for name in ROUTE if name != key}
        fields = {**CONFIGURATION, "routes": [route]}
        invalid_values.append(json.dumps(fields).encode())
    for value in invalid_values:
        schema, reports = build_schema()
        events = schema.decode_change(StoreItem(key="op/config", value=value))
        assert not any(
            isinstance(item, ConfigurationReceived) for item in events
        )
        assert len(reports) == 1, value


@behave.then(
    "each entry with a missing or invalid field is reported as unlisted"
)
def check_invalid_entries(context):
    del context
    entry = decode_replica("i-1", json.dumps(ENTRY).encode())
    assert (entry.replica_id, entry.started_ms, entry.slots) == (
        "i-1",
        1000,
        2,
    )
    required_fields = (
        "service",
        "address",
        "zone",
        "max-concurrency",
        "state",
        "sequence",
    )
    invalid_values = [
        {name: ENTRY[name] for name in ENTRY if name != key}
        for key in required_fields
    ]
    invalid_values.extend({**ENTRY, key: [1]} for key in required_fields)
    invalid_values.append({**ENTRY, "state": "resting"})
    invalid_values.extend(
        {**ENTRY, "address": address}
        for address in (
            "nowhere",
            "nowhere:80",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:99999",
            "10.0.0.1:\u0661",
        )
    )
    invalid_values.append({**ENTRY, "max-concurrency": 0})
    invalid_values.append({**ENTRY, "born": "yesterday"})
    for fields in invalid_values:
        schema, reports = build_schema()
        item = StoreItem(key="servers/i-1", value=json.dumps(fields).encode())
        (event,) = schema.decode_change(item)
        assert event == ReplicaRemoved(replica_id="i-1"), fields
        assert reports


@behave.then("no entry whose id can't be sent in a header names a replica")
def check_invalid_ids(context):
    del context
    for replica_id in ("", "i 1", "i\r\nX-Other: 1", "i\u00e9", "i\n"):
        schema, reports = build_schema()
        item = StoreItem(
            key=f"servers/{replica_id}", value=json.dumps(ENTRY).encode()
        )
        (event,) = schema.decode_change(item)
        assert event == ReplicaRemoved(replica_id=replica_id), replica_id
        assert reports


@behave.then("a node whose address can't be used has none")
def check_invalid_node_addresses(context):
    del context
    for address in ("nowhere", "10.0.0.1", "10.0.0.1:99999", "node-1:7000"):
        schema, reports = build_schema()
        value = {"address": address, "failure_domain": "zone-a"}
        item = StoreItem(key="nodes/n", value=json.dumps(value).encode())
        (event,) = schema.decode_change(item)
        assert event.node.address == "", address
        assert reports


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
        lambda children: (
            strategies.dictionaries(
                strategies.sampled_from([*ENTRY, *CONFIGURATION, *ROUTE]),
                children,
            )
            | strategies.lists(children, max_size=3)
        ),
        max_leaves=8,
    ).map(lambda value: json.dumps(value).encode()),
)
KEYS = strategies.sampled_from(
    ("op/config", "op/other", "servers/i-1", "servers/", "nodes/n", "x")
)


@behave.then(
    "generated items raise no error and each replica has an id and slots"
)
def check_arbitrary_items(context):
    del context

    @hold_for_all(KEYS, VALUES, examples=800)
    def check(key, value):
        schema, _ = build_schema()
        for event in schema.decode_change(StoreItem(key=key, value=value)):
            if isinstance(event, ReplicaUpdated):
                assert event.entry.replica_id
                assert event.entry.slots > 0

    check()


@behave.then("the error names the field that is missing or has the wrong type")
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
        named_fields = {
            'node-name = "n"': "node-name",
            'front = "127.0.0.1:1"': "front",
            'address = "127.0.0.1:3"': "address",
        }
        for line, name in named_fields.items():
            for replacement in ("", line.split("=")[0] + "= 7"):
                text = SETTINGS.replace(line, replacement)
                path.write_text(text, encoding="utf-8")
                assert name in catch_load_error(path)
        path.write_text("no settings", encoding="utf-8")
        assert catch_load_error(path)
        assert "cannot read the settings file" in catch_load_error(
            pathlib.Path(folder) / "none"
        )


@behave.then(
    "the settings' times to drain, to apply, of contact and of heartbeats are "
    "the limits"
)
def check_allowance(context):
    del context
    bounds = "drain-ms = 6000\nconfig-apply-ms = 5000\ncontact-ms = 7000\n"
    text = "heartbeat-ms = 900\n" + SETTINGS.replace(
        "[bounds]\n", "[bounds]\n" + bounds
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.toml"
        path.write_text(text, encoding="utf-8")
        allowance = load_settings(path, metrics_port=1).rules.store
    assert allowance == StoreAllowance(
        change_limit_s=5.0,
        removal_limit_s=6.0,
        recovery_limit_s=7.0,
        heartbeat_s=0.9,
    )


def catch_load_error(path):
    try:
        load_settings(path, metrics_port=7390)
    except ValueError as error:
        return str(error)
    raise AssertionError(f"{path} was loaded without an error")


@behave.then("a replica's answer is forwarded without its hop-by-hop headers")
def check_headers(context):
    del context
    reply = PlatformWire().decode_reply(
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


@behave.then(
    'the error "{kind}" is sent with status {status:d} if it {ran} run'
)
def check_status(context, kind, status, ran):
    del context
    answer = ErrorAnswer(
        exchange=1,
        kind=RoutingErrorKind(kind),
        ran=ran == "may have",
        retry_after_s=0.25,
    )
    written = PlatformWire().encode_answer(answer, close=False)
    assert written.startswith(b"HTTP/1.1 %d " % status), written
    assert (b"Retry-After: 0.25" in written) == (status in (502, 503))


@behave.then("a request with a deadline of {digits:d} digits has none")
def check_long_deadline(context, digits):
    del context
    head = RequestHead(
        method=b"GET",
        target=b"/",
        headers=(
            (b"host", b"h"),
            (b"bluebellbay-request-id", b"id"),
            (b"bluebellbay-deadline-ms", b"9" * digits),
        ),
    )
    assert PlatformWire().decode_request(head, b"").patience_s is None
