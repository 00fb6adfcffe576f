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
        place = int(part) if part.isdigit() else part
        data = data[place]
    data[last] = value


def list_faults(result):
    assert result.is_error(), "the settings were accepted"
    return [str(fault) for fault in result.error]


@behave.when("the settings file {name} is loaded")
def load(context, name):
    result = load_settings(ROOT / name)
    assert result.is_ok(), result
    context.settings = result.ok


@behave.then("it holds {services:d} services in {indexes:d} indexes")
def check_size(context, services, indexes):
    found = context.settings.indexes
    assert len(found) == indexes
    assert sum(len(index.service_names) for index in found) == services


@behave.given("the settings file {name} with {key} set to {value}")
def change_key(context, name, key, value):
    context.data = read_yaml(name)
    context.data.setdefault(key.split(".")[0], {})
    set_key(context.data, key, yaml.safe_load(value))


@behave.given("the settings file {name} with two invalid keys")
def change_two(context, name):
    context.data = {**read_yaml(name), "limits": {}}
    set_key(context.data, "node.listen", "nowhere")
    set_key(context.data, "limits.queries", 0)


@behave.then("loading it reports the key {key} in one line")
def check_key(context, key):
    faults = list_faults(parse_settings(context.data))
    assert len(faults) == 1, faults
    assert faults[0].startswith(f"{key}: "), faults
    assert "\n" not in faults[0]


@behave.then("loading it reports both keys")
def check_both(context):
    faults = list_faults(parse_settings(context.data))
    keys = {fault.split(":")[0] for fault in faults}
    assert keys == {"node.listen", "limits.queries"}, faults


@behave.then("loading a file that is not valid YAML reports this in one line")
def check_no_yaml(context):
    del context
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text("node: [1, 2", encoding="utf-8")
        faults = list_faults(load_settings(path))
    assert len(faults) == 1
    assert faults[0].startswith("invalid YAML: ")
    assert "\n" not in faults[0]
