"""Steps about garbage collection."""

import subprocess
import sys

import behave
from twisted.internet.task import Clock

from bluebellbayd.garbage_collection import HeapFreezer

SCRIPT = """
import gc
from bluebellbayd.garbage_collection import FREEZE_DELAY_S, HeapFreezer
from twisted.internet.task import Clock
kept = [{"number": number} for number in range(100_000)]
before = len(gc.get_objects())
clock = Clock()
HeapFreezer(reactor=clock).schedule()
clock.advance(FREEZE_DELAY_S)
print(len(gc.get_objects()) / before)
"""


@behave.given("a heap freezer")
def build_freezer(context):
    context.clock = Clock()
    context.freezes = []
    context.freezer = HeapFreezer(
        reactor=context.clock, freeze=lambda: context.freezes.append(1)
    )


@behave.when("it is scheduled {count:d} times")
def schedule(context, count):
    for _ in range(count):
        context.freezer.schedule()


@behave.when("{seconds:g} s pass for the freezer")
def advance(context, seconds):
    context.clock.advance(seconds)


@behave.when("the freezer is stopped")
def stop(context):
    context.freezer.stop()


@behave.then("the heap was frozen {count:d} times")
def check_freezes(context, count):
    assert len(context.freezes) == count, context.freezes


@behave.then("a collection after a freeze visits under a tenth of the objects")
def check_visited_objects(context):
    del context
    output = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert float(output) < 0.1, output
