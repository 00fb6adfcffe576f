"""Queries over shards: one leg for each shard, one merged answer."""

from bluebellbay.coordination.routing.admission import AdmissionLimit
from bluebellbay.coordination.routing.assignment import Remainder
from bluebellbay.coordination.routing.delegation import Delegation
from bluebellbay.coordination.routing.hedging import is_hedge_useful
from bluebellbay.coordination.routing.leg import FailureReason
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.objective import count_required_shards
from bluebellbay.coordination.routing.objective import decide_answer
from bluebellbay.coordination.routing.objective import Decision
from bluebellbay.coordination.routing.task import Arrival
from bluebellbay.coordination.routing.task import RequestTask
from bluebellbay.coordination.routing.top_records import merge_answers
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.route import ScatterRule


class ScatterTask(RequestTask):
    """Merges the greatest records of the shards of one configuration.

    :param arrival: The request, its route and its time of arrival.
    :param rule: Shards, size and smallest coverage of the answer.
    """

    def __init__(self, *, arrival: Arrival, rule: ScatterRule) -> None:
        super().__init__(arrival=arrival)
        self.rule = rule
        self.required_services = rule.shards
        self._required_shards = count_required_shards(
            len(rule.shards), rule.min_coverage
        )
        self._legs: list[Leg] = []
        self._delegations: dict[int, Delegation] = {}
        self._replies: dict[str, ReplicaReply] = {}
        self._peer_answers: list[MergedAnswer] = []
        self._replied_shards = 0
        self._failed_shards = 0
        self._missing_from_peers = 0
        self._may_have_run_at_peer = False
        self._objective_seen = False
        # Whether another node may have queried the shards for this request.
        self._is_repeat = False
        self._admission: AdmissionLimit | None = None
        self._refused_by: AdmissionLimit | None = None
        # Shards that were still pending at peers which answered a part.
        self._remainders: list[Remainder] = []

    def list_legs(self) -> tuple[Leg, ...]:
        """Return the legs that this node sends itself."""
        return tuple(self._legs)

    def may_hedge(self, now: float) -> bool:
        """Tell whether the answer could include the reply to a hedge.

        :param now: Current Unix time in seconds.
        """
        shards = len(self.rule.shards)
        return is_hedge_useful(
            self.context.selector.get_pooled(self.route.name),
            left_s=self.objective_at - now,
            pending=shards - self._replied_shards - self._failed_shards,
            spare=shards - self._required_shards,
        )

    def start(self, now: float) -> None:
        """Delegate shards to peers and send a leg to each other shard.

        :param now: Current Unix time in seconds.
        """
        if now >= self.deadline:
            self.fail(RoutingErrorKind.EXPIRED, now)
            return
        if not self._require_replicas(now):
            return
        if not self._admit(now):
            return
        self.context.timers.add(self.deadline, self)
        if self.objective_at < self.deadline:
            self.context.timers.add(self.objective_at, self)
        shards = self._divide(self.rule.shards, now, repeat=self._is_repeat)
        self._send_legs(shards, now, repeat=self._is_repeat)

    def handle_timeout(self, now: float) -> None:
        """Decide at the objective; time out at the deadline.

        :param now: Current Unix time in seconds.
        """
        self._report_congestion(now)
        self._decide(now)
        if not self.finished and now >= self.deadline:
            self.fail(
                RoutingErrorKind.TIMED_OUT, now, shards=self._replied_shards
            )

    def handle_reply(self, leg: Leg, reply: ReplicaReply, now: float) -> None:
        """Add a shard's reply to the answer.

        :param reply: The reply.
        :param now: Current Unix time in seconds.
        """
        self._replies[leg.service] = reply
        self._replied_shards += 1
        self._decide(now)

    def handle_leg_failure(self, leg: Leg, now: float) -> None:
        """Go on without a shard.

        :param now: Current Unix time in seconds.
        """
        self._failed_shards += 1
        self._decide(now)

    def handle_delegation_answer(
        self,
        delegation: Delegation,
        answer: MergedAnswer | ErrorAnswer,
        now: float,
    ) -> None:
        """Add a peer's records, or handle its error.

        :param delegation: The delegation to the peer.
        :param answer: Its answer.
        :param now: Current Unix time in seconds.
        """
        if not self._remove_delegation(delegation):
            return
        if isinstance(answer, ErrorAnswer):
            if answer.kind is RoutingErrorKind.REFUSED:
                self.context.delegations.record_refusal(delegation, now)
            if answer.ran:
                self._lose_shards(delegation, now)
            else:
                self._query_here(delegation, now)
            return
        if not delegation.accepts(answer):
            self._log("Dropped a peer's answer about other shards.", now)
            self._lose_shards(delegation, now)
            return
        delegation.record_answer(answer, now)
        self._peer_answers.append(answer)
        self._replied_shards += len(answer.digests)
        failed = answer.missing - len(answer.pending)
        self._failed_shards += failed
        self._missing_from_peers += failed
        if answer.pending:
            self._remainders.append(
                Remainder(
                    peer=delegation.peer,
                    shards=answer.pending,
                    exchange=answer.exchange,
                )
            )
        self._decide(now)

    def handle_delegation_failure(
        self, delegation: Delegation, *, sent: bool, now: float
    ) -> None:
        """Query the shards of a peer that gave no answer once more.

        :param delegation: The delegation to the peer.
        :param sent: False only if no byte of the query was written.
        :param now: Current Unix time in seconds.
        """
        if not self._remove_delegation(delegation):
            return
        if sent:
            self._query_again(delegation, now)
        else:
            self._query_here(delegation, now)

    def abandon_delegation(self, delegation: Delegation, now: float) -> None:
        """Query the shards of a peer that does not answer once more.

        :param delegation: The delegation to the peer.
        :param now: Current Unix time in seconds.
        """
        if self._remove_delegation(delegation):
            self.context.delegations.cancel(delegation, now)
            self._query_again(delegation, now)

    def stop_legs(self, now: float, *, unanswered: bool) -> None:
        """End all attempts and delegations; release the admission.

        :param now: Current Unix time in seconds.
        :param unanswered: Whether there is no answer; see ``Leg.stop``.
        """
        super().stop_legs(now, unanswered=unanswered)
        limit, self._admission = self._admission, None
        if limit is not None:
            limit.release(now - self._arrived_at)
            if not unanswered and now < self.objective_at:
                limit.record_on_time()
        for delegation in self._delegations.values():
            self.context.delegations.cancel(delegation, now)
            self._may_have_run_at_peer = True
        self._delegations = {}

    def estimate_room(self, now: float) -> float:
        """Estimate when the caller would be admitted.

        :param now: Current Unix time in seconds.
        :returns: Seconds.
        """
        if self._refused_by is None:
            return super().estimate_room(now)
        return self._refused_by.estimate_room(now)

    def may_have_run(self) -> bool:
        """Tell whether any shard may have run the query."""
        at_peer = (
            self._may_have_run_at_peer
            or self._peer_answers
            or self._delegations
        )
        return bool(at_peer) or super().may_have_run()

    def _admit(self, now: float) -> bool:
        limit = self.context.admission.get(self.rule.shards)
        key = self.account_name or self.route.name
        if limit.admit(self.rank, key, now):
            self._admission = limit
            return True
        self._refused_by = limit
        self.required_services = ()
        self.fail(
            RoutingErrorKind.OVERLOADED,
            now,
            limit=round(limit.limit, 1),
            rank=self.rank,
        )
        return False

    def _divide(
        self, requested: tuple[str, ...], now: float, *, repeat: bool
    ) -> tuple[str, ...]:
        """Delegate shards to peers and return the others."""
        rest = dict.fromkeys(requested)
        assignments = self.context.divider.divide(
            self.rule.shards, requested, now
        )
        for assignment in assignments:
            delegation = self.context.delegations.send(
                self,
                assignment,
                answers=len(assignments),
                repeat=repeat,
                now=now,
            )
            self._delegations[delegation.number] = delegation
            for shard in assignment.shards:
                del rest[shard]
        return tuple(rest)

    def _require_replicas(self, now: float) -> bool:
        selector = self.context.selector
        usable = sum(
            selector.has_usable(shard, now) for shard in self.rule.shards
        )
        if usable >= self._required_shards:
            return True
        self.fail(RoutingErrorKind.NO_REPLICA, now, shards=usable)
        return False

    def _send_legs(
        self, shards: tuple[str, ...], now: float, *, repeat: bool
    ) -> None:
        legs = [
            Leg(
                context=self.context,
                task=self,
                service=shard,
                is_repeat=repeat,
            )
            for shard in shards
        ]
        self._legs.extend(legs)
        for leg in legs:
            if not self.finished:
                leg.start(now)

    def _remove_delegation(self, delegation: Delegation) -> bool:
        found = self._delegations.pop(delegation.number, None)
        return found is not None and not self.finished

    def _query_here(self, delegation: Delegation, now: float) -> None:
        """Query the shards of a peer that certainly did not."""
        if delegation.resumes is not None:
            self._lose_shards(delegation, now)
            return
        self._send_legs(delegation.shards, now, repeat=delegation.repeat)

    def _query_again(self, delegation: Delegation, now: float) -> None:
        """Query the shards of a peer that may have, within all limits."""
        if delegation.repeat:
            self._lose_shards(delegation, now)
            return
        self._may_have_run_at_peer = True
        granted = tuple(
            shard
            for shard in delegation.shards
            if self._attempts_suffice(shard)
            and self.context.budgets.get(shard, now).try_acquire(now)
        )
        self._failed_shards += len(delegation.shards) - len(granted)
        self.repeats += len(granted)
        self._log(
            "Queried the shards of a peer that failed once more.",
            now,
            peer=delegation.peer.entry.name,
            shards=len(delegation.shards),
            granted=len(granted),
        )
        rest = self._divide(granted, now, repeat=True)
        self._send_legs(rest, now, repeat=True)
        self._decide(now)

    def _attempts_suffice(self, shard: str) -> bool:
        # The peer may have used all attempts, at any of the replicas.
        replicas = self.context.state.replicas.list_service(shard)
        return len(replicas) <= self.route.most_attempts

    def _lose_shards(self, delegation: Delegation, now: float) -> None:
        self._may_have_run_at_peer = True
        self._failed_shards += len(delegation.shards)
        self._decide(now)

    def _decide(self, now: float) -> None:
        if self.finished:
            return
        shards = len(self.rule.shards)
        replied = self._replied_shards
        objective_reached = now >= self.objective_at
        if objective_reached and not self._objective_seen:
            self._objective_seen = True
            self.context.timing.record_objective(now - self.objective_at, now)
            self._record_completeness(now)
        # Runs for each reply, so legs are counted only if that can matter.
        may_answer = objective_reached or replied >= self._required_shards
        decision = decide_answer(
            shards=shards,
            replied=replied,
            pending=shards - replied - self._failed_shards,
            expected=self._count_expected(now) if may_answer else shards,
            required=self._required_shards,
            objective_reached=objective_reached,
        )
        if decision is Decision.ANSWER:
            if not self._objective_seen:
                self._record_completeness(now)
            self._merge(now)
        elif decision is Decision.GIVE_UP:
            self._report_congestion(now)
            self.fail(RoutingErrorKind.TOO_FEW_SHARDS, now, shards=replied)
        elif objective_reached and self._remainders:
            self._resume_remainders(now)

    def _record_completeness(self, now: float) -> None:
        pending = len(self.rule.shards) - self._replied_shards
        self.context.timing.record_completeness(
            self.route.name, pending=pending > self._failed_shards, now=now
        )

    def _resume_remainders(self, now: float) -> None:
        remainders, self._remainders = self._remainders, []
        for remainder in remainders:
            delegation = self.context.delegations.resume(self, remainder, now)
            self._delegations[delegation.number] = delegation

    def _report_congestion(self, now: float) -> None:
        if (
            self._admission is None
            or self._replied_shards >= self._required_shards
        ):
            return
        waiting = self._missing_from_peers + self._count_remainders()
        waiting += sum(
            leg.expects_reply(now)
            or (leg.closed and leg.reason is FailureReason.REFUSED)
            for leg in self._legs
        )
        if waiting > len(self.rule.shards) - self._required_shards:
            self._admission.record_congestion(now)

    def _count_expected(self, now: float) -> int:
        by_peers = sum(
            len(delegation.shards) for delegation in self._delegations.values()
        )
        here = sum(leg.expects_reply(now) for leg in self._legs)
        expected = by_peers + here
        if self._replied_shards < self._required_shards:
            # Peers keep the rest for a query that can't do without.
            expected += self._count_remainders()
        return expected

    def _count_remainders(self) -> int:
        return sum(len(remainder.shards) for remainder in self._remainders)

    def _merge(self, now: float) -> None:
        self._give(
            merge_answers(
                tuple(self._replies.values()),
                self._peer_answers,
                exchange=self.exchange,
                rule=self.rule,
            ),
            now,
        )

    def _give(self, answer: MergedAnswer, now: float) -> None:
        """Answer with the merged records and stop.

        :param answer: The answer.
        :param now: Current Unix time in seconds.
        """
        self.answer(
            answer,
            now,
            shards=len(answer.digests),
            missing=answer.missing,
            by_peers=sum(len(part.digests) for part in self._peer_answers),
        )
