"""Steps about the stand-ins."""

import json
import random
import socket

import behave
from treq.testing import StubTreq
from twisted.internet.task import Clock

from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay_standins.backend import BackendServer
from bluebellbay_standins.behaviour import BackendBehaviour
from bluebellbay_standins.client import call
from bluebellbay_standins.client import change
from bluebellbay_standins.cluster import Cluster
from bluebellbay_standins.cluster import ClusterShape
from bluebellbay_standins.fleet import MAZOWSZE
from bluebellbay_standins.fleet import SMALL
from bluebellbay_standins.net import split_address
from bluebellbay_standins.process import wait_until
from bluebellbay_standins.row import list_rows
from bluebellbay_standins.site import merge_behaviour
from bluebellbay_standins.store import StoreBehaviour
from bluebellbay_standins.store import StoreServer
from bluebellbay_standins.vm_list import VmListBehaviour
from bluebellbay_standins.vm_list import VmListServer

SEED = 11
WHOLE = {"snapshot": 1, "start": 0, "end": 2**32}


class Exchange:
    """One call to a stand-in without a socket."""

    def __init__(self, app, method, path, message=None):
        self.status = None
        self.body = None
        self._stub = StubTreq(app.resource())
        data = None if message is None else encode_json(message)
        answered = self._stub.request(method, f"http://x{path}", data=data)
        answered.addCallbacks(self._read, lambda _: None)
        self._stub.flush()

    def _read(self, response):
        def keep(body):
            self.status = response.code
            self.body = json.loads(body)

        return response.content().addCallbacks(keep, lambda _: None)

    def pump(self):
        self._stub.flush()
        return self


def put(context, key, value, version):
    body = {"value": value, "expected_version": version}
    path = f"/v1/keys/{key}"
    return Exchange(context.store.app, "PUT", path, body)


def list_pending(context):
    return (*context.legs.values(), *context.waiting)


@behave.given("a stand-in store")
def make_store(context):
    make_limited_store(context, 100)


@behave.given("a stand-in store with {rate:d} writes a second")
def make_limited_store(context, rate):
    context.clock = Clock()
    context.legs, context.waiting = {}, []
    behaviour = StoreBehaviour(writes_per_s=rate)
    context.store = StoreServer(clock=context.clock, behaviour=behaviour)


@behave.when('key "{key}" is put as "{value}" over version {version:d}')
def put_key(context, key, value, version):
    context.last = put(context, key, value, version)
    for exchange in list_pending(context):
        exchange.pump()


@behave.when('key "{key}" is deleted over version {version:d}')
def delete_key(context, key, version):
    assert put(context, key, None, version).status == 200


@behave.then('the last put is refused and shows "{value}"')
def check_refused(context, value):
    assert context.last.status == 409
    assert context.last.body["value"] == value


@behave.then("the last put is accepted at a version above {version:d}")
def check_accepted(context, version):
    assert context.last.status == 200
    assert context.last.body["version"] > version


@behave.then("the last put got status {status}")
def check_put_status(context, status):
    assert str(context.last.status).lower() == status


@behave.when(
    'a watch waits for key "{key}" after version {version:d} for {time_s:d} s'
)
def start_watch(context, key, version, time_s):
    path = f"/v1/keys/{key}?after={version}&timeout_s={time_s}"
    context.waiting = [Exchange(context.store.app, "GET", path)]


@behave.then("the watch has not answered")
def check_waiting(context):
    assert context.waiting[0].pump().status is None


@behave.then('the watch answers with "{value}"')
def check_watch(context, value):
    assert context.waiting[0].status == 200
    assert context.waiting[0].body["value"] == value


@behave.when("{time_s:g} s pass at the stand-ins")
def pass_time(context, time_s):
    context.clock.advance(time_s)
    for exchange in list_pending(context):
        exchange.pump()


@behave.then(
    "the stand-in store counted {watches:d} watches, {reads:d} reads "
    "and {writes:d} writes"
)
def check_counts(context, watches, reads, writes):
    counts = context.store.counts
    seen = (counts.watches, counts.reads, counts.writes)
    assert seen == (watches, reads, writes), counts


@behave.when("{count:d} puts arrive at once at the stand-in store")
def put_many(context, count):
    context.puts = [put(context, f"k{n}", "v", 0) for n in range(count)]


@behave.then(
    "{accepted:d} of them are accepted and {throttled:d} are throttled "
    "without effect"
)
def check_throttled(context, accepted, throttled):
    statuses = [exchange.status for exchange in context.puts]
    assert statuses == [200] * accepted + [429] * throttled
    assert len(context.store.keys.list_entries()) == accepted


@behave.when("a lease of {ttl_s:d} s is taken")
def take_lease(context, ttl_s):
    app = context.store.app
    context.lease = Exchange(app, "POST", "/v1/leases", {"ttl_s": ttl_s})
    assert context.lease.status == 200


@behave.then("the lease {can} be renewed")
def check_lease(context, can):
    lease = context.lease.body["lease"]
    renewed = Exchange(context.store.app, "POST", f"/v1/leases/{lease}")
    assert renewed.status == {"can": 200, "cannot": 404}[can]


@behave.when("the stand-in store is told {changes}")
def tell_store(context, changes):
    app = context.store.app
    assert Exchange(app, "POST", "/control", json.loads(changes)).status == 200


@behave.then('key "{key}" of the stand-in store is absent')
def check_absent(context, key):
    assert context.store.keys.read(key).version == 0


@behave.then('key "{key}" of the stand-in store holds "{value}"')
def check_held(context, key, value):
    assert context.store.keys.read(key).value == value


@behave.given("a stand-in list of VMs that lags {lag_s:d} s")
def make_list(context, lag_s):
    context.clock = Clock()
    context.legs, context.waiting = {}, []
    behaviour = VmListBehaviour(lag_s=lag_s)
    context.vm_list = VmListServer(clock=context.clock, behaviour=behaviour)


@behave.when('VM "{name}" is added to the stand-in list')
def add_vm(context, name):
    vm = {
        "name": name,
        "role": "backend",
        "failure_domain": "a",
        "address": "127.0.0.1:1",
    }
    Exchange(context.vm_list.app, "POST", "/control/vms", [vm])


@behave.when('VM "{name}" is marked as {state} in the stand-in list')
def mark_vm(context, name, state):
    body = {"name": name, "state": state}
    Exchange(context.vm_list.app, "POST", "/control/mark", body)


def read_states(context):
    listed = Exchange(context.vm_list.app, "GET", "/v1/vms").body
    return {vm["name"]: vm["state"] for vm in listed["vms"]}


@behave.then('the stand-in list shows no VM "{name}"')
def check_unlisted(context, name):
    assert name not in read_states(context)


@behave.then('the stand-in list shows VM "{name}" as {state}')
def check_listed(context, name, state):
    assert read_states(context)[name] == state


@behave.given("a stand-in server with {changes}")
def make_server(context, changes):
    context.clock = Clock()
    context.legs, context.waiting = {}, []
    given = json.dumps({"holdings": [WHOLE], **json.loads(changes)})
    context.server = BackendServer(
        name="press-desk-01-a",
        index="press-desk",
        service="press-desk-01",
        clock=context.clock,
        rng=random.Random(SEED),
        behaviour=merge_behaviour(BackendBehaviour(), given.encode()).ok,
    )


@behave.when("legs {names} arrive at the stand-in server")
def send_legs(context, names):
    for name in split_names(names):
        leg = {
            "attempt": name,
            "request_id": f"request-{name}",
            "index": "press-desk",
            "service": "press-desk-01",
            "snapshot": 1,
            "start": 0,
            "end": 2**30,
            "deadline_ms": 100,
        }
        app = context.server.app
        context.legs[name] = Exchange(app, "POST", "/v1/leg", leg)


def split_names(names):
    return names.replace(" and ", ", ").split(", ")


@behave.when("leg {name} is cancelled at the stand-in server")
def cancel_leg(context, name):
    body = {"attempt": name}
    Exchange(context.server.app, "POST", "/v1/cancel", body)


@behave.when("the stand-in server is told {changes}")
def tell_server(context, changes):
    present = context.server.behaviour
    merged = merge_behaviour(present, changes.encode()).ok
    context.server.change_behaviour(merged)


@behave.then("leg {name} is refused as {reason}")
def check_leg_refused(context, name, reason):
    exchange = context.legs[name]
    assert (exchange.status, exchange.body["reason"]) == (409, reason)


@behave.then("legs a and b have begun to run and leg c has not")
def check_running(context):
    counts = context.server.counts
    seen = counts.executions_by_request
    assert seen == {"request-a": 1, "request-b": 1}, counts


@behave.then("leg {name} has not been answered")
def check_unanswered(context, name):
    assert context.legs[name].status is None


@behave.then("leg {names} is answered with the rows of its range")
@behave.then("legs {names} are answered with the rows of their range")
def check_rows(context, names):
    for name in split_names(names):
        exchange = context.legs[name]
        assert exchange.status == 200, (name, exchange.status, exchange.body)
        rows = list_rows(
            key_range=KeyRange(start=0, end=2**30),
            index="press-desk",
            snapshot=1,
            request_id=f"request-{name}",
        )
        assert exchange.body["rows"] == json.loads(encode_json(rows))


@behave.then("the stand-in server never ran leg {name}")
def check_never_ran(context, name):
    seen = context.server.counts.executions_by_request
    assert f"request-{name}" not in seen, seen


@behave.then("the stand-in server's health does not tell that it is leaving")
def check_misleading(context):
    health = Exchange(context.server.app, "GET", "/v1/health")
    assert health.body["leaving"] is False


@behave.given("stand-ins for a small fleet as processes")
def start_standins(context):
    shape = ClusterShape(
        fleets=(SMALL,), entry_domains=MAZOWSZE, links=True, seed=SEED
    )
    context.cluster = Cluster(shape=shape)
    context.add_cleanup(context.cluster.close)
    context.cluster.start_platform()


def read_address(context, domain, name):
    view = context.cluster.vm_list_host.report.views[domain]
    vms = call(view, "GET", "/v1/vms").body["vms"]
    return next(vm["address"] for vm in vms if vm["name"] == name)


@behave.then("a server closes connections beyond its limit and counts them")
def check_limit(context):
    cluster = context.cluster
    name = "press-desk-01-a"
    cluster.control_backend(name, connection_limit=3)
    address = split_address(cluster.backend_hosts[0].report.backends[name])
    wait_until(
        lambda: cluster.read_backend_counts()[name]["connections"] == 0,
        "no connection to be open",
    )
    opened = [socket.create_connection(address) for _ in range(5)]

    def count():
        counts = cluster.read_backend_counts()[name]
        seen = (counts["connections"], counts["connections_refused"])
        return seen == (3, 2)

    wait_until(count, "three connections and two refused")
    for connection in opened:
        connection.close()


def reaches(address):
    try:
        call(address, "GET", "/v1/health")
    except OSError:
        return False
    return True


@behave.then(
    "a cut failure domain reaches no server outside until it is joined"
)
def check_cut(context):
    cluster = context.cluster
    domain = "mazowsze-a"
    address = read_address(context, domain, "press-desk-02-a")
    assert call(address, "GET", "/v1/health").status == 200
    cluster.cut_domain(domain)
    assert not reaches(address)
    cluster.cut_domain(domain, "pass")
    assert call(address, "GET", "/v1/health").status == 200


@behave.then("ranges moved between two servers are served by the other")
def check_moved(context):
    cluster = context.cluster
    control = cluster.backend_hosts[0].report.control
    half = {"snapshot": 1, "start": 0, "end": 2**29}
    rest = {"snapshot": 1, "start": 2**29, "end": 2**30}
    holdings = {"press-desk-01-a": [half], "press-desk-01-b": [rest]}
    change(control, "/control", holdings=holdings)
    for name, held in holdings.items():
        address = cluster.backend_hosts[0].report.backends[name]
        health = call(address, "GET", "/v1/health").body
        assert health["holdings"] == held


@behave.then("the store keeps its keys over a kill")
def check_journal(context):
    cluster = context.cluster
    body = {"value": "one", "expected_version": 0}
    put_reply = call(cluster.store, "PUT", "/v1/keys/k", body)
    cluster.store_host.child.kill()
    cluster.store_host.start()
    read = call(cluster.store, "GET", "/v1/keys/k")
    assert read.body == put_reply.body
