"""Steps about rate limits that replicas name in their answers."""

from answer_history import build_headers
import behave
from limit_fleet import find_worst_excess
from limit_fleet import LimitFleet

from bluebellbay.transport.connection import CallAnswered
from bluebellbay_platform.condition import decode_condition
from bluebellbay_platform.wire import PlatformWire


@behave.then('an answer with each of "{headers}" names a rate of "{rate}"')
def check_decoded(context, headers, rate):
    del context
    for one in headers.split(" / "):
        # A list in one header stands with semicolons in the table.
        condition = decode_condition(
            tuple(
                (name, value.replace(b";", b","))
                for name, value in build_headers(one)
            )
        )
        words = [str(condition.rate_per_s or "none")]
        words += ["junk"] * bool(condition.unreadable)
        assert " ".join(words) == rate, (one, condition)
        unreadable = rate == "none junk"
        assert condition.rate_unreadable is unreadable, condition


@behave.then("no caller sees a replica's rate limit")
def check_not_forwarded(context):
    del context
    headers = ((b"server-limit", b"3"),)
    for status in (200, 429, 500, 503):
        answer = CallAnswered(status=status, body=b"", headers=headers)
        assert not PlatformWire().decode_reply(answer).forwarded, status


SETTLING_S = 14.0


@behave.given("{count:d} nodes whose callers send {per_s:g} {load} a second")
def step_fleet(context, count, per_s, load):
    context.fleet = LimitFleet(
        count=count, per_s=per_s, seed=7, wide=load == "queries"
    )
    context.fleet.run(SETTLING_S)


def list_limited(fleet):
    return [
        replica
        for name, replica in fleet.replicas.items()
        if name.endswith("-0")
    ]


@behave.when(
    "a replica of each service names a limit of {rate:g} for {seconds:g} s"
)
def step_limit(context, rate, seconds):
    fleet = context.fleet
    for replica in list_limited(fleet):
        replica.rates += [(fleet.now, rate), (fleet.now + seconds, None)]


@behave.when("nodes are {event} meanwhile")
def step_trouble(context, event):
    fleet = context.fleet
    for number in range(0, fleet.count, 3):
        at_s = 1.0 + number * 0.7
        if event == "cut off":
            fleet.call(at_s, setattr, fleet.nodes[number], "cut", True)
            continue
        fleet.call(at_s, fleet.restart, number)
        if event == "restarted in a crash":
            fleet.call(at_s + 1.0, restart_unnoticed, fleet, number)


def restart_unnoticed(fleet, number):
    fleet.restart(number, down_s=0.2, notice=False)


@behave.then(
    "no 4 s bring it more than one and a half times that and 5 requests"
)
def check_limit(context):
    fleet = context.fleet
    fleet.run(16.0)
    excess = {
        replica.entry.replica_id: find_worst_excess(replica, until=fleet.now)
        for replica in list_limited(fleet)
    }
    assert max(excess.values()) <= 0, (excess, fleet.answers)
