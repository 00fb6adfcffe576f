"""Steps for the platform program as a separate process."""

import pathlib
import signal
import threading
import time

import behave
from platform_world import PlatformWorld
from platform_world import STEP_TIMEOUT_S
from platform_world import wait_for

APPLY_TIMEOUT_S = 3.0


@behave.given("a fake store, 4 fake shards and 2 fake posting servers")
def step_create_world(context):
    context.platform = PlatformWorld()
    context.add_cleanup(context.platform.stop)


@behave.given("the program is running and ready")
def step_start_program(context):
    context.platform.program.start()
    check_ready(context)


@behave.given(
    "the program is running and ready, with a grace of {seconds:d} s"
)
def step_start_program_with_grace(context, seconds):
    context.platform.program.start(grace_s=seconds)
    check_ready(context)


@behave.given("the program is running but not ready")
def step_start_program_not_ready(context):
    platform = context.platform
    platform.program.start()
    health_port = platform.program.ports[1]
    assert wait_for(
        lambda: platform.program.fetch_page(health_port, "/-/ready")[0] == 503
    )


@behave.then("the program is ready")
def check_ready(context):
    platform = context.platform
    assert wait_for(platform.program.is_ready), (
        platform.program.log.read_text()
    )
    # The program is ready with its first replica, but the steps need all 6.
    assert wait_for(lambda: read_gauge(platform, "bluebellbay_replicas") == 6)


def read_gauge(platform, name):
    _, page = platform.program.fetch_page(
        platform.program.ports[3], "/metrics"
    )
    for line in page.decode().splitlines():
        if line.startswith(f"{name} "):
            return float(line.split()[1])
    return None


@behave.given("the store stops answering")
@behave.when("the store stops answering")
def step_stop_store(context):
    context.platform.store.unavailable = True


@behave.when("the store answers again")
def step_restart_store(context):
    context.platform.store.unavailable = False


@behave.when("{seconds:d} s pass without the store")
def step_sleep(context, seconds):
    time.sleep(seconds)


@behave.then("a query is answered with the 5 greatest records of 4 shards")
def check_query(context):
    platform = context.platform
    answer, body = platform.program.call("/query/1")
    assert answer.status == 200, answer.status
    signatures = answer.headers["Bluebellbay-Shard-Signatures"].split(", ")
    expected = {f"digest-{shard.replica_id}" for shard in platform.shards}
    assert set(signatures) == expected
    assert answer.headers["Bluebellbay-Missing-Shards"] == "0"
    all_records = sorted(
        (
            shard.records[offset : offset + 16]
            for shard in platform.shards
            for offset in range(0, 64, 16)
        ),
        reverse=True,
    )
    assert body == b"".join(all_records[:5])


@behave.then(
    "a posting reaches one server exactly once, with its body unchanged"
)
def check_posting(context):
    body = bytes(range(256)) * 300
    answer, echo = context.platform.program.call(
        "/post/2?q=%20", method="POST", body=body
    )
    assert answer.status == 200
    assert echo == body
    assert answer.headers["Bluebellbay-Response-Signature"]
    ran = [
        run
        for server in context.platform.posting_servers
        for run in server.ran
    ]
    assert ran == [("POST", "/post/2?q=%20", body)]


@behave.then("an unknown path is answered 404")
def check_unknown_path(context):
    assert context.platform.program.call("/nowhere/")[0].status == 404


@behave.then("the metrics show one whole exchange and configuration version 7")
def check_metrics(context):
    _, page = context.platform.program.fetch_page(
        context.platform.program.ports[3], "/"
    )
    assert b'bluebellbay_exchange_seconds_count{outcome="whole"} 1.0' in page
    assert b"bluebellbay_configuration_version 7.0" in page


@behave.when("a newer configuration moves the posting route to another path")
def step_move_route(context):
    context.platform.configure(9, "/moved/", context.platform.shards)


@behave.then("within 3 s the new path is answered 200 and the old one 404")
def check_moved_route(context):
    call = context.platform.program.call
    assert wait_for(
        lambda: call("/moved/1", method="POST")[0].status == 200,
        APPLY_TIMEOUT_S,
    )
    assert call("/post/1", method="POST")[0].status == 404


@behave.when("a configuration with a lower version is written")
def step_write_older_configuration(context):
    context.platform.configure(8, "/post/", context.platform.shards)
    time.sleep(1.0)


@behave.then("the new path is still answered 200 and the old one 404")
def check_route_unchanged(context):
    call = context.platform.program.call
    assert call("/moved/2", method="POST")[0].status == 200
    assert call("/post/2", method="POST")[0].status == 404


@behave.when("the store entry of one posting server changes to draining")
def step_drain_server(context):
    server = context.platform.posting_servers[0]
    context.platform.store.put(
        f"servers/{server.replica_id}",
        server.build_entry(state="draining", sequence=2),
    )


@behave.then("3 s later all postings reach the other posting server")
def check_drained(context):
    time.sleep(APPLY_TIMEOUT_S)
    draining_server = context.platform.posting_servers[0]
    count_before = len(draining_server.ran)
    for number in range(10):
        answer, _ = context.platform.program.call(
            f"/post/{number}", method="POST", body=b"x", number=number
        )
        assert answer.status == 200
    assert len(draining_server.ran) == count_before


@behave.then("a query is answered 503 with a Retry-After header")
def check_not_configured(context):
    answer, _ = context.platform.program.call("/query/1")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


@behave.when("a posting server starts a posting that takes 2 s")
def step_delay_posting(context):
    platform = context.platform
    for server in platform.posting_servers:
        server.delay_s = 2.0
    context.answers = []
    context.caller_thread = threading.Thread(
        target=lambda: context.answers.append(
            platform.program.call("/post/1", method="POST", body=b"kept")
        )
    )
    context.caller_thread.start()
    assert wait_for(
        lambda: any(server.ran for server in platform.posting_servers)
    )


@behave.when("the program receives SIGTERM")
def step_terminate(context):
    context.platform.program.process.send_signal(signal.SIGTERM)


@behave.then("the program reports within 1 s that it is not ready")
def check_not_ready(context):
    assert wait_for(lambda: not context.platform.program.is_ready(), 1.0)


@behave.then("the posting is answered 200 and the connection is closed")
def check_posting_answered(context):
    context.caller_thread.join(STEP_TIMEOUT_S)
    ((answer, body),) = context.answers
    assert answer.status == 200
    assert body == b"kept"
    assert answer.headers["Connection"] == "close"


@behave.then("the program exits with code 0")
def check_exit_code(context):
    assert context.platform.program.process.wait(STEP_TIMEOUT_S) == 0


@behave.given(
    "the program is started without the store's address in its settings"
)
def step_start_with_invalid_settings(context):
    step_create_world(context)
    context.platform.program.start(store=False)


@behave.then("the program exits with code 2 and logs the missing field")
def check_invalid_settings_reported(context):
    assert context.platform.program.process.wait(STEP_TIMEOUT_S) == 2
    log = context.platform.program.log.read_text()
    assert "address" in log
    assert "Refused to start: the settings file is not valid" in log


@behave.when(
    "the settings file allows {slack:d} extra retries and SIGHUP is sent"
)
def step_change_settings_with_signal(context, slack):
    program = context.platform.program
    program.write_settings(slack=slack)
    program.process.send_signal(signal.SIGHUP)


@behave.when(
    "the settings file allows {slack:d} extra retries, without a signal"
)
def step_change_settings(context, slack):
    context.platform.program.write_settings(slack=slack)


@behave.then("the program applies the limit of {slack:d} extra retries")
def check_settings_applied(context, slack):
    program = context.platform.program
    assert wait_for(
        lambda: f'"retry_slack":{slack}.0' in program.log.read_text()
    ), program.log.read_text()


@behave.when("the settings file loses the store's address")
def step_write_invalid_settings(context):
    context.platform.program.write_settings(store=False)


@behave.then("the program logs that it kept the previous settings")
def check_settings_kept(context):
    program = context.platform.program
    assert wait_for(
        lambda: (
            "Kept the settings in force because the file can't be loaded"
            in program.log.read_text()
        )
    )


@behave.when("both posting servers {mode} to {count:d} callers at once")
def send_without_end(context, mode, count):
    program = context.platform.program
    context.resident_kib = read_resident_kib(program)
    for server in context.platform.posting_servers:
        server.mode = mode
    context.statuses = []

    def post(number):
        answer, _ = program.call("/post/1", method="POST", number=number)
        context.statuses.append(answer.status)

    context.callers = [
        threading.Thread(target=post, args=(number,))
        for number in range(count)
    ]
    for caller in context.callers:
        caller.start()


@behave.then("queries are answered meanwhile")
def check_queries_meanwhile(context):
    while any(caller.is_alive() for caller in context.callers):
        check_query(context)


@behave.then("no posting was answered 200, and each was answered")
def check_postings_failed(context):
    assert len(context.statuses) == len(context.callers)
    assert 200 not in context.statuses, context.statuses


@behave.then("the program's memory grew by less than {limit:d} MB")
def check_memory(context, limit):
    grown_kib = read_resident_kib(context.platform.program)
    grown_kib -= context.resident_kib
    assert grown_kib < limit * 1024, grown_kib


def read_resident_kib(program):
    """Read the largest resident size that the process has had."""
    status = pathlib.Path(f"/proc/{program.process.pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError(status)


# Python imports a module of this name at its start.
SIGNALLING_MODULE = """
import os, signal, sys

class Hook:
    def find_spec(self, name, path=None, target=None):
        if name == "twisted":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Hook())
"""


@behave.given(
    "a program whose start is interrupted by SIGHUP while it imports"
)
def start_interrupted(context):
    step_create_world(context)
    program = context.platform.program
    program.write_settings()
    folder = pathlib.Path(context.platform.folder.name)
    (folder / "sitecustomize.py").write_text(SIGNALLING_MODULE)
    context.exit_code = program.check_settings({"PYTHONPATH": str(folder)})


@behave.then("it checks its settings and exits with code 0")
def check_not_ended(context):
    assert context.exit_code == 0, context.exit_code
