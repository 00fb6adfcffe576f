"""Steps for loading and validating settings."""

import pathlib
import tempfile

import behave
import yaml

from bluebellbay.settings import load_settings
from bluebellbay.settings import parse_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def read_yaml(name):
    return yaml.safe_load((ROOT / name).read_text(encoding="utf-8"))


def set_key(data, key, value):
    *path, last = key.split(".")
    for part in path:
        item_key = int(part) if part.isdigit() else part
        data = data[item_key]
    data[last] = value


def list_errors(result):
    assert result.is_error(), "the settings were accepted"
    return [str(item) for item in result.error]


@behave.when("the settings file {name} is loaded")
def load(context, name):
    result = load_settings(ROOT / name)
    assert result.is_ok(), result
    context.settings = result.ok


@behave.then("it holds {services:d} services in {indexes:d} indexes")
def check_counts(context, services, indexes):
    found = context.settings.indexes
    assert len(found) == indexes
    assert sum(len(index.service_names) for index in found) == services


@behave.given("the settings file {name} with {key} set to {value}")
def set_one_key(context, name, key, value):
    context.data = read_yaml(name)
    context.data.setdefault(key.split(".")[0], {})
    set_key(context.data, key, yaml.safe_load(value))


@behave.given("the settings file {name} with two invalid keys")
def set_two_invalid_keys(context, name):
    context.data = {**read_yaml(name), "limits": {}}
    set_key(context.data, "node.listen", "nowhere")
    set_key(context.data, "limits.queries", 0)


@behave.then("loading it reports the key {key} in one line")
def check_reported_key(context, key):
    errors = list_errors(parse_settings(context.data))
    assert len(errors) == 1, errors
    assert errors[0].startswith(f"{key}: "), errors
    assert "\n" not in errors[0]


@behave.then("loading it reports both keys")
def check_both_keys(context):
    errors = list_errors(parse_settings(context.data))
    keys = {error.split(":")[0] for error in errors}
    assert keys == {"node.listen", "limits.queries"}, errors


@behave.then("loading a file that is not valid YAML reports this in one line")
def check_invalid_yaml(context):
    del context
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text("node: [1, 2", encoding="utf-8")
        errors = list_errors(load_settings(path))
    assert len(errors) == 1
    assert errors[0].startswith("invalid YAML: ")
    assert "\n" not in errors[0]
