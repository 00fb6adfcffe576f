"""Steps about the program on the platform."""

import signal
import threading
import time

import behave
from platform_world import AMPLE_S
from platform_world import PlatformWorld
from platform_world import wait_for

IN_FORCE_S = 3.0


@behave.given("a store, 4 shards and 2 posting servers on the platform's wire")
def step_world(context):
    context.platform = PlatformWorld()
    context.add_cleanup(context.platform.stop)


@behave.given("the program runs")
def step_run(context):
    context.platform.program.start()
    step_ready(context)


@behave.given("the program runs, not ready")
def step_run_not_ready(context):
    platform = context.platform
    platform.program.start()
    page = platform.program.ports[1]
    assert wait_for(
        lambda: platform.program.read_page(page, "/-/ready")[0] == 503
    )


@behave.then("the program is ready")
def step_ready(context):
    platform = context.platform
    assert wait_for(platform.program.is_ready), (
        platform.program.log.read_text()
    )
    # Ready with the first replica; the path is tried with all of them.
    assert wait_for(lambda: read_gauge(platform, "bluebellbay_replicas") == 6)


def read_gauge(platform, name):
    _, page = platform.program.read_page(platform.program.ports[3], "/metrics")
    for line in page.decode().splitlines():
        if line.startswith(f"{name} "):
            return float(line.split()[1])
    return None


@behave.given("the store is away")
@behave.when("the store is away")
def step_away(context):
    context.platform.store.away = True


@behave.when("the store is there")
def step_back(context):
    context.platform.store.away = False


@behave.when("{seconds:d} s pass at the platform")
def step_sleep(context, seconds):
    time.sleep(seconds)


@behave.then("a query is answered from 4 shards with the greatest records")
def step_query(context):
    platform = context.platform
    answer, body = platform.program.call("/query/1")
    assert answer.status == 200, answer.status
    digests = answer.headers["Bluebellbay-Shard-Signatures"].split(", ")
    expected = {f"digest-{shard.replica_id}" for shard in platform.shards}
    assert set(digests) == expected
    assert answer.headers["Bluebellbay-Missing-Shards"] == "0"
    every = sorted(
        (
            shard.records[at : at + 16]
            for shard in platform.shards
            for at in range(0, 64, 16)
        ),
        reverse=True,
    )
    assert body == b"".join(every[:5])


@behave.then("a posting reaches a server once, with its body unchanged")
def step_posting(context):
    body = bytes(range(256)) * 300
    answer, echo = context.platform.program.call(
        "/post/2?q=%20", method="POST", body=body
    )
    assert answer.status == 200
    assert echo == body
    assert answer.headers["Bluebellbay-Response-Signature"]
    ran = [run for server in context.platform.posting for run in server.ran]
    assert ran == [("POST", "/post/2?q=%20", body)]


@behave.then("an unknown path is answered 404")
def step_unknown(context):
    assert context.platform.program.call("/nowhere/")[0].status == 404


@behave.then("the metrics tell of the requests")
def step_metrics(context):
    _, page = context.platform.program.read_page(
        context.platform.program.ports[3], "/"
    )
    assert b'bluebellbay_exchange_seconds_count{outcome="whole"} 1.0' in page
    assert b"bluebellbay_configuration_version 7.0" in page


@behave.when("the operator moves the posting route to another path")
def step_move(context):
    context.platform.configure(9, "/moved/", context.platform.shards)


@behave.then("within 3 s the new path is served and the old one is not")
def step_moved(context):
    call = context.platform.program.call
    assert wait_for(
        lambda: call("/moved/1", method="POST")[0].status == 200, IN_FORCE_S
    )
    assert call("/post/1", method="POST")[0].status == 404


@behave.when("an older configuration is written")
def step_older(context):
    context.platform.configure(8, "/post/", context.platform.shards)
    time.sleep(1.0)


@behave.then("the new path is still served")
def step_still(context):
    call = context.platform.program.call
    assert call("/moved/2", method="POST")[0].status == 200
    assert call("/post/2", method="POST")[0].status == 404


@behave.when("one posting server says that it drains")
def step_drain(context):
    server = context.platform.posting[0]
    context.platform.store.put(
        f"servers/{server.replica_id}",
        server.describe(state="draining", sequence=2),
    )


@behave.then("within 3 s all postings reach the other one")
def step_drained(context):
    time.sleep(IN_FORCE_S)
    drained = context.platform.posting[0]
    before = len(drained.ran)
    for number in range(10):
        answer, _ = context.platform.program.call(
            f"/post/{number}", method="POST", body=b"x", number=number
        )
        assert answer.status == 200
    assert len(drained.ran) == before


@behave.then("a query is answered 503 with a time to come back")
def step_not_configured(context):
    answer, _ = context.platform.program.call("/query/1")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


@behave.when("a posting takes 2 s at its server")
def step_slow(context):
    platform = context.platform
    for server in platform.posting:
        server.delay_s = 2.0
    context.answers = []
    context.caller = threading.Thread(
        target=lambda: context.answers.append(
            platform.program.call("/post/1", method="POST", body=b"kept")
        )
    )
    context.caller.start()
    assert wait_for(lambda: any(server.ran for server in platform.posting))


@behave.when("the program is asked to end")
def step_end(context):
    context.platform.program.process.send_signal(signal.SIGTERM)


@behave.then("it is not ready at once")
def step_not_ready(context):
    assert wait_for(lambda: not context.platform.program.is_ready(), 1.0)


@behave.then("the posting is answered whole")
def step_answered(context):
    context.caller.join(AMPLE_S)
    ((answer, body),) = context.answers
    assert answer.status == 200
    assert body == b"kept"
    assert answer.headers["Connection"] == "close"


@behave.then("the program ends with exit code 0")
def step_ended(context):
    assert context.platform.program.process.wait(AMPLE_S) == 0


@behave.given("settings without the address of the store")
def step_bad_settings(context):
    step_world(context)
    context.platform.program.start(store=False)


@behave.then("the program ends with exit code 2 and names the fault")
def step_bad_end(context):
    assert context.platform.program.process.wait(AMPLE_S) == 2
    log = context.platform.program.log.read_text()
    assert "address" in log
    assert "Settings can't be used" in log


@behave.when("the settings allow {slack:d} repeats and a signal says so")
def step_reload(context, slack):
    program = context.platform.program
    program.write_settings(slack=slack)
    program.process.send_signal(signal.SIGHUP)


@behave.when("the settings allow {slack:d} repeats without a signal")
def step_silent_change(context, slack):
    context.platform.program.write_settings(slack=slack)


@behave.then("the program goes on with {slack:d} repeats")
def step_changed_settings(context, slack):
    program = context.platform.program
    assert wait_for(
        lambda: f'"retry_slack":{slack}.0' in program.log.read_text()
    ), program.log.read_text()


@behave.when("the settings become unreadable")
def step_unreadable_settings(context):
    context.platform.program.write_settings(store=False)


@behave.then("the program says that it kept the settings")
def step_kept_settings(context):
    program = context.platform.program
    assert wait_for(
        lambda: (
            "Kept the settings in force because the file can't be loaded"
            in program.log.read_text()
        )
    )
