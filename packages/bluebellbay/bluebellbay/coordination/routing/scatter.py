"""A query over shards: one leg a shard, one merged answer."""

from bluebellbay.coordination.routing.admission import AdmissionLimit
from bluebellbay.coordination.routing.delegation import Assignment
from bluebellbay.coordination.routing.delegation import Delegation
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.leg import LossReason
from bluebellbay.coordination.routing.objective import count_least
from bluebellbay.coordination.routing.objective import judge
from bluebellbay.coordination.routing.objective import Verdict
from bluebellbay.coordination.routing.run import Arrival
from bluebellbay.coordination.routing.run import Run
from bluebellbay.coordination.routing.top_records import merge_records
from bluebellbay.protocol.exchange import AnswerKind
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.route import ScatterRule


class ScatterRun(Run):
    """Merges the greatest records of the shards of one configuration.

    :param arrival: The request as it begins.
    :param rule: How it is answered.
    """

    def __init__(self, *, arrival: Arrival, rule: ScatterRule) -> None:
        super().__init__(arrival=arrival)
        self.rule = rule
        self._least = count_least(len(rule.shards), rule.least_coverage)
        self._legs: list[Leg] = []
        self._delegations: dict[int, Delegation] = {}
        self._replies: dict[str, ReplicaReply] = {}
        self._merged: list[MergedAnswer] = []
        self._replied = 0
        self._lost = 0
        self._lost_by_peers = 0
        self._ran_elsewhere = False
        self._limit: AdmissionLimit | None = None
        terms = self.request.delegation
        self._terms = terms
        if terms is not None:
            self.objective_at = arrival.now + terms.objective_s

    def list_legs(self) -> tuple[Leg, ...]:
        """List the legs that are sent from here."""
        return tuple(self._legs)

    def start(self, now: float) -> None:
        """Send a leg to each shard, some by way of peers.

        :param now: Present time in seconds.
        """
        if now >= self.deadline:
            self.fail(AnswerKind.EXPIRED, now)
            return
        if not self._has_enough(now):
            return
        if self._terms is None:
            self._limit = self.context.admission.find(self.rule.shards)
            if not self._limit.admit(self.route.rank):
                limit, self._limit = self._limit, None
                self.fail(
                    AnswerKind.OVERLOADED, now, limit=round(limit.limit, 1)
                )
                return
        self.context.timers.add(self.deadline, self)
        if self.objective_at < self.deadline:
            self.context.timers.add(self.objective_at, self)
        shards = self.rule.shards
        if self._terms is None:
            shards = self._delegate_far(shards, now)
            shards = self._delegate_near(shards, now)
        self._send_legs(shards, now)

    def handle_timeout(self, now: float) -> None:
        """Answer with what is in, as the objective or the time is reached.

        :param now: Present time in seconds.
        """
        self._note_queues(now)
        self._decide(now)
        if not self.finished and now >= self.deadline:
            self.fail(AnswerKind.TIMED_OUT, now, shards=self._replied)

    def take_reply(self, leg: Leg, reply: ReplicaReply, now: float) -> None:
        """Take a shard's reply.

        :param leg: The leg.
        :param reply: Its reply.
        :param now: Present time in seconds.
        """
        self._replies[leg.service] = reply
        self._replied += 1
        self._decide(now)

    def lose(self, leg: Leg, now: float) -> None:
        """Do without a shard.

        :param leg: The leg.
        :param now: Present time in seconds.
        """
        self._lost += 1
        self._decide(now)

    def take_answer(
        self,
        delegation: Delegation,
        answer: MergedAnswer | ErrorAnswer,
        now: float,
    ) -> None:
        """Take the shards that a peer has queried.

        :param delegation: What was asked of it.
        :param answer: Its answer.
        :param now: Present time in seconds.
        """
        if not self._drop(delegation):
            return
        if isinstance(answer, ErrorAnswer):
            if answer.kind is AnswerKind.REFUSED:
                self.context.delegations.note_refusal(delegation, now)
            self._do_without(delegation, ran=answer.ran, now=now)
            return
        self._merged.append(answer)
        self._replied += len(answer.digests)
        self._lost += answer.missing
        self._lost_by_peers += answer.missing
        self._decide(now)

    def lose_peer(
        self, delegation: Delegation, *, sent: bool, now: float
    ) -> None:
        """Go on without a peer that has failed.

        :param delegation: What was asked of it.
        :param sent: False only if no byte of it was written.
        :param now: Present time in seconds.
        """
        if self._drop(delegation):
            self._do_without(delegation, ran=sent, now=now)

    def give_up_peer(self, delegation: Delegation, now: float) -> None:
        """Wait for a silent peer no longer.

        :param delegation: What was asked of it.
        :param now: Present time in seconds.
        """
        if self._drop(delegation):
            self.context.delegations.cancel(delegation)
            self._do_without(delegation, ran=True, now=now)

    def stop_legs(self, now: float, *, abandoned: bool) -> None:
        """End all attempts, also those of peers.

        :param now: Present time in seconds.
        :param abandoned: Whether the caller has left.
        """
        super().stop_legs(now, abandoned=abandoned)
        limit, self._limit = self._limit, None
        if limit is not None:
            limit.release()
            if not abandoned and now < self.objective_at:
                limit.note_in_time()
        for delegation in self._delegations.values():
            self.context.delegations.cancel(delegation)
            self._ran_elsewhere = True
        self._delegations = {}

    def may_have_run(self) -> bool:
        """Say whether any shard may have run the query."""
        elsewhere = self._ran_elsewhere or self._merged or self._delegations
        return bool(elsewhere) or super().may_have_run()

    def _delegate_far(
        self, shards: tuple[str, ...], now: float
    ) -> tuple[str, ...]:
        assignments = self.context.peers.assign(shards, now)
        return self._delegate(assignments, shards, now)

    def _delegate_near(
        self, shards: tuple[str, ...], now: float
    ) -> tuple[str, ...]:
        assignments = self.context.owners.assign(self.rule.shards, shards, now)
        return self._delegate(assignments, shards, now)

    def _delegate(
        self,
        assignments: tuple[Assignment, ...],
        shards: tuple[str, ...],
        now: float,
    ) -> tuple[str, ...]:
        rest = dict.fromkeys(shards)
        for assignment in assignments:
            delegation = self.context.delegations.send(self, assignment, now)
            self._delegations[delegation.number] = delegation
            for shard in assignment.shards:
                del rest[shard]
        return tuple(rest)

    def _has_enough(self, now: float) -> bool:
        selector = self.context.selector
        usable = sum(
            bool(selector.count_usable(shard)) for shard in self.rule.shards
        )
        if usable >= self._least:
            return True
        self.fail(AnswerKind.NO_REPLICA, now, shards=usable)
        return False

    def _send_legs(self, shards: tuple[str, ...], now: float) -> None:
        legs = [
            Leg(context=self.context, run=self, service=shard)
            for shard in shards
        ]
        self._legs.extend(legs)
        for leg in legs:
            if not self.finished:
                leg.start(now)

    def _drop(self, delegation: Delegation) -> bool:
        found = self._delegations.pop(delegation.number, None)
        return found is not None and not self.finished

    def _do_without(
        self, delegation: Delegation, *, ran: bool, now: float
    ) -> None:
        if not ran:
            self._send_legs(delegation.shards, now)
            return
        self._ran_elsewhere = True
        self._lost += len(delegation.shards)
        self._decide(now)

    def _decide(self, now: float) -> None:
        if self.finished:
            return
        shards = len(self.rule.shards)
        replied = self._replied
        due = now >= self.objective_at
        # Each reply brings a decision; most need no look at every leg.
        decisive = due or replied >= self._least
        verdict = judge(
            shards=shards,
            replied=replied,
            open_=shards - replied - self._lost,
            hopeful=self._count_hopeful(now) if decisive else shards,
            least=self._least,
            due=due,
        )
        if verdict is Verdict.ANSWER:
            self._merge(now)
        elif verdict is Verdict.GIVE_UP:
            self._note_queues(now)
            self.fail(AnswerKind.TOO_FEW_SHARDS, now, shards=replied)

    def _note_queues(self, now: float) -> None:
        if self._limit is None or self._replied >= self._least:
            return
        waiting = self._lost_by_peers + sum(
            leg.is_hopeful(now)
            or (leg.closed and leg.reason is LossReason.REFUSED)
            for leg in self._legs
        )
        if waiting > len(self.rule.shards) - self._least:
            self._limit.note_queues(now)

    def _count_hopeful(self, now: float) -> int:
        by_peers = sum(
            len(delegation.shards) for delegation in self._delegations.values()
        )
        return by_peers + sum(leg.is_hopeful(now) for leg in self._legs)

    def _merge(self, now: float) -> None:
        bodies = [reply.body for reply in self._replies.values()]
        bodies.extend(answer.records for answer in self._merged)
        digests = [reply.digest for reply in self._replies.values()]
        for answer in self._merged:
            digests.extend(answer.digests)
        missing = len(self.rule.shards) - len(digests)
        self.answer(
            MergedAnswer(
                exchange=self.exchange,
                records=merge_records(bodies, self.rule.most_records),
                digests=tuple(digests),
                missing=missing,
            ),
            now,
            shards=len(digests),
            missing=missing,
            by_peers=sum(len(answer.digests) for answer in self._merged),
        )
