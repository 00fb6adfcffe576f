"""Steps about kills, cut-off domains and bad input of real processes."""

import itertools
import time

import behave
from process_world import all_entries_answer
from process_world import list_unexpected_errors
from process_world import start_cluster

from bluebellbay_standins.client import call
from bluebellbay_standins.fleet import FIRST_SNAPSHOT
from bluebellbay_standins.load import Query
from bluebellbay_standins.load import send_query
from bluebellbay_standins.load import SteadyLoad
from bluebellbay_standins.process import wait_until

CALLERS = 6
CONSECUTIVE_WHOLE_ANSWERS = 60
OVERSIZED_BYTES = 65537
EXPIRY_S = 60


@behave.given("a cluster of daemons over processes")
def start(context):
    context.cluster = start_cluster(context)
    context.downtimes = {}


@behave.when("callers query press-desk continuously")
def start_load(context):
    entries = itertools.cycle(context.cluster.daemons)
    profiles = itertools.cycle((("whole", 1.0), ("some", 0.0)))

    def make_query(_):
        profile, floor = next(profiles)
        return Query(
            entry=next(entries),
            index="press-desk",
            profile=profile,
            coverage_floor=floor,
        )

    context.load = SteadyLoad(
        cluster=context.cluster, draw=make_query, callers=CALLERS
    )
    context.load.start()
    context.add_cleanup(context.load.stop)
    wait_until_answered_whole(context)


def wait_until_answered_whole(context, ignored=()):
    """Wait for consecutive complete answers to queries sent from now on.

    :param ignored: Names of entry VMs whose answers don't count.
    """
    started_at = time.time()

    def settled():
        finished = [
            sample
            for sample in list(context.load.samples)
            if sample.began_at > started_at
            and sample.query.entry not in ignored
        ]
        recent = finished[-CONSECUTIVE_WHOLE_ANSWERS:]
        whole = [sample.outcome == "answered" for sample in recent]
        return len(recent) == CONSECUTIVE_WHOLE_ANSWERS and all(whole)

    wait_until(settled, "queries to be answered completely again")


@behave.when("entry-2 is killed and restarted")
def kill_and_restart_entry(context):
    daemon = context.cluster.daemons["entry-2"]
    killed_at = time.time()
    daemon.child.kill()
    wait_until_answered_whole(context, ignored=("entry-2",))
    daemon.start()
    daemon.wait_until_healthy()
    wait_until(
        lambda: all_entries_answer(context.cluster, ("entry-2",)),
        "entry-2 to answer",
    )
    context.downtimes["entry-2"] = (killed_at, time.time())
    wait_until_answered_whole(context)


@behave.when("the process of server {name} is killed and restarted")
def kill_and_restart_server(context, name):
    host = context.cluster.find_backend_host(name)
    host.child.kill()
    wait_until_answered_whole(context)
    host.start()
    wait_until_answered_whole(context)


@behave.when("the store's process is killed and restarted")
def kill_and_restart_store(context):
    host = context.cluster.store_host
    host.child.kill()
    wait_until_answered_whole(context)
    host.start()
    wait_until_answered_whole(context)


@behave.when("the callers stop")
def stop_load(context):
    context.samples = context.load.stop()


@behave.then("every answer is correct, complete and belongs to its request")
def check_answers(context):
    for sample in context.samples:
        faults = sample.find_faults((FIRST_SNAPSHOT,))
        assert not faults, (sample, faults)


@behave.then("connections broke only to {entry}, and only while it was down")
def check_broken_exchanges(context, entry):
    killed_at, healthy_at = context.downtimes[entry]
    for sample in context.samples:
        if sample.outcome != "broken":
            continue
        assert sample.query.entry == entry, sample
        ended_at = sample.began_at + sample.latency_s
        assert ended_at >= killed_at and sample.began_at <= healthy_at, sample


@behave.then("no daemon logged an unexpected error")
def check_no_unexpected_errors(context):
    assert not list_unexpected_errors(context.cluster)


def query_until(context, entry, profile, is_expected):
    """Repeat a query until an answer is as expected; keep all answers.

    :param is_expected: Takes an answer's body and returns whether to stop.
    """
    context.samples = getattr(context, "samples", [])

    def query_once():
        query = Query(
            entry=entry, index="press-desk", profile=profile, coverage_floor=0
        )
        sample = send_query(context.cluster, query)
        context.samples.append(sample)
        return sample.reply is not None and is_expected(sample.reply.body)

    wait_until(query_once, f"{entry} to answer as expected")


@behave.then(
    "queries at {entry} eventually cover exactly the share {share:g} that is "
    "in its domain"
)
def check_partial_coverage(context, entry, share):
    query_until(
        context,
        entry,
        "some",
        lambda body: body["coverage"]["fraction"] == share,
    )


@behave.then("queries at {entry} are eventually answered completely")
def check_answered_whole(context, entry):
    query_until(
        context, entry, "whole", lambda body: body["outcome"] == "answered"
    )


@behave.then("every answer received until then was correct")
def check_collected_answers(context):
    check_answers(context)


def count_legs(cluster):
    counts = cluster.read_backend_counts()
    return {name: count["legs"] for name, count in counts.items()}


def build_body(text):
    if text == "OVERSIZED":
        return b'"' + b"x" * OVERSIZED_BYTES + b'"'
    return text.replace("SOON", str(time.time() + EXPIRY_S)).encode()


@behave.then(
    "each of these is answered not-run and no backend server gets a leg"
)
def check_bad_input(context):
    cluster = context.cluster
    before = count_legs(cluster)
    address = cluster.daemons["entry-1"].address
    for row in context.table:
        path = f"/v1/query/{row['index']}"
        reply = call(address, "POST", path, build_body(row["body"]))
        body = reply.body
        observed = (str(reply.status), body["outcome"], body["error"]["kind"])
        assert observed == (row["status"], "not-run", row["kind"]), (
            row,
            reply,
        )
        assert body["error"]["ran"] == "no", body
        assert not body["rows"], body
        assert count_legs(cluster) == before, row
