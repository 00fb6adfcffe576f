"""Steps that run ``bluebellctl`` against a cluster of processes."""

import concurrent.futures
import pathlib
import subprocess
import tempfile

import behave
from process_world import MAZOWSZE
from process_world import PROFILES
from process_world import SEED
from process_world import SMALL
import yaml

from bluebellbay.protocol.configuration import CONFIGURATION_KEY
from bluebellbay_standins.client import call
from bluebellbay_standins.cluster import Cluster
from bluebellbay_standins.cluster import ClusterShape
from bluebellbay_standins.operator_command import CommandResult
from bluebellbay_standins.operator_command import PROGRAM
from bluebellbay_standins.operator_command import run_command
from bluebellbay_standins.process import wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Below the command's store time-out of 2 s, and far longer than the step needs
# to see the write and stop the store.
STORE_DELAY_S = 1.5
LONG_STORE_TIMEOUT_S = 30.0


@behave.given("a running cluster and an operator")
def start_cluster(context):
    cluster = Cluster(
        shape=ClusterShape(fleets=(SMALL,), entry_domains=MAZOWSZE, seed=SEED)
    )
    context.add_cleanup(cluster.close)
    cluster.start_platform()
    cluster.seed_profiles(PROFILES)
    cluster.start_daemons()
    cluster.wait_until_healthy()
    context.cluster = cluster


def run_as_operator(context, *arguments):
    daemon = context.cluster.daemons["entry-1"]
    return run_command(daemon.settings_path, *arguments)


def read_stored_configuration(cluster):
    keys = call(cluster.store, "GET", "/control/keys").body
    return next(
        entry["value"] for entry in keys if entry["key"] == CONFIGURATION_KEY
    )


@behave.when("the operator runs bluebellctl {arguments_text}")
def run_operator_command(context, arguments_text):
    context.result = run_as_operator(context, *arguments_text.split())


@behave.when(
    "the store applies the operator's next write but sends no response"
)
def lose_next_write_answer(context):
    context.cluster.control_store(lose_answers=1)


@behave.when("the store responds with an error to every call")
def refuse_store_calls(context):
    context.cluster.control_store(outage="refuse")


@behave.when(
    "the store applies an operator's write, sends no response and then "
    "responds with an error to every call"
)
def refuse_store_calls_during_write(context):
    cluster = context.cluster
    before = read_stored_configuration(cluster)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        cluster.control_store(lose_answers=1, answer_delay_s=0)
        cluster.control_store(delay_s=STORE_DELAY_S)
        command = pool.submit(
            run_as_operator, context, "profile", "set", "batch"
        )
        wait_until(
            lambda: read_stored_configuration(cluster) != before, "the write"
        )
        cluster.control_store(outage="refuse")
        context.result = command.result()


@behave.when("the process of entry VM {entry} is killed")
def kill_entry_vm(context, entry):
    context.cluster.daemons[entry].child.kill()


@behave.when(
    "two operators read the same revision and then set the same profile"
)
def set_profile_concurrently(context):
    cluster = context.cluster
    settings = write_long_timeout_settings(cluster)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        cluster.control_store(hold_reads=CONFIGURATION_KEY)
        commands = [
            pool.submit(
                run_command, settings, "profile", "set", "batch", *fields
            )
            for fields in (("--rank", "1"), ("--rank", "2"))
        ]
        wait_until(lambda: count_held_reads(cluster) == 2, "both reads")
        cluster.control_store(hold_reads="")
        context.results = [command.result() for command in commands]


@behave.when(
    "another operator sets the same profile between an operator's read "
    "and write"
)
def set_profile_after_held_read(context):
    cluster = context.cluster
    settings = write_long_timeout_settings(cluster)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        cluster.control_store(hold_reads=CONFIGURATION_KEY, hold_one=True)
        held_command = pool.submit(
            run_command, settings, "profile", "set", "batch", "--rank", "1"
        )
        wait_until(lambda: count_held_reads(cluster) == 1, "the first read")
        other_result = run_as_operator(
            context, "profile", "set", "batch", "--rank", "2"
        )
        cluster.control_store(hold_reads="", hold_one=False)
        context.results = [held_command.result(), other_result]


def write_long_timeout_settings(cluster):
    """Write settings with a store time-out long enough for a slow machine."""
    path = cluster.daemons["entry-1"].settings_path
    settings = yaml.safe_load(path.read_text(encoding="utf-8"))
    settings["platform"]["store_timeout_s"] = LONG_STORE_TIMEOUT_S
    long_timeout_path = path.with_name("long-timeout.yaml")
    long_timeout_path.write_text(yaml.safe_dump(settings), encoding="utf-8")
    return long_timeout_path


def count_held_reads(cluster):
    return call(cluster.store, "GET", "/control/counts").body["held"]


@behave.when("an operator checks a settings file with two errors")
def check_settings_with_two_errors(context):
    text = (ROOT / "examples" / "wisla.yaml").read_text(encoding="utf-8")
    text = text.replace("listen: 127.0.1.1:8080", "listen: nowhere")
    text = text.replace("limit_s: 90", "limit_s: 0")
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.yaml"
        path.write_text(text, encoding="utf-8")
        completed = subprocess.run(
            [str(PROGRAM), "check", str(path)],
            capture_output=True,
            text=True,
            check=False,
        )
    context.result = CommandResult(
        exit_code=completed.returncode,
        output=completed.stdout,
        errors=completed.stderr,
    )


@behave.then("the command exits with {code:d}")
def check_exit_code(context, code):
    assert context.result.exit_code == code, context.result


@behave.then("the command exits with {code:d} and prints {text}")
def check_exit_code_and_text(context, code, text):
    check_exit_code(context, code)
    printed = context.result.output + context.result.errors
    assert text in printed, context.result


@behave.then("standard output contains {entry}")
def check_output_names_entry(context, entry):
    assert entry in context.result.output, context.result


@behave.then(
    "the JSON profile has coverage floor {floor:g}, delay {delay:d} ms "
    "and rank {rank:d}"
)
def check_profile(context, floor, delay, rank):
    profile = context.result.parse()["data"]["profile"]
    assert profile["coverage_floor"] == floor, profile
    assert profile["delay_ms"] == delay, profile
    assert profile["rank"] == rank, profile


@behave.then(
    "one command exits with 0 and the other with 4, printing the stored change"
)
def check_conflict_reported(context):
    codes = sorted(result.exit_code for result in context.results)
    assert codes == [0, 4], context.results
    conflicting_result = next(
        item for item in context.results if item.exit_code == 4
    )
    printed = conflicting_result.output + conflicting_result.errors
    assert "profile set batch" in printed, conflicting_result


@behave.then("standard error has two lines")
def check_two_error_lines(context):
    lines = context.result.errors.strip().splitlines()
    assert len(lines) == 2, lines
