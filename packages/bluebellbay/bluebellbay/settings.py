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
    """Who this node is and where it listens."""

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
    """Where the platform's services are."""

    store: Annotated[Url, Field(description="URL of the store.")]
    vm_list: Annotated[Url, Field(description="URL of the VM list.")]
    store_timeout_s: Annotated[
        float,
        Field(
            ge=0.05, le=30, description="Seconds until a store call failed."
        ),
    ] = 2.0
    vm_list_poll_s: Annotated[
        float,
        Field(ge=0.1, le=60, description="Seconds between reads of the list."),
    ] = 1.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class PeerSettings:
    """An entry VM known from the start."""

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
    """An index: the services that hold its shards, all of one shape."""

    name: Annotated[Name, Field(description="Name of the index.")]
    services: Annotated[
        int,
        Field(
            ge=1,
            le=4096,
            description="Number of services, named `NAME-01` and so on; "
            "a single one is named as the index.",
        ),
    ] = 1
    replicas: Annotated[
        int, Field(ge=1, le=64, description="Replicas of each service.")
    ] = 2
    slots: Annotated[
        int,
        Field(ge=1, le=1024, description="Legs a server runs at once."),
    ] = 2
    connection_limit: Annotated[
        int,
        Field(ge=1, le=65536, description="Connections a server accepts."),
    ] = 25
    connect_ms: Annotated[
        float,
        Field(ge=0, le=10000, description="Cost of a connection in ms."),
    ] = 6.0

    @functools.cached_property
    def service_names(self) -> tuple[str, ...]:
        """Names of the services, in order."""
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
    """Bounds on what callers may ask of this node."""

    body_bytes: Annotated[
        int,
        Field(ge=64, le=16777216, description="Largest request body."),
    ] = 65536
    head_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=600,
            description="Longest time in seconds until a request's head is "
            "read.",
        ),
    ] = 10.0
    queries: Annotated[
        int,
        Field(ge=1, le=100000, description="Requests in flight at once."),
    ] = 512
    clock_skew_s: Annotated[
        float,
        Field(
            ge=0,
            le=600,
            description="Largest difference between any two VMs' clocks.",
        ),
    ] = 5.0
    expiry_s: Annotated[
        float,
        Field(
            ge=1,
            le=86400,
            description="Latest expiry accepted, in seconds from now.",
        ),
    ] = 3600.0
    claim_retention_s: Annotated[
        float,
        Field(
            ge=0,
            le=604800,
            description="Seconds that a claim is kept after its expiry and "
            "the clocks' difference, for callers that use a request id "
            "again with a later expiry.",
        ),
    ] = 600.0
    claim_record_delay_s: Annotated[
        float,
        Field(
            ge=0,
            le=60,
            description="Longest time in seconds that the record of an "
            "outcome waits, while the store refuses calls over its rate.",
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
    hedging: Annotated[
        bool, Field(description="Whether legs are hedged at all.")
    ] = True
    choose_by_load: Annotated[
        bool,
        Field(description="Choose the better of two replicas, not any."),
    ] = True
    admission_by_rank: Annotated[
        bool, Field(description="Shed the higher rank numbers first.")
    ] = True
    ejection: Annotated[
        bool, Field(description="Whether failing servers are set aside.")
    ] = True
    ejection_failures: Annotated[
        int,
        Field(
            ge=1, le=100, description="Failures in a row that eject a server."
        ),
    ] = 3
    ejection_s: Annotated[
        float,
        Field(ge=0.1, le=600, description="Seconds a server is set aside."),
    ] = 5.0
    ejection_share: Annotated[
        float,
        Field(
            ge=0,
            le=1,
            description="Largest share of a service's replicas set aside.",
        ),
    ] = 0.5
    slow_start_s: Annotated[
        float,
        Field(
            ge=0,
            le=600,
            description="Seconds over which a new server reaches its weight.",
        ),
    ] = 5.0
    probe_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=600,
            description="Seconds after which a slow server gets one leg, to "
            "see whether it has recovered.",
        ),
    ] = 2.0
    first_rank_slots: Annotated[
        float,
        Field(
            ge=0.1,
            le=64,
            description="Legs under way, as a multiple of the slots, below "
            "which the first rank is admitted.",
        ),
    ] = 2.0
    lower_rank_slots: Annotated[
        float,
        Field(
            ge=0.1,
            le=64,
            description="The same for the rank after the first; each further "
            "one gets a tenth less.",
        ),
    ] = 1.0
    admission_wait: Annotated[
        float,
        Field(
            ge=0,
            le=1,
            description="Share of its delay that a request may wait for "
            "admission.",
        ),
    ] = 0.5
    health_poll_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=60,
            description="Seconds between reads of a server's health.",
        ),
    ] = 2.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class FleetSettings:
    """How peers keep in touch and spread the configuration."""

    digest_s: Annotated[
        float,
        Field(ge=0.05, le=60, description="Seconds between digests."),
    ] = 1.0
    fanout: Annotated[
        int,
        Field(ge=1, le=64, description="Peers told in one round."),
    ] = 3
    suspect_s: Annotated[
        float,
        Field(
            ge=0.1,
            le=120,
            description="Seconds a suspected peer has to refute it.",
        ),
    ] = 3.0
    confirm_s: Annotated[
        float,
        Field(
            ge=0.5,
            le=600,
            description="Age in seconds up to which a revision counts as "
            "lately confirmed by the store.",
        ),
    ] = 10.0
    watchers: Annotated[
        int,
        Field(
            ge=1,
            le=16,
            description="Nodes of a failure domain that watch the store.",
        ),
    ] = 2
    connection_linger_s: Annotated[
        float,
        Field(
            ge=0,
            le=600,
            description="Seconds until a lost node's connections must have "
            "ended.",
        ),
    ] = 15.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class ShutdownSettings:
    """How this node leaves."""

    balancer_lag_s: Annotated[
        float,
        Field(
            ge=0,
            le=300,
            description="Seconds that the balancer may go on sending to a "
            "VM that reports itself as leaving.",
        ),
    ] = 5.0
    limit_s: Annotated[
        float,
        Field(
            ge=1,
            le=900,
            description="Seconds from the signal after which the process "
            "ends in any case.",
        ),
    ] = 90.0


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class LogSettings:
    """What is logged and how."""

    form: Annotated[
        str,
        Field(pattern="^(console|json)$", description="`console` or `json`."),
    ] = "console"
    decisions: Annotated[
        bool, Field(description="Whether each decision is logged.")
    ] = True


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_MODEL_CONFIG
)
class Settings:
    """All settings of a node; each section has defaults but the first two."""

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
    def _check_names(self) -> "Settings":
        names = [index.name for index in self.indexes]
        if len(set(names)) != len(names):
            raise ValueError("indexes: two indexes have the same name")
        peers = [peer.name for peer in self.peers]
        if len(set(peers)) != len(peers):
            raise ValueError("peers: two peers have the same name")
        return self


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingsError:
    """One fault in a settings file.

    :param key: Path of the key, joined by dots; empty for the whole file.
    :param reason: What is wrong with it.
    """

    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.key}: {self.reason}" if self.key else self.reason


def parse_settings(
    data: Any,
) -> Result[Settings, tuple[SettingsError, ...]]:
    """Check parsed YAML and build the settings from it.

    :param data: What the YAML parser gave.
    :returns: The settings, or every fault found.
    """
    try:
        return Ok(pydantic.TypeAdapter(Settings).validate_python(data))
    except pydantic.ValidationError as error:
        faults = tuple(
            SettingsError(
                key=".".join(str(part) for part in entry["loc"]),
                reason=entry["msg"],
            )
            for entry in error.errors()
        )
        return Error(faults)


def load_settings(
    path: pathlib.Path,
) -> Result[Settings, tuple[SettingsError, ...]]:
    """Read a settings file.

    :param path: Path of the YAML file.
    :returns: The settings, or every fault found.
    """
    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Error((SettingsError(key="", reason=str(error)),))
    except yaml.YAMLError as error:
        line = " ".join(str(error).split())
        return Error((SettingsError(key="", reason=f"not YAML: {line}"),))
    return parse_settings(data)
