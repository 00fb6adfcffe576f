"""Nodes that claim requests in one store, in virtual time."""

from collections.abc import Iterator
import heapq
import itertools
import math
import random
from typing import Final

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.postings.claim import ClaimPart
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.answer import Row
from bluebellbay.protocol.claim import build_bucket_key
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.claim import ClaimBucket
from bluebellbay.protocol.claim import encode_bucket
from bluebellbay.protocol.command import Command
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.event import ClaimFinished
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused
from bluebellbay.protocol.event import ClaimRequested
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.process import TimerTick
from bluebellbay.settings import IndexSettings
from bluebellbay.settings import LimitSettings
from bluebellbay.settings import NodeSettings
from bluebellbay.settings import PlatformSettings
from bluebellbay.settings import Settings
from bluebellbay.state.node import NodeState
from bluebellbay_bench.claim_setup import ClaimCounts
from bluebellbay_bench.claim_setup import ClaimSetup
from bluebellbay_bench.claim_setup import START_S
from bluebellbay_bench.claim_store import RateLimitedStore

RUN_S: Final = 5.0
DRAIN_S: Final = 5.0
DEADLINE_S: Final = 0.25
EXPIRY_S: Final = 600.0
LEG_S: Final = 0.010
DUPLICATE_SHARE: Final = 0.01

LINK_S: Final = 0.001
SERVICE_S: Final = 0.002
BYTE_S: Final = 1e-8


class QueryStandIn(Part):
    """Stands for the query part: runs what is granted, then finishes it."""

    counts: ClaimCounts
    started: dict[str, float]

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self.running: list[tuple[float, str]] = []

    @property
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (ClaimGranted, ClaimHeld, ClaimRefused, TimerTick)

    def get_wakeup_time(self) -> float | None:
        """Name the time at which ``TimerTick`` is due."""
        return self.running[0][0] if self.running else None

    def step(self, event: Event, now: float) -> Iterator[Output]:
        """Take one event."""
        match event:
            case ClaimGranted(request_id=request_id):
                self._count_grant(request_id, now)
                self.running.append((now + LEG_S, request_id))
            case ClaimHeld():
                self.counts.held += 1
            case ClaimRefused():
                self.counts.refused += 1
        while self.running and self.running[0][0] <= now:
            _, request_id = self.running.pop(0)
            yield ClaimFinished(
                request_id=request_id, answer=build_answer(request_id)
            )

    def _count_grant(self, request_id: str, now: float) -> None:
        if request_id in self.counts.granted:
            self.counts.doubled += 1
        self.counts.granted[request_id] = now - self.started[request_id]


def build_answer(request_id: str) -> Answer:
    """Build the answer of a posting that ran.

    :param request_id: The caller's request id.
    :returns: The answer.
    """
    return Answer(
        request_id=request_id,
        outcome=Outcome.ANSWERED,
        profile="settlement",
        rows=(Row(key=1, value="posted"),),
    )


def build_settings(name: str, record_delay_s: float) -> Settings:
    """Build a node's settings.

    :param name: Name of the node.
    :param record_delay_s: Time in seconds that an outcome record waits.
    :returns: The settings.
    """
    return Settings(
        node=NodeSettings(
            name=name,
            failure_domain="one",
            listen="127.0.0.1:1",
            peer_listen="127.0.0.1:2",
        ),
        platform=PlatformSettings(
            store="http://127.0.0.1:3", vm_list="http://127.0.0.1:4"
        ),
        indexes=(IndexSettings(name="ledgerrun"),),
        limits=LimitSettings(claim_record_delay_s=record_delay_s),
    )


class ClaimSimulation:
    """Nodes, a store and the time between them.

    :param setup: What to try.
    """

    def __init__(self, *, setup: ClaimSetup) -> None:
        self.counts = ClaimCounts()
        self._setup = setup
        self._rng = random.Random(setup.seed)
        self._started: dict[str, float] = {}
        self._store = RateLimitedStore(
            counts=self.counts, started=self._started
        )
        self._order = itertools.count()
        self._queue: list[tuple[float, int, int, object]] = []
        self._wakes = [math.inf] * setup.nodes
        self._cores = [self._build_core(n) for n in range(setup.nodes)]

    def run(self) -> ClaimCounts:
        """Run to the end.

        :returns: What it came to.
        """
        self._preload()
        self._offer()
        end = START_S + RUN_S + DRAIN_S
        while self._queue and self._queue[0][0] <= end:
            now, _, node, item = heapq.heappop(self._queue)
            if isinstance(item, ReadKey | WriteKey):
                self._answer(item, node, now)
            else:
                self._step(node, item, now)  # type: ignore[arg-type]
        return self.counts

    def _build_core(self, number: int) -> Core:
        setup = self._setup
        claim_part = type(
            "TriedClaimPart",
            (ClaimPart,),
            {
                "buckets": setup.buckets,
            },
        )
        query_part = type(
            "CountingQueryStandIn",
            (QueryStandIn,),
            {"counts": self.counts, "started": self._started},
        )
        return Core(
            settings=build_settings(f"node-{number}", setup.record_delay_s),
            rng=random.Random(self._rng.getrandbits(64)),
            parts=(claim_part, query_part),
        )

    def _preload(self) -> None:
        claims: dict[str, list[Claim]] = {}
        for number in range(self._setup.standing):
            request_id = f"standing-{number:08d}"
            claim = Claim(
                request_id=request_id,
                token="0" * 32,
                expires_at=START_S + EXPIRY_S,
            )
            key = build_bucket_key(request_id, self._setup.buckets)
            claims.setdefault(key, []).append(claim)
        for key, items in claims.items():
            value = encode_bucket(ClaimBucket(claims=tuple(items)))
            self._store.values[key] = (value, 1)

    def _offer(self) -> None:
        now = START_S
        for number in itertools.count():
            now += self._rng.expovariate(self._setup.rate)
            if now > START_S + RUN_S:
                return
            request_id = f"posting-{number:08d}"
            self._started[request_id] = now
            repeats = 2 if self._rng.random() < DUPLICATE_SHARE else 1
            nodes = self._rng.sample(
                range(self._setup.nodes), min(repeats, self._setup.nodes)
            )
            for node in nodes:
                self.counts.offered += 1
                event = ClaimRequested(
                    request_id=request_id,
                    expires_at=now + EXPIRY_S,
                    deadline=now + DEADLINE_S,
                )
                self._push(now, node, event)

    def _push(self, when: float, node: int, item: object) -> None:
        heapq.heappush(self._queue, (when, next(self._order), node, item))

    def _step(self, node: int, event: Event, now: float) -> None:
        core = self._cores[node]
        if isinstance(event, TimerTick):
            self._wakes[node] = math.inf
        for command in core.step(event, now):
            self._send(command, node, now)
        wake = core.get_wakeup_time()
        if wake is not None and wake < self._wakes[node]:
            self._wakes[node] = wake
            self._push(max(wake, now), node, TimerTick())

    def _send(self, command: Command, node: int, now: float) -> None:
        if not isinstance(command, ReadKey | WriteKey):
            return
        size = 0
        if isinstance(command, WriteKey):
            size = len(command.value or b"")
        delay_s = LINK_S + size * BYTE_S
        self._push(now + delay_s, node, command)

    def _answer(
        self, command: ReadKey | WriteKey, node: int, now: float
    ) -> None:
        event = self._store.apply(command, now)
        value = getattr(event, "value", None) or b""
        service_s = self._rng.expovariate(1 / SERVICE_S)
        delay_s = LINK_S + service_s + len(value) * BYTE_S
        self._push(now + delay_s, node, event)
