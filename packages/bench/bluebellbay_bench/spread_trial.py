"""One trial of the spreading rules: a day of a fleet in three minutes."""

from collections.abc import Callable
import dataclasses
import time

from bluebellbay.coordination.configurations.change import apply_change
from bluebellbay.coordination.configurations.change import SetProfile
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.peer import PeerStatus
from bluebellbay.protocol.profile import Profile
from bluebellbay_bench.spread_loop import SpreadLoop

LOSS = 0.01
SETTLE_S = 15.0
STEADY_S = 10.0
CHANGES = 5
CHANGE_GAP_S = 3.0
CUT_S = 20.0
OUTAGE_S = 20.0
LIMIT_S = 60.0
NEVER_S = -1.0

IN_FORCE_LIMIT_S = 10.0
DETECT_LIMIT_S = 20.0
STORE_READS_PER_S = 2000
BYTES_PER_S = 7000
MESSAGES_PER_S = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpreadFigures:
    """What one trial measured; times are virtual and in seconds.

    :param nodes: Number of nodes.
    :param start_s: Until all nodes of a new fleet have the configuration.
    :param change_s: Worst time from acceptance to in force everywhere.
    :param platform_cut_s: The same, with a domain cut from the store.
    :param cut_rest_s: The same for the others, with a domain cut from all.
    :param healed_s: From healing to in force in that domain too.
    :param rejoined_s: From healing until no running peer counts as dead.
    :param replaced_s: From the start of a domain's new nodes, with the store
        down, to in force at them.
    :param restored_s: From the store's return to an older state until it
        holds the revision in force again.
    :param detect_first_s: From a node's end to the first verdict.
    :param detect_all_s: The same to the last of the others' verdicts.
    :param thawed_s: From a frozen node's thaw until it has caught up.
    :param false_dead: Verdicts of death about nodes that could be reached,
        with all links whole.
    :param false_dead_healed: The same after healing.
    :param went_back: Steps after which a node's revision was lower.
    :param store_calls_per_s: Calls of the store, in the steady state.
    :param waiting_watches: Watches that wait there, in the steady state.
    :param peak_calls: Most calls in any second after the store's return.
    :param peak_start_calls: Most calls in any second of the fleet's start.
    :param messages_per_s: Messages sent by a node, in the steady state.
    :param bytes_per_s: Bytes sent by a node, in the steady state.
    :param worst_bytes_per_s: The same over the worst phase.
    :param cpu_ms_per_s: Processor time of the loop and a node's core, for
        each second, in the steady state.
    """

    nodes: int
    start_s: float
    change_s: float
    platform_cut_s: float
    cut_rest_s: float
    healed_s: float
    rejoined_s: float
    replaced_s: float
    restored_s: float
    detect_first_s: float
    detect_all_s: float
    thawed_s: float
    false_dead: int
    false_dead_healed: int
    went_back: int
    store_calls_per_s: float
    waiting_watches: int
    peak_calls: int
    peak_start_calls: int
    messages_per_s: float
    bytes_per_s: float
    worst_bytes_per_s: float
    cpu_ms_per_s: float


def list_missed_bounds(figures: SpreadFigures) -> list[str]:
    """List the bounds that a trial did not keep.

    :param figures: What it measured.
    :returns: Names of the figures.
    """
    times = (
        "start_s",
        "change_s",
        "platform_cut_s",
        "cut_rest_s",
        "healed_s",
        "replaced_s",
        "restored_s",
        "thawed_s",
    )
    missed = [
        name
        for name in times
        if not 0 <= getattr(figures, name) <= IN_FORCE_LIMIT_S
    ]
    limits = {
        "detect_all_s": DETECT_LIMIT_S,
        "rejoined_s": DETECT_LIMIT_S,
        "went_back": 0,
        "false_dead": 0,
        "peak_calls": STORE_READS_PER_S,
        "peak_start_calls": STORE_READS_PER_S,
        "bytes_per_s": BYTES_PER_S,
        "worst_bytes_per_s": BYTES_PER_S,
        "messages_per_s": MESSAGES_PER_S,
    }
    missed += [
        name
        for name, limit in limits.items()
        if getattr(figures, name) > limit
    ]
    return missed


class SpreadTrial:
    """Drives one loop through every phase.

    :param nodes: Number of nodes.
    :param seed: Seed of everything random.
    """

    def __init__(self, *, nodes: int, seed: int) -> None:
        self.loop = SpreadLoop(nodes=nodes, seed=seed, loss=LOSS)
        self.document: ConfigurationDocument | None = None
        self.size = nodes
        self.worst_bytes_per_s = 0.0

    def measure(self) -> SpreadFigures:
        """Run every phase.

        :returns: The figures.
        """
        self._accept()
        started_at = self.loop.now
        self.loop.start()
        start_s = self._time_in_force()
        self.loop.run(SETTLE_S)
        peak_start = self._find_peak(started_at)
        calls, messages, size, cpu_ms = self._measure_steady()
        watches = len(self.loop.store.watches)
        change_s = max(self._time_change() for _ in range(CHANGES))
        platform_cut_s = self._time_platform_cut()
        detect_first_s, detect_all_s = self._time_detection()
        thawed_s = self._time_thaw()
        false_dead = len(self.loop.counts.false_dead)
        cut_rest_s, healed_s, rejoined_s = self._time_cut()
        replaced_s = self._time_replacement()
        returned_at = self.loop.now
        restored_s = self._time_restore()
        return SpreadFigures(
            nodes=self.size,
            start_s=start_s,
            change_s=change_s,
            platform_cut_s=platform_cut_s,
            cut_rest_s=cut_rest_s,
            healed_s=healed_s,
            rejoined_s=rejoined_s,
            replaced_s=replaced_s,
            restored_s=restored_s,
            detect_first_s=detect_first_s,
            detect_all_s=detect_all_s,
            thawed_s=thawed_s,
            false_dead=false_dead,
            false_dead_healed=len(self.loop.counts.false_dead) - false_dead,
            went_back=self.loop.went_back,
            store_calls_per_s=calls,
            waiting_watches=watches,
            peak_calls=self._find_peak(returned_at),
            peak_start_calls=peak_start,
            messages_per_s=messages,
            bytes_per_s=size,
            worst_bytes_per_s=self.worst_bytes_per_s,
            cpu_ms_per_s=cpu_ms,
        )

    def _accept(self) -> bytes:
        before = self.loop.store.value
        revision = self.document.revision + 1 if self.document else 1
        self.document = apply_change(
            self.document,
            SetProfile(profile=Profile(name="batch", delay_ms=revision)),
            change_id=f"change-{revision}",
            author="operator",
        ).ok
        self.loop.store.put(encode_json(self.document))
        return before or b""

    def _time_in_force(self, names: list[str] | None = None) -> float:
        revision = self.document.revision if self.document else 0
        nodes = [self.loop.nodes[it] for it in names or self.loop.nodes]
        return self._run(lambda: all(it.revision >= revision for it in nodes))

    def _run(self, until: Callable[[], bool]) -> float:
        passed_s = self.loop.run(LIMIT_S, until)
        return NEVER_S if passed_s is None else passed_s

    def _pass_time(self, time_s: float) -> None:
        before = self.loop.counts.bytes
        self.loop.run(time_s)
        sent = (self.loop.counts.bytes - before) / time_s / self.size
        self.worst_bytes_per_s = max(self.worst_bytes_per_s, sent)

    def _measure_steady(self) -> tuple[float, float, float, float]:
        counts = self.loop.counts
        calls = len(counts.store_calls)
        messages, size = counts.messages, counts.bytes
        started = time.process_time()
        self._pass_time(STEADY_S)
        spent_ms = (time.process_time() - started) * 1000
        share = STEADY_S * self.size
        return (
            (len(counts.store_calls) - calls) / STEADY_S,
            (counts.messages - messages) / share,
            (counts.bytes - size) / share,
            spent_ms / share,
        )

    def _time_change(self) -> float:
        self._accept()
        passed_s = self._time_in_force()
        self._pass_time(CHANGE_GAP_S)
        return passed_s

    def _time_platform_cut(self) -> float:
        self.loop.cut_store.add("c")
        passed_s = self._time_change()
        self.loop.cut_store.clear()
        return passed_s

    def _time_detection(self) -> tuple[float, float]:
        name = self.loop.list_domain("b")[0]
        self.loop.stop([name])
        ended = self.loop.now
        first_s = self._run(lambda: self._count_believers(name) > 0)
        self._run(lambda: self._count_believers(name) >= self.size - 1)
        detect_all_s = self.loop.now - ended
        self.loop.start([name])
        self._pass_time(SETTLE_S)
        return first_s, detect_all_s

    def _count_believers(self, name: str) -> int:
        return sum(
            node.core.state.fleet.peers[name].status is PeerStatus.DEAD
            for node in self.loop.nodes.values()
            if node.name != name
        )

    def _time_thaw(self) -> float:
        name = self.loop.list_domain("c")[0]
        self.loop.nodes[name].is_frozen = True
        self._accept()
        self._pass_time(CUT_S)
        self.loop.thaw(name)
        thawed_s = self._time_in_force()
        self._pass_time(SETTLE_S)
        return thawed_s

    def _time_cut(self) -> tuple[float, float, float]:
        self.loop.cut("c")
        self._pass_time(CUT_S)
        self._accept()
        others = self.loop.list_domain("a") + self.loop.list_domain("b")
        rest_s = self._time_in_force(others)
        self._pass_time(CUT_S)
        self.loop.heal()
        healed_at = self.loop.now
        healed_s = self._time_in_force()
        self._run(self._is_rejoined)
        rejoined_s = self.loop.now - healed_at
        self._pass_time(SETTLE_S)
        return rest_s, healed_s, rejoined_s

    def _is_rejoined(self) -> bool:
        return not any(
            peer.status is PeerStatus.DEAD
            for node in self.loop.nodes.values()
            for peer in node.core.state.fleet.peers.values()
        )

    def _time_replacement(self) -> float:
        names = self.loop.list_domain("b")
        self._accept()
        self._time_in_force()
        self.loop.store.is_up = False
        self.loop.stop(names)
        self._pass_time(OUTAGE_S)
        self.loop.start(names)
        replaced_s = self._time_in_force(names)
        self._pass_time(OUTAGE_S)
        return replaced_s

    def _time_restore(self) -> float:
        older = self._accept()
        store = self.loop.store
        newest = store.value
        store.is_up = True
        self._time_in_force()
        store.put(older)
        restored_s = self._run(lambda: store.value == newest)
        self._pass_time(SETTLE_S)
        return restored_s

    def _find_peak(self, since: float) -> int:
        times = [it for it in self.loop.counts.store_calls if it >= since]
        peak = first = 0
        for last, at in enumerate(times):
            while at - times[first] > 1.0:
                first += 1
            peak = max(peak, last - first + 1)
        return peak
