"""Settings of a node, read from YAML."""

import dataclasses
import functools
import pathlib
from typing import Annotated
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import pydantic
from pydantic import Field
import yaml

ADDRESS_PATTERN = r"^[0-9A-Za-z.\-\[\]:]+:[0-9]{1,5}$"
URL_PATTERN = r"^http://[0-9A-Za-z.\-\[\]:]+:[0-9]{1,5}$"

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]
Url = Annotated[str, Field(pattern=URL_PATTERN)]

_MODEL_CONFIG = pydantic.ConfigDict(extra="forbid", strict=False)


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class NodeSettings:
    """Identity and listening addresses of this node."""

    name: Annotated[Name, Field(description="Name of this VM.")]
    failure_domain: Annotated[
        Name, Field(description="Failure domain of this VM.")
    ]
    region: Annotated[Name, Field(description="Region of this VM.")] = (
        "default"
    )
    listen: Annotated[Address, Field(description="`host:port` for callers.")]
    peer_listen: Annotated[
        Address, Field(description="`host:port` for peers.")
    ]


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class PlatformSettings:
    """Addresses and polling of the platform's services."""

    store: Annotated[Url, Field(description="URL of the store.")]
    vm_list: Annotated[Url, Field(description="URL of the VM list.")]
    store_timeout_s: Annotated[
        float,
        Field(
            ge=0.05, le=30, description="Timeout of a store call in seconds."
        ),
    ] = 2.0
    vm_list_poll_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=60,
            description="Interval in seconds between reads of the VM list.",
        ),
    ] = 1.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class PeerSettings:
    """An entry VM that is known at startup."""

    name: Annotated[Name, Field(description="Name of the VM.")]
    failure_domain: Annotated[
        Name, Field(description="Failure domain of the VM.")
    ]
    address: Annotated[
        Address, Field(description="`host:port` for callers and operators.")
    ]
    peer_address: Annotated[
        Address, Field(description="`host:port` for peers.")
    ]


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class IndexSettings:
    """An index: the services that hold its shards, all configured alike."""

    name: Annotated[Name, Field(description="Name of the index.")]
    services: Annotated[
        int,
        Field(
            ge=1,
            le=4096,
            description="Number of services. They are named `NAME-01` and "
            "so on; a single service has the name of the index.",
        ),
    ] = 1
    replicas: Annotated[
        int,
        Field(ge=1, le=64, description="Number of replicas of each service."),
    ] = 2
    slots: Annotated[
        int,
        Field(
            ge=1,
            le=1024,
            description="Number of legs that a server executes concurrently.",
        ),
    ] = 2
    connection_limit: Annotated[
        int,
        Field(
            ge=1,
            le=65536,
            description="Maximum number of connections that a server accepts "
            "from all nodes.",
        ),
    ] = 25
    connect_ms: Annotated[
        float,
        Field(
            ge=0,
            le=10000,
            description="Time in ms to set up a connection to a server.",
        ),
    ] = 6.0

    @functools.cached_property
    def service_names(self) -> tuple[str, ...]:
        """Names of the services, sorted."""
        if self.services == 1:
            return (self.name,)
        width = max(2, len(str(self.services)))
        return tuple(
            f"{self.name}-{number:0{width}d}"
            for number in range(1, self.services + 1)
        )


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class LimitSettings:
    """Limits on callers' requests to this node."""

    body_bytes: Annotated[
        int,
        Field(
            ge=64, le=16777216, description="Maximum size of a request body."
        ),
    ] = 65536
    head_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=600,
            description="Maximum time in seconds until a request's head is "
            "read.",
        ),
    ] = 10.0
    queries: Annotated[
        int,
        Field(
            ge=1,
            le=100000,
            description="Maximum number of requests in flight.",
        ),
    ] = 512
    clock_skew_s: Annotated[
        float,
        Field(
            ge=0,
            le=600,
            description="Maximum clock difference in seconds between any two "
            "VMs.",
        ),
    ] = 5.0
    expiry_s: Annotated[
        float,
        Field(
            ge=1,
            le=86400,
            description="Latest expiry that is accepted, in seconds from now.",
        ),
    ] = 3600.0
    claim_retention_s: Annotated[
        float,
        Field(
            ge=0,
            le=604800,
            description="Seconds that a claim is kept after its expiry plus "
            "`clock_skew_s`, for callers that reuse a request id with a "
            "later expiry.",
        ),
    ] = 600.0
    claim_record_delay_s: Annotated[
        float,
        Field(
            ge=0,
            le=60,
            description="Maximum time in seconds for which the record of an "
            "outcome is delayed while the store refuses calls above its "
            "rate limit.",
        ),
    ] = 1.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class PolicySettings:
    """How legs are placed, hedged and retried."""

    hedge_quantile: Annotated[
        float,
        Field(
            ge=0.5,
            le=0.9999,
            description="Quantile of a service's latency after which a leg "
            "is hedged.",
        ),
    ] = 0.95
    hedging: Annotated[bool, Field(description="Whether legs are hedged.")] = (
        True
    )
    choose_by_load: Annotated[
        bool,
        Field(
            description="Whether to choose the better of two random replicas, "
            "by latency and load, instead of any replica."
        ),
    ] = True
    admission_by_rank: Annotated[
        bool, Field(description="Whether higher rank numbers are shed first.")
    ] = True
    ejection: Annotated[
        bool,
        Field(description="Whether failing servers are ejected temporarily."),
    ] = True
    ejection_failures: Annotated[
        int,
        Field(
            ge=1,
            le=100,
            description="Number of consecutive failures that eject a server.",
        ),
    ] = 3
    ejection_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=600,
            description="Duration in seconds of a server's first ejection.",
        ),
    ] = 5.0
    ejection_share: Annotated[
        float,
        Field(
            ge=0,
            le=1,
            description="Maximum fraction of a service's replicas that may be "
            "ejected at the same time.",
        ),
    ] = 0.5
    slow_start_s: Annotated[
        float,
        Field(
            ge=0,
            le=600,
            description="Seconds over which a new server's load is raised to "
            "its full share.",
        ),
    ] = 5.0
    probe_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=600,
            description="Seconds after which a slow server gets one leg, to "
            "check whether it has recovered.",
        ),
    ] = 2.0
    first_rank_slots: Annotated[
        float,
        Field(
            ge=0.1,
            le=64,
            description="Legs in flight, as a multiple of the servers' slots, "
            "below which requests of the first rank are admitted. The first "
            "rank is the lowest rank number of all profiles.",
        ),
    ] = 2.0
    lower_rank_slots: Annotated[
        float,
        Field(
            ge=0.1,
            le=64,
            description="The same for the next rank; the limit of each "
            "further rank is a tenth lower than that of the one before.",
        ),
    ] = 1.0
    admission_wait: Annotated[
        float,
        Field(
            ge=0,
            le=1,
            description="Fraction of a request's remaining delay that it may "
            "wait for admission.",
        ),
    ] = 0.5
    health_poll_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=60,
            description="Interval in seconds between reads of a server's "
            "health endpoint.",
        ),
    ] = 2.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class FleetSettings:
    """How peers monitor each other and distribute the configuration."""

    digest_s: Annotated[
        float,
        Field(
            ge=0.05,
            le=60,
            description="Interval in seconds between digests sent to peers.",
        ),
    ] = 1.0
    fanout: Annotated[
        int,
        Field(
            ge=1,
            le=64,
            description="Number of peers that are notified in one round.",
        ),
    ] = 3
    suspect_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=120,
            description="Seconds that a suspected peer has to refute the "
            "suspicion.",
        ),
    ] = 3.0
    confirm_s: Annotated[
        float,
        Field(
            ge=0.5,
            le=600,
            description="Maximum age in seconds of the store's confirmation "
            "of a revision for it to count as recently confirmed.",
        ),
    ] = 10.0
    watchers: Annotated[
        int,
        Field(
            ge=1,
            le=16,
            description="Number of nodes of a failure domain that watch the "
            "store.",
        ),
    ] = 2
    connection_linger_s: Annotated[
        float,
        Field(
            ge=0,
            le=600,
            description="Seconds after which the connections of a lost node "
            "are considered closed.",
        ),
    ] = 15.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class ShutdownSettings:
    """Graceful shutdown of this node."""

    balancer_lag_s: Annotated[
        float,
        Field(
            ge=0,
            le=300,
            description="Seconds for which the load balancer may still send "
            "requests to a VM that reports that it is leaving.",
        ),
    ] = 5.0
    limit_s: Annotated[
        float,
        Field(
            ge=1,
            le=900,
            description="Seconds after the shutdown signal at which the "
            "process exits, even if requests are in flight.",
        ),
    ] = 90.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class LogSettings:
    """Content and format of the log."""

    form: Annotated[
        str,
        Field(
            pattern="^(console|json)$",
            description="Log format: `console` or `json`.",
        ),
    ] = "console"
    decisions: Annotated[
        bool, Field(description="Whether each decision is logged.")
    ] = True


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class Settings:
    """All settings of a node.

    ``node``, ``platform`` and ``indexes`` are required.
    """

    node: NodeSettings
    platform: PlatformSettings
    indexes: Annotated[tuple[IndexSettings, ...], Field(min_length=1)]
    peers: tuple[PeerSettings, ...] = ()
    limits: LimitSettings = dataclasses.field(default_factory=LimitSettings)
    policy: PolicySettings = dataclasses.field(default_factory=PolicySettings)
    fleet: FleetSettings = dataclasses.field(default_factory=FleetSettings)
    shutdown: ShutdownSettings = dataclasses.field(
        default_factory=ShutdownSettings
    )
    log: LogSettings = dataclasses.field(default_factory=LogSettings)

    @pydantic.model_validator(mode="after")
    def _check_unique_names(self) -> "Settings":
        index_names = [index.name for index in self.indexes]
        if len(set(index_names)) != len(index_names):
            raise ValueError("indexes: names must be unique")
        peers = [peer.name for peer in self.peers]
        if len(set(peers)) != len(peers):
            raise ValueError("peers: names must be unique")
        return self


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingsError:
    """An error in a settings file.

    :param key: Path of the key, joined by dots; empty if the error concerns
        the whole file.
    :param reason: Description of the error.
    """

    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.key}: {self.reason}" if self.key else self.reason


def parse_settings(
    data: Any,
) -> Result[Settings, tuple[SettingsError, ...]]:
    """Validate parsed YAML and build the settings from it.

    :param data: Result of the YAML parser.
    :returns: The settings, or all errors found.
    """
    try:
        return Ok(pydantic.TypeAdapter(Settings).validate_python(data))
    except pydantic.ValidationError as error:
        settings_errors = tuple(
            SettingsError(
                key=".".join(str(part) for part in entry["loc"]),
                reason=entry["msg"],
            )
            for entry in error.errors()
        )
        return Error(settings_errors)


def load_settings(
    path: pathlib.Path,
) -> Result[Settings, tuple[SettingsError, ...]]:
    """Load and validate a settings file.

    :param path: Path of the YAML file.
    :returns: The settings, or all errors found, which include that the file
        could not be read.
    """
    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Error((SettingsError(key="", reason=str(error)),))
    except (yaml.YAMLError, RecursionError) as error:
        message = " ".join(str(error).split())
        return Error(
            (SettingsError(key="", reason=f"invalid YAML: {message}"),)
        )
    return parse_settings(data)
