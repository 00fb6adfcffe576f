"""The situations that a policy is measured in."""

import abc

from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import ProfileRecord
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.vm import VmState
from bluebellbay_bench.shape import FIRST_RANK
from bluebellbay_bench.shape import SECOND_RANK
from bluebellbay_bench.shape import Shape
from bluebellbay_bench.world import World

STRAGGLER_FACTOR = 10.0
COLD_FACTOR = 3.0
COLD_S = 2.0
DRAIN_S = 0.4
DOWN_S = 0.4
RESTART_STEP_S = 0.25
ROLLOUT_STEP_S = 0.1
FAULT_AT_S = 3.0


class Situation(abc.ABC):
    """What goes wrong in a run, and at what size and load."""

    name: str
    shape = Shape()

    @abc.abstractmethod
    def apply(self, world: World) -> None:
        """Schedule what goes wrong.

        :param world: The run.
        """

    def build_configuration(self) -> ConfigurationDocument:
        """Build the configuration in force.

        :returns: Two profiles that differ in their rank.
        """
        profiles = tuple(
            Profile(
                name=name,
                coverage_floor=0.0,
                delay_ms=self.shape.delay_ms,
                extra_load=self.shape.extra_load,
                rank=rank,
            )
            for rank, name in enumerate((FIRST_RANK, SECOND_RANK))
        )
        return ConfigurationDocument(
            revision=1,
            change_id="bench",
            profiles=tuple(
                ProfileRecord(name=item.name, revision=1, profile=item)
                for item in profiles
            ),
        )


class Steady(Situation):
    """Nothing goes wrong."""

    name = "steady"

    def apply(self, world: World) -> None:
        """Leave the servers alone.

        :param world: The run.
        """


class Straggler(Situation):
    """One server becomes ten times slower."""

    name = "straggler"

    def apply(self, world: World) -> None:
        """Slow one server down.

        :param world: The run.
        """
        world.change_condition(
            FAULT_AT_S, world.names[0], slow_factor=STRAGGLER_FACTOR
        )


class Lost(Situation):
    """One replica falls silent; the platform's list still shows it."""

    name = "lost"

    def apply(self, world: World) -> None:
        """Silence one server.

        :param world: The run.
        """
        world.change_condition(FAULT_AT_S, world.names[0], silent=True)


class RollingRestart(Situation):
    """Each server drains, goes down and comes back cold, by turns."""

    name = "restart"

    def apply(self, world: World) -> None:
        """Restart one server after the other, replica by replica.

        :param world: The run.
        """
        for turn, name in enumerate(world.list_by_replica()):
            at = FAULT_AT_S + turn * RESTART_STEP_S
            world.change_condition(at, name, leaving=True)
            world.list_vm(at, name, state=VmState.LEAVING)
            at += DRAIN_S
            world.change_condition(at, name, down=True)
            world.restart(at, name)
            at += DOWN_S
            world.change_condition(at, name, slow_factor=COLD_FACTOR)
            world.list_vm(at, name, incarnation=2, state=VmState.LIVE)
            world.change_condition(at + COLD_S, name)


class Overload(Situation):
    """Half as much again is offered as the slots can carry."""

    name = "overload"
    shape = Shape(load=1.5, first_share=0.4, seconds=12.0)

    def apply(self, world: World) -> None:
        """Leave the servers alone.

        :param world: The run.
        """


class LyingLoad(Situation):
    """A straggler's endpoints state that it is idle, the others full."""

    name = "lying-load"

    def apply(self, world: World) -> None:
        """Slow one server down and let all of them state a wrong load.

        :param world: The run.
        """
        for name in world.names[1:]:
            world.change_condition(0.0, name, stated_load=1.0)
        world.change_condition(
            FAULT_AT_S,
            world.names[0],
            slow_factor=STRAGGLER_FACTOR,
            stated_load=0.0,
        )


class RollOut(Situation):
    """Each server drops snapshot 1 for snapshot 2, replica by replica."""

    name = "roll-out"

    def apply(self, world: World) -> None:
        """Move one server after the other.

        :param world: The run.
        """
        for turn, name in enumerate(world.list_by_replica()):
            at = FAULT_AT_S + turn * ROLLOUT_STEP_S
            world.move_snapshot(at, name, snapshot=2)


class StoreDown(Situation):
    """The platform's store and list do not answer."""

    name = "store-down"

    def apply(self, world: World) -> None:
        """Take the platform away.

        :param world: The run.
        """
        world.stop_platform(FAULT_AT_S)


class Wide(Steady):
    """Each query goes to 840 services."""

    name = "wide"
    shape = Shape(services=840, load=0.06, seconds=11.0)


class WideStraggler(Straggler):
    """Each query goes to 840 services, and one server is slow."""

    name = "wide-straggler"
    shape = Shape(services=840, load=0.06, seconds=11.0)


SITUATIONS: tuple[type[Situation], ...] = (
    Steady,
    Straggler,
    Lost,
    RollingRestart,
    Overload,
    LyingLoad,
    RollOut,
    StoreDown,
    Wide,
    WideStraggler,
)
