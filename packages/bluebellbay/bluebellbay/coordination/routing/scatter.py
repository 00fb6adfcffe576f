"""A query over shards: one leg a shard, one merged answer."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.objective import count_least
from bluebellbay.coordination.routing.objective import judge
from bluebellbay.coordination.routing.objective import Verdict
from bluebellbay.coordination.routing.run import Run
from bluebellbay.coordination.routing.top_records import merge_records
from bluebellbay.protocol.exchange import AnswerKind
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.route import Route
from bluebellbay.protocol.route import ScatterRule


class ScatterRun(Run):
    """Merges the greatest records of the shards of one configuration.

    :param context: What the requests of this node share.
    :param opened: How it arrived.
    :param route: Its route.
    :param rule: How it is answered.
    :param version: Version of the configuration.
    :param now: Present time in seconds.
    """

    def __init__(
        self,
        *,
        context: RoutingContext,
        opened: ExchangeOpened,
        route: Route,
        rule: ScatterRule,
        version: int,
        now: float,
    ) -> None:
        super().__init__(
            context=context,
            opened=opened,
            route=route,
            version=version,
            now=now,
        )
        self._rule = rule
        self._least = count_least(len(rule.shards), rule.least_coverage)
        self._legs: tuple[Leg, ...] = ()
        self._replies: dict[str, ReplicaReply] = {}
        self._lost = 0

    def list_legs(self) -> tuple[Leg, ...]:
        """List the legs, one a shard."""
        return self._legs

    def start(self, now: float) -> None:
        """Send a leg to each shard.

        :param now: Present time in seconds.
        """
        if now >= self.deadline:
            self.fail(AnswerKind.EXPIRED, now)
            return
        selector = self.context.selector
        usable = sum(
            bool(selector.count_usable(shard)) for shard in self._rule.shards
        )
        if usable < self._least:
            self.fail(AnswerKind.NO_REPLICA, now, shards=usable)
            return
        self.context.timers.add(self.deadline, self)
        if self.objective_at < self.deadline:
            self.context.timers.add(self.objective_at, self)
        self._legs = tuple(
            Leg(context=self.context, run=self, service=shard)
            for shard in self._rule.shards
        )
        for leg in self._legs:
            if not self.finished:
                leg.start(now)

    def wake(self, now: float) -> None:
        """Answer with what is in, as the objective or the time is reached.

        :param now: Present time in seconds.
        """
        self._decide(now)
        if not self.finished and now >= self.deadline:
            self.fail(AnswerKind.TIMED_OUT, now, shards=len(self._replies))

    def take_reply(self, leg: Leg, reply: ReplicaReply, now: float) -> None:
        """Take a shard's reply.

        :param leg: The leg.
        :param reply: Its reply.
        :param now: Present time in seconds.
        """
        self._replies[leg.service] = reply
        self._decide(now)

    def lose(self, leg: Leg, now: float) -> None:
        """Do without a shard.

        :param leg: The leg.
        :param now: Present time in seconds.
        """
        self._lost += 1
        self._decide(now)

    def _decide(self, now: float) -> None:
        if self.finished:
            return
        shards = len(self._rule.shards)
        replied = len(self._replies)
        verdict = judge(
            shards=shards,
            replied=replied,
            open_=shards - replied - self._lost,
            least=self._least,
            due=now >= self.objective_at,
        )
        if verdict is Verdict.ANSWER:
            self._merge(now)
        elif verdict is Verdict.GIVE_UP:
            self.fail(AnswerKind.TOO_FEW_SHARDS, now, shards=replied)

    def _merge(self, now: float) -> None:
        replies = self._replies.values()
        missing = len(self._rule.shards) - len(replies)
        self.answer(
            MergedAnswer(
                exchange=self.exchange,
                records=merge_records(
                    (reply.body for reply in replies), self._rule.most_records
                ),
                digests=tuple(reply.digest for reply in replies),
                missing=missing,
            ),
            now,
            shards=len(replies),
            missing=missing,
        )
