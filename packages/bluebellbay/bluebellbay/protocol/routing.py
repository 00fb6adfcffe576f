"""All events and commands of the routing core."""

from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import DelegationAnswered
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
from bluebellbay.protocol.registry import ConfigurationFound
from bluebellbay.protocol.registry import ForgetReplica
from bluebellbay.protocol.registry import NodeSeen
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import NodeUnlisted
from bluebellbay.protocol.registry import ReplicaSeen
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import ReplicaUnlisted
from bluebellbay.protocol.registry import RulesFound
from bluebellbay.protocol.registry import SetCallerLimits
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.protocol.registry import SetKeepAlive
from bluebellbay.protocol.registry import StoreLost
from bluebellbay.protocol.registry import StoreRegained

RoutingEvent = (
    ExchangeOpened
    | ExchangeAbandoned
    | AttemptReplied
    | AttemptRefused
    | AttemptFailed
    | ConfigurationFound
    | ReplicasListed
    | ReplicaSeen
    | ReplicaUnlisted
    | RulesFound
    | StoreLost
    | StoreRegained
    | DelegationAnswered
    | PeerProbed
    | ReplicaProbed
    | NodesListed
    | NodeSeen
    | NodeUnlisted
)


RoutingCommand = (
    SendAttempt
    | CancelAttempt
    | DelegateQuery
    | WithdrawDelegation
    | CancelDelegation
    | ExchangeAnswer
    | SetConnectionLimit
    | ForgetReplica
    | SetCallerLimits
    | SetKeepAlive
    | ProbePeer
    | ProbeReplica
)
