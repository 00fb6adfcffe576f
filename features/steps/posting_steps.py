"""Steps about postings: non-repeatable requests to a cluster of processes."""

import collections
import concurrent.futures
import json
import random
import time

import behave
from process_world import ENTRY_NAMES
from process_world import list_unexpected_errors
from process_world import Posting
from process_world import POSTING_SERVERS
from process_world import SEED

from bluebellbay_standins.process import wait_until

MAX_ATTEMPTS = 40
RETRY_PAUSE_S = 0.25
CONCURRENT_CALLERS = 6
ATTEMPTS_PER_POSTING = 4


def get_daemon(context, number):
    return context.cluster.daemons[f"entry-{number}"]


def get_posting(context):
    if not hasattr(context, "posting"):
        context.posting = Posting(context.cluster)
    return context.posting


@behave.when("the posting is sent to every entry VM at once")
def send_at_once(context):
    posting = get_posting(context)
    context.replies = posting.send_concurrently(ENTRY_NAMES)


@behave.when("the posting is sent to every entry VM in turn")
def send_in_turn(context):
    posting = get_posting(context)
    context.replies = [posting.send(entry) for entry in ENTRY_NAMES]


@behave.when("the posting is sent to entry-{number:d}")
def send_one(context, number):
    reply = get_posting(context).send(f"entry-{number}")
    context.replies = [reply]


@behave.when("the posting is sent to entry-{number:d} until it is answered")
def send_until_answered(context, number):
    posting = get_posting(context)
    for _ in range(MAX_ATTEMPTS):
        reply = posting.send(f"entry-{number}")
        if reply.body["outcome"] == "answered":
            return
        time.sleep(RETRY_PAUSE_S)
    raise AssertionError(posting.describe())


@behave.when(
    "the posting is sent to entry-{number:d} until it is told no-server"
)
def send_until_no_server(context, number):
    posting = get_posting(context)
    for _ in range(MAX_ATTEMPTS):
        body = posting.send(f"entry-{number}").body
        assert body["outcome"] == "not-run", body
        if body["error"]["kind"] == "no-server":
            return
        time.sleep(RETRY_PAUSE_S)
    raise AssertionError(posting.describe())


@behave.when("the posting is sent to entry-{number:d} in the background")
def send_in_background(context, number):
    get_posting(context).send_in_background(f"entry-{number}")


@behave.when(
    "a posting that expires in {life_s:d} s is sent to entry-{number:d} in "
    "the background"
)
def send_short_lived(context, life_s, number):
    context.posting = Posting(context.cluster, expires_in_s=life_s)
    context.posting.send_in_background(f"entry-{number}")


@behave.when("its claim is stored")
def wait_for_claim(context):
    wait_until(context.posting.is_claimed, "the claim to be written")


@behave.when("the posting has started to run")
def wait_for_execution(context):
    wait_until(
        lambda: context.posting.count_executions() > 0, "the posting to run"
    )


@behave.when("entry-{number:d} has answered the posting")
def wait_for_reply(context, number):
    context.replies = [context.posting.pending[f"entry-{number}"].result()]


def wait_until_expired(context):
    expires_at = context.posting.expires_at
    wait_until(lambda: time.time() > expires_at, "the posting to expire")


@behave.when("the posting has expired")
def wait_for_expiry(context):
    wait_until_expired(context)


@behave.when("entry-{number:d} is frozen until the posting has expired")
def freeze(context, number):
    get_daemon(context, number).child.freeze()
    wait_until_expired(context)


@behave.when("entry-{number:d} is thawed")
def thaw(context, number):
    get_daemon(context, number).child.thaw()


@behave.given("the store holds its answers to writes")
def hold_answers(context):
    context.cluster.control_store(hold_answers=True)


@behave.when("the store releases its held answers")
@behave.given("the store answers at once")
def release_answers(context):
    context.cluster.control_store(hold_answers=False)


@behave.when("entry-{number:d} is killed")
def kill(context, number):
    get_daemon(context, number).child.kill()


@behave.when("the store loses its next {lost:d} answers to writes")
def lose_answers(context, lost):
    context.cluster.control_store(lose_answers=lost)


@behave.when("the store's outage mode is {outage}")
def set_outage(context, outage):
    context.cluster.control_store(outage=outage)


@behave.given("every server takes {run_time_s:g} s to run a posting")
def set_run_time(context, run_time_s):
    control_servers(context, {"median_ms": run_time_s * 1000, "spread": 0})


@behave.given("the next reply of every server has the fault {fault}")
def inject_reply_fault(context, fault):
    control_servers(context, {fault: 1})


@behave.given("every server is reconfigured with {changes}")
def control_all(context, changes):
    control_servers(context, json.loads(changes))


@behave.given("every server is set to {changes} and listed as restarted")
def restart_all(context, changes):
    control_servers(context, json.loads(changes))
    context.cluster.list_restarted(POSTING_SERVERS)


def control_servers(context, changes):
    for name in POSTING_SERVERS:
        context.cluster.control_backend(name, **changes)


@behave.when("failure domain {domain} is cut off by {mode}")
def cut_domain(context, domain, mode):
    context.cluster.cut_domain(domain, mode)


@behave.when("failure domain {domain} is joined again")
def restore_domain(context, domain):
    context.cluster.cut_domain(domain, "pass")


@behave.then("it ran exactly once")
def check_executed_once(context):
    check_executions(context, (1,))


@behave.then("it never ran")
def check_never_executed(context):
    check_executions(context, (0,))


@behave.then("it ran as often as its callers' replies allow")
def check_executions_allowed(context):
    check_executions(context, list_allowed_counts(context.posting))


def check_executions(context, allowed):
    ran = context.posting.count_executions()
    assert ran in allowed, (ran, context.posting.describe())
    assert not list_unexpected_errors(context.cluster)


def list_allowed_counts(posting):
    """List how often a posting may have run, given its callers' replies."""
    if "answered" in posting.outcomes:
        return (1,)
    if set(posting.outcomes) == {"not-run"}:
        return (0,)
    return (0, 1)


@behave.then("no backend server refused a leg as expired")
def check_no_expired_leg(context):
    counts = context.cluster.read_backend_counts()
    expired = sum(
        counts[name]["refused"].get("expired", 0) for name in POSTING_SERVERS
    )
    assert expired == 0, counts


@behave.then("a caller was told the outcome answered")
def check_answered(context):
    outcomes = context.posting.outcomes
    assert "answered" in outcomes, context.posting.describe()
    assert set(outcomes) <= {"answered", "unknown"}, outcomes


@behave.then("every entry VM eventually replies with the outcome answered")
def check_all_answered(context):
    for number in range(1, len(ENTRY_NAMES) + 1):
        send_until_answered(context, number)


@behave.then("every caller was told not-run with error {kind}")
def check_all_not_run(context, kind):
    for reply in context.replies:
        assert reply.body["outcome"] == "not-run", reply
        assert reply.body["error"]["kind"] == kind, reply


@behave.then("the last caller was told not-run or unknown")
def check_not_known(context):
    outcome = context.replies[-1].body["outcome"]
    assert outcome in ("not-run", "unknown"), context.replies


@behave.then("the last caller was told that the outcome is unknown")
def check_unknown(context):
    body = context.replies[-1].body
    assert body["outcome"] == "unknown", body
    assert body["error"]["ran"] == "perhaps", body


@behave.when(
    "{count:d} postings are sent repeatedly while seeded faults are injected"
)
def send_under_faults(context, count):
    cluster = context.cluster
    rng = random.Random(SEED)
    context.postings = [Posting(cluster) for _ in range(count)]

    def send(posting):
        for entry in rng.sample(ENTRY_NAMES, ATTEMPTS_PER_POSTING):
            reply = posting.send(entry)
            if reply.body["outcome"] == "answered":
                return

    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_CALLERS) as pool:
        pending = [pool.submit(send, item) for item in context.postings]
        while not all(item.done() for item in pending):
            inject_fault(context, rng)
        for item in pending:
            item.result()


def inject_fault(context, rng):
    """Inject one fault for a while, then remove it."""
    cluster = context.cluster
    server = rng.choice(POSTING_SERVERS)
    domain = rng.choice(("mazowsze-a", "mazowsze-b", "mazowsze-c"))
    entry = rng.choice(ENTRY_NAMES)
    fault = rng.choice(
        ("store", "answers", "reply", "slow", "cut", "freeze", "kill")
    )
    duration_s = rng.uniform(0.2, 0.8)
    if fault == "store":
        cluster.control_store(outage=rng.choice(("refuse", "hang")))
        time.sleep(duration_s)
        cluster.control_store(outage="none")
    elif fault == "answers":
        cluster.control_store(lose_answers=rng.randint(1, 4))
    elif fault == "reply":
        name = rng.choice(("lose_replies", "truncate_replies"))
        cluster.control_backend(server, **{name: 2})
    elif fault == "slow":
        cluster.control_backend(server, straggle_factor=200)
        time.sleep(duration_s)
        cluster.control_backend(server, straggle_factor=1)
    elif fault == "cut":
        cluster.cut_domain(domain, rng.choice(("drop", "hold")))
        time.sleep(duration_s)
        cluster.cut_domain(domain, "pass")
    elif fault == "freeze":
        cluster.daemons[entry].child.freeze()
        time.sleep(duration_s)
        cluster.daemons[entry].child.thaw()
    else:
        cluster.daemons[entry].child.kill()
        cluster.daemons[entry].start()
        cluster.daemons[entry].wait_until_healthy()


@behave.then(
    "none ran twice, and none ran whose callers were all told not-run"
)
def check_executions_under_faults(context):
    runs = collections.Counter()
    for counts in context.cluster.read_backend_counts().values():
        runs.update(counts["executions_by_request"])
    outcomes = collections.Counter()
    for posting in context.postings:
        outcomes.update(posting.outcomes)
        ran = runs[posting.request_id]
        assert ran in list_allowed_counts(posting), (ran, posting.describe())
    assert outcomes["answered"] > 0, outcomes
    assert not list_unexpected_errors(context.cluster)
    print(f"outcomes {dict(outcomes)}")
