"""Findings of the check of a route configuration."""

import dataclasses
import enum

from bluebellbay.coordination.configurations.route_place import Place
from bluebellbay.protocol.route import RouteConfiguration

SECRET_NAME = "(named like a key)"


class FindingKind(enum.Enum):
    """What was found."""

    VERSION_TOO_LOW = "version too low"
    PREFIX_HIDDEN = "prefix hidden"
    PREFIX_UNREACHABLE = "prefix unreachable"
    NAME_REPEATED = "name repeated"
    SERVICE_UNUSED = "service unused"
    SERVICE_UNLISTED = "service unlisted"
    SERVICE_IGNORED = "service ignored"
    WEIGHT_ZERO = "weight zero"
    ACCOUNT_WITHOUT_KEY = "account without key"
    KEY_UNUSABLE = "key unusable"
    KEY_REPEATED = "key repeated"
    TIMEOUT_TOO_LOW = "time-out too low"
    OBJECTIVE_ABOVE_TIMEOUT = "objective above time-out"
    ATTEMPTS_ABOVE_REPLICAS = "attempts above replicas"
    QUOTA_WITHOUT_ROOM = "quota without room"
    BURST_WITHOUT_RATE = "burst without rate"
    COVERAGE_UNREACHABLE = "coverage unreachable"
    COVERAGE_WITHOUT_LOSS = "coverage without loss"
    WARMUP_BELOW_NODES = "warm-up below nodes"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """Something that nodes accept, but that has no effect or can't be met.

    :param kind: What was found.
    :param place: Where.
    :param text: One sentence for a person; never holds an API key.
    """

    kind: FindingKind
    place: Place
    text: str


class NameWriter:
    """Writes names into reports, except those that are API keys.

    :param configurations: Configurations that list the keys.
    """

    def __init__(self, *configurations: RouteConfiguration) -> None:
        self._keys = frozenset(
            key
            for configuration in configurations
            for account in configuration.accounts or ()
            for key in account.keys
        )

    def write(self, name: str) -> str:
        """Return the name, or a sign that it is withheld.

        :param name: A name of the configuration.
        """
        return SECRET_NAME if name in self._keys else name
