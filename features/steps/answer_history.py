"""Random histories of what replicas' answers say of leaving and pauses."""

import dataclasses

from routing_harness import build_replica
from routing_history_steps import RandomHistory
from routing_history_steps import REPLICAS
from routing_history_steps import SHARDS

from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay_platform.condition import decode_condition

STATUSES = {"reply": 200, "late reply": 200, "error": 503}


def build_headers(text):
    pairs = (item.split(":", 1) for item in text.split(", "))
    return tuple((name.encode(), value.encode()) for name, value in pairs)


def tell(harness, number, answer, text):
    """End an attempt by an answer with headers."""
    status = STATUSES.get(answer, 503)
    condition = decode_condition(build_headers(text), status)
    if answer == "refusal":
        harness.refuse(number, condition=condition)
    elif answer == "address reused":
        harness.refuse(number, RefusalKind.ADDRESS_REUSED, condition=condition)
    else:
        harness.reply(number, status=status, condition=condition)


def get_key(entry):
    return (entry.replica_id, entry.started_ms, entry.address)


class AnswerHistory(RandomHistory):
    """Drives a core at random, with requests that wait for connections.

    A request reaches its replica once it is written. The oracle knows only
    the answers that were read and the incarnation that each was from.
    """

    def __init__(self, seed, *, shards):
        super().__init__(seed, idempotent=True, shards=shards)
        self.waiting = {}
        self.left = set()
        # Incarnation, time of the answer and end of each pause.
        self.pauses = []
        self.reached = []
        self.seen = 0

    def open_exchange(self):
        exchange = next(self.numbers)
        self.opened[exchange] = self.harness.now
        terms = None
        if self.services == SHARDS and self.rng.random() < 0.5:
            terms = DelegationTerms(
                shards=SHARDS, objective_s=0.1, most_records=5, most_attempts=2
            )
        self.harness.open_exchange(exchange, "route", delegation=terms)

    def follow_commands(self):
        """Write requests or let them wait, as a pool does."""
        while self.seen < len(self.harness.commands):
            command = self.harness.commands[self.seen]
            self.seen += 1
            if isinstance(command, SendAttempt):
                self.waiting[command.attempt] = get_key(command.replica)
                if self.rng.random() < 0.7:
                    at = self.harness.attempts[command.attempt].sent_at
                    self.write(command.attempt, at)
            elif isinstance(command, CloseReplicaConnections) or (
                isinstance(command, SetConnectionLimit) and not command.limit
            ):
                for number, key in tuple(self.waiting.items()):
                    if key == get_key(command.replica):
                        del self.waiting[number]
                        self.harness.fail(number, sent=False)

    def write(self, number, now):
        key = self.waiting.pop(number)
        assert key not in self.left, "reached a leaving replica"
        self.reached.append((key, now))
        for paused, at, end in self.pauses:
            late = [
                then
                for other, then in self.reached
                if other == paused and at + 0.5 <= then < end
            ]
            assert len(late) <= 2, "reached a quiet replica"
            # The node itself sends none.
            assert paused != key or not at < now < end, "sent in a pause"

    def end(self, number):
        self.follow_commands()
        attempt = self.harness.attempts[number]
        if attempt.ended:
            return
        if number in self.waiting:
            self.write(number, self.harness.now)
            return
        key = get_key(attempt.command.replica)
        answer = self.rng.choice(
            ("reply", "reply", "error", "refusal", "address reused")
        )
        seconds = self.rng.choice((0.05, 1.0, 5.0))
        headers = self.rng.choice(
            ("server-leaving: 1", f"retry-after: {seconds}", *5 * ["x: y"])
        )
        if headers.startswith("server"):
            self.left.add(key)
        elif headers.startswith("retry") and answer in ("error", "refusal"):
            at = self.harness.now
            self.pauses.append((key, at, at + seconds))
        tell(self.harness, number, answer, headers)

    def change_replica(self):
        service = self.rng.choice(self.services)
        name = f"{service}-{self.rng.randrange(REPLICAS)}"
        if self.rng.random() < 0.3:
            self.harness.feed(ReplicaRemoved(replica_id=name))
            return
        number = len(self.harness.commands)
        entry = build_replica(
            name,
            service,
            sequence=number + 2,
            draining=self.rng.random() < 0.2,
            started_ms=self.rng.choice((1000, 1000, 1000, 1000 + number)),
        )
        if self.rng.random() < 0.2:
            entry = dataclasses.replace(entry, address="10.0.0.2:9")
        self.harness.add_replicas(entry)
