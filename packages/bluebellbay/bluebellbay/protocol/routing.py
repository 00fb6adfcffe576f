"""Unions of the routing core's events (input) and commands (output)."""

from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import CheckDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.delegation import DelegationUnacknowledged
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.delegation import ProbeReplica
from bluebellbay.protocol.delegation import ReplicaProbed
from bluebellbay.protocol.delegation import WithdrawDelegation
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptRefused
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.quota import AskLender
from bluebellbay.protocol.quota import LenderAnswered
from bluebellbay.protocol.quota import LenderFailed
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.quota import QuotaAsked
from bluebellbay.protocol.rate_permit import AskForPermit
from bluebellbay.protocol.rate_permit import PermitAnswer
from bluebellbay.protocol.rate_permit import PermitAnswered
from bluebellbay.protocol.rate_permit import PermitAsked
from bluebellbay.protocol.rate_permit import PermitFailed
from bluebellbay.protocol.registry import CallersDrained
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import DomainEvacuated
from bluebellbay.protocol.registry import DomainRestored
from bluebellbay.protocol.registry import DrainCallers
from bluebellbay.protocol.registry import EvacuationsListed
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import NodeRegistered
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import ReplicaUpdated
from bluebellbay.protocol.registry import RulesReloaded
from bluebellbay.protocol.registry import SetCallerLimits
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.protocol.registry import SetKeepAlive
from bluebellbay.protocol.registry import StoreAnswered
from bluebellbay.protocol.registry import StoreConfirmed
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored
from bluebellbay.protocol.registry import StoreEraChanged
from bluebellbay.protocol.registry import StoreListed
from bluebellbay.protocol.registry import StoreReadAhead

RoutingEvent = (
    ExchangeOpened
    | ExchangeAbandoned
    | AttemptReplied
    | AttemptRefused
    | AttemptFailed
    | ConfigurationReceived
    | ReplicasListed
    | ReplicaUpdated
    | ReplicaRemoved
    | DomainEvacuated
    | DomainRestored
    | EvacuationsListed
    | RulesReloaded
    | StoreAnswered
    | StoreConfirmed
    | StoreConnectionLost
    | StoreConnectionRestored
    | StoreEraChanged
    | StoreListed
    | StoreReadAhead
    | DelegationAnswered
    | DelegationUnacknowledged
    | PeerProbed
    | LenderAnswered
    | LenderFailed
    | QuotaAsked
    | PermitAnswered
    | PermitFailed
    | PermitAsked
    | ReplicaProbed
    | NodesListed
    | NodeRegistered
    | NodeLeaseEnded
    | CallersDrained
)


RoutingCommand = (
    SendAttempt
    | CancelAttempt
    | DelegateQuery
    | WithdrawDelegation
    | CheckDelegation
    | CancelDelegation
    | ExchangeAnswer
    | SetConnectionLimit
    | CloseReplicaConnections
    | SetCallerLimits
    | SetKeepAlive
    | DrainCallers
    | ProbePeer
    | AskLender
    | QuotaAnswer
    | AskForPermit
    | PermitAnswer
    | ProbeReplica
)
