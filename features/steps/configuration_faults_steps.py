"""Steps on the configuration of daemons that run as processes."""

import concurrent.futures
import json

import behave

from bluebellbay_standins.client import call
from bluebellbay_standins.cluster import Cluster
from bluebellbay_standins.cluster import ClusterShape
from bluebellbay_standins.cluster import STORE_LINK
from bluebellbay_standins.cluster import VM_LIST_LINK
from bluebellbay_standins.fleet import MAZOWSZE
from bluebellbay_standins.fleet import SMALL
from bluebellbay_standins.operator_command import run_command
from bluebellbay_standins.process import wait_until

SLOW_STORE_S = 2.0
START_TIMEOUT_S = 60.0
MAX_RACE_ATTEMPTS = 5
EXIT_CONFLICT = 4
EXIT_NOT_CONFIRMED = 6
PROFILE_NAME = "batch"
FIRST_DELAY_MS = 100


@behave.given("four entry VMs run as processes with an accepted profile")
def start_cluster(context):
    shape = ClusterShape(
        fleets=(SMALL,),
        entry_domains=(*MAZOWSZE, MAZOWSZE[0]),
        links=True,
        settings={"shutdown": {"balancer_lag_s": 0}},
    )
    context.cluster = cluster = Cluster(shape=shape)
    context.add_cleanup(cluster.close)
    cluster.start_platform()
    cluster.start_daemons()
    context.reported_revisions = {}
    context.delay_ms = FIRST_DELAY_MS
    for daemon in cluster.daemons.values():
        wait_until(
            lambda daemon=daemon: daemon.probe("/v1/status").status == 200,
            f"{daemon.name} to listen",
            START_TIMEOUT_S,
        )
    result = set_delay(context, "entry-1", FIRST_DELAY_MS, 30)
    assert result.exit_code == 0, result
    wait_in_force(context, FIRST_DELAY_MS, 10)


def set_delay(context, entry, delay_ms, wait_s):
    return run_command(
        context.cluster.daemons[entry].settings_path,
        "profile",
        "set",
        PROFILE_NAME,
        "--delay-ms",
        str(delay_ms),
        "--wait",
        f"{wait_s:g}",
        "--json",
    )


def query_delay_ms(context, name):
    daemon = context.cluster.daemons[name]
    reply = daemon.probe("/v1/configuration")
    if reply.status != 200:
        return None
    context.reported_revisions.setdefault(name, []).append(
        reply.body["revision"]
    )
    return find_delay_ms(reply.body)


def find_delay_ms(document):
    return next(
        record["profile"]["delay_ms"]
        for record in document["profiles"]
        if record["name"] == PROFILE_NAME
    )


def wait_in_force(context, delay_ms, timeout_s):
    wait_until(
        lambda: all(
            query_delay_ms(context, name) == delay_ms
            for name in context.cluster.daemons
        ),
        f"a delay of {delay_ms} ms in force everywhere",
        timeout_s,
    )


def read_stored_document(context):
    reply = call(
        context.cluster.store, "GET", "/v1/keys/bluebellbay/configuration"
    )
    return json.loads(reply.body["value"])


@behave.when("two operators change that profile at the same moment")
def change_concurrently(context):
    # If one command ends before the other reads the store, both succeed, and
    # the race is repeated. The store's delay makes an overlap likely.
    context.cluster.control_store(delay_s=SLOW_STORE_S / 4)
    for number in range(MAX_RACE_ATTEMPTS):
        delays_ms = (200 + number, 300 + number)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            results = list(
                pool.map(
                    lambda pair: set_delay(context, pair[0], pair[1], 30),
                    zip(("entry-1", "entry-2"), delays_ms, strict=True),
                )
            )
        context.race_results = dict(zip(delays_ms, results, strict=True))
        if sorted(item.exit_code for item in results) != [0, 0]:
            return


@behave.then("one of them gets a conflict that lists the other's change")
def check_conflict(context):
    exit_codes = sorted(
        item.exit_code for item in context.race_results.values()
    )
    assert exit_codes == [0, EXIT_CONFLICT], context.race_results
    lost = next(
        result
        for result in context.race_results.values()
        if result.exit_code == EXIT_CONFLICT
    )
    assert f"profile set {PROFILE_NAME}" in lost.output + lost.errors, lost


@behave.then(
    "the accepted change is in force at all four and no profile was added"
)
def check_winner(context):
    context.cluster.control_store(delay_s=0.0)
    winning_delay_ms = next(
        delay_ms
        for delay_ms, result in context.race_results.items()
        if result.exit_code == 0
    )
    wait_in_force(context, winning_delay_ms, 10)
    stored = read_stored_document(context)
    assert find_delay_ms(stored) == winning_delay_ms, stored
    assert len(stored["profiles"]) == 1, stored


def set_platform_links(context, domain, mode, names):
    links = tuple(f"{domain}/{name}" for name in names)
    context.cluster.set_links(links, forth=mode, back=mode)


@behave.when(
    'a change is accepted while only domain "{domain}" reaches the store'
)
def accept_change_in_domain(context, domain):
    for other in MAZOWSZE:
        if other != domain:
            set_platform_links(context, other, "drop", (STORE_LINK,))
    accept_change(context)


@behave.when("a change is accepted")
def accept_change(context):
    submit_change(context, 30)
    assert context.change_result.exit_code == 0, context.change_result


@behave.when("an operator submits a change and waits {wait_s:g} s for it")
def submit_change(context, wait_s):
    # A later step may restore the store to this snapshot.
    call(context.cluster.store, "POST", "/control/snapshot", {})
    context.delay_ms += 1
    context.change_result = set_delay(
        context, "entry-1", context.delay_ms, wait_s
    )


@behave.when("the store is down")
@behave.when("the store goes down")
def stop_store(context):
    context.cluster.control_store(outage="refuse")


@behave.when('domain "{domain}" loses its links to the store and the VM list')
def cut_platform(context, domain):
    names = (STORE_LINK, VM_LIST_LINK)
    set_platform_links(context, domain, "drop", names)


@behave.when('domain "{domain}" loses its links to all others')
def cut_domain(context, domain):
    context.cluster.cut_domain(domain)


@behave.when('the links of domain "{domain}" are restored')
def heal_domain(context, domain):
    context.cluster.cut_domain(domain, "pass")


@behave.then('the operator is told that "{domain}" is not confirmed')
def check_not_confirmed(context, domain):
    assert context.change_result.exit_code == EXIT_NOT_CONFIRMED, (
        context.change_result
    )
    assert domain in context.change_result.output, context.change_result


@behave.then('domain "{domain}" still has the previous configuration in force')
def check_previous(context, domain):
    names = [
        entry.name
        for entry in context.cluster.entries
        if entry.failure_domain == domain
    ]
    # Each change raises the delay by 1 ms.
    delays_ms = {query_delay_ms(context, name) for name in names}
    assert delays_ms == {context.delay_ms - 1}, delays_ms


@behave.then("that change is in force at all four within {timeout_s:g} s")
@behave.then(
    "the accepted profile is in force at all four within {timeout_s:g} s"
)
def check_in_force(context, timeout_s):
    wait_in_force(context, context.delay_ms, timeout_s)


@behave.when('every VM of domain "{domain}" is replaced')
def replace_domain_vms(context, domain):
    names = [
        entry.name
        for entry in context.cluster.entries
        if entry.failure_domain == domain
    ]
    for name in names:
        context.cluster.daemons[name].child.kill()
    for name in names:
        context.cluster.daemons[name].start()
    wait_until(
        lambda: all(
            context.cluster.daemons[name].probe("/v1/status").status == 200
            for name in names
        ),
        "the new VMs to listen",
        START_TIMEOUT_S,
    )


@behave.when('the process of "{name}" is frozen')
def freeze_daemon(context, name):
    context.cluster.daemons[name].child.freeze()


@behave.when('the process of "{name}" resumes')
def resume_daemon(context, name):
    context.cluster.daemons[name].child.thaw()


@behave.when("the store is restored to its snapshot from before the change")
def restore_store(context):
    call(context.cluster.store, "POST", "/control/restore", {})


@behave.then("the store holds that change again within {timeout_s:g} s")
def check_stored(context, timeout_s):
    wait_until(
        lambda: (
            find_delay_ms(read_stored_document(context)) == context.delay_ms
        ),
        "the store to hold the change again",
        timeout_s,
    )


@behave.then("no node reported a lower revision after a higher one")
def check_never_lower(context):
    for name, revisions in context.reported_revisions.items():
        assert revisions == sorted(revisions), (name, revisions)
