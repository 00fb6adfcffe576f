"""Steps for replicas whose entries are gone."""

import time

import behave
from platform_world import wait_for
from store_age_steps import ENTRY
from store_age_steps import start_node
from store_age_steps import wait_for_check


def list_keys(count):
    return [f"servers/r{number:04d}" for number in range(count)]


def remove_entries(context, count, gap_s=0.0):
    context.removed_at = {}
    for key in list_keys(count):
        context.removed_at[key] = time.monotonic()
        context.store.remove(key)
        time.sleep(gap_s)


def find_replica(context, key):
    return context.node.core.state.replicas.find(key.removeprefix("servers/"))


@behave.given(
    "a follower among {nodes:d} nodes of a faulty store with {entries:d} "
    "entries"
)
def start_one_of_many(context, nodes, entries):
    start_node(context, entries, page=500, nodes=nodes)


@behave.when(
    "an entry is removed, and the watch that waits is cut {delay_s:g} s later"
)
def remove_and_cut(context, delay_s):
    remove_entries(context, 1)
    time.sleep(delay_s)
    context.store.cut_watches()


@behave.when(
    "an entry is removed, and the watch that waits is cut each {gap_s:g} s"
)
def remove_and_cut_often(context, gap_s):
    remove_entries(context, 1)
    for _ in range(5):
        time.sleep(gap_s)
        context.store.cut_watches()


@behave.when("{count:d} entries are removed, {gap_s:g} s apart")
def remove_some(context, count, gap_s):
    remove_entries(context, count, gap_s)


@behave.when("the open connections go silent just after a check")
def silence_after_check(context):
    wait_for_check(context)
    context.store.silence_connections()
    context.silent_at = time.monotonic()


@behave.when("an entry is removed {delay_s:g} s later")
def remove_later(context, delay_s):
    time.sleep(delay_s)
    remove_entries(context, 1)


@behave.when(
    "the store refuses all calls for {outage_s:g} s, and {count:d} entries "
    "lapse meanwhile"
)
def refuse_and_lapse(context, outage_s, count):
    context.known = {
        record.entry.replica_id: record
        for record in context.node.core.state.replicas
    }
    context.store.refuses_all = True
    context.store.cut_watches()
    time.sleep(outage_s / 2)
    remove_entries(context, count)
    time.sleep(outage_s / 2)
    context.store.refuses_all = False
    context.returned_at = time.monotonic()


@behave.when("these entries are written again {delay_s:g} s after its return")
def write_again(context, delay_s):
    time.sleep(delay_s)
    for key in context.removed_at:
        context.store.put(key, {**ENTRY, "sequence": 9})


@behave.then("each of the {count:d} replicas was known all the while")
def check_kept(context, count):
    assert wait_for(
        lambda: all(
            record.unlisted_at is None
            for record in context.node.core.state.replicas
        )
    )
    replicas = context.node.core.state.replicas
    assert len(replicas) == count, len(replicas)
    # A replica that was removed and added again has a record of its own.
    for replica_id, record in context.known.items():
        assert replicas.find(replica_id) is record, replica_id


@behave.then(
    "no removed entry names a replica {limit_s:g} s after its removal"
)
def check_gone_after_removal(context, limit_s):
    for key, removed_at in context.removed_at.items():
        check_gone(context, key, removed_at + limit_s)


@behave.then(
    "no removed entry names a replica {limit_s:g} s after the silence"
)
def check_gone_after_silence(context, limit_s):
    for key in context.removed_at:
        check_gone(context, key, context.silent_at + limit_s)


@behave.then("no removed entry names a replica {limit_s:g} s after the return")
def check_gone_after_return(context, limit_s):
    for key in context.removed_at:
        check_gone(context, key, context.returned_at + limit_s)


def check_gone(context, key, due_at):
    time.sleep(max(0.0, due_at - time.monotonic()))
    assert find_replica(context, key) is None, key
