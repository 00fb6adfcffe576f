"""The entry VMs, as an operator's command asks them."""

import dataclasses
from typing import TypeVar

import treq
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.status import NodeStatus
from bluebellbay.settings import PeerSettings
from bluebellbay.settings import Settings

REQUEST_TIMEOUT_S = 2.0
HTTP_OK = 200

MessageT = TypeVar("MessageT")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryVmStatus:
    """What one entry VM told, if anything.

    :param name: Name of the VM.
    :param failure_domain: Its failure domain.
    :param status: What it told; none if it could not be reached.
    """

    name: str
    failure_domain: str
    status: NodeStatus | None


def list_entry_vms(settings: Settings) -> tuple[PeerSettings, ...]:
    """List the entry VMs that the settings name.

    :param settings: A node's settings.
    :returns: The peers, and the node itself if they do not name it.
    """
    node = settings.node
    if any(peer.name == node.name for peer in settings.peers):
        return settings.peers
    own_peer = PeerSettings(
        name=node.name,
        failure_domain=node.failure_domain,
        address=node.listen,
        peer_address=node.peer_listen,
    )
    return (own_peer, *settings.peers)


async def _fetch_message(url: str, cls: type[MessageT]) -> MessageT | None:
    response = await treq.get(url, timeout=REQUEST_TIMEOUT_S)
    body = await response.content()
    if response.code != HTTP_OK:
        return None
    return decode_json(body, cls).default_value(None)


async def _fetch_from_all(
    path: str, cls: type[MessageT], vms: tuple[PeerSettings, ...]
) -> list[MessageT | None]:
    calls = [
        Deferred.fromCoroutine(
            _fetch_message(f"http://{vm.address}{path}", cls)
        )
        for vm in vms
    ]
    results = await DeferredList(calls, consumeErrors=True)
    return [value if success else None for success, value in results]


async def fetch_statuses(settings: Settings) -> tuple[EntryVmStatus, ...]:
    """Ask every entry VM for its status.

    :param settings: Names the entry VMs.
    :returns: One answer for each, in order.
    """
    vms = list_entry_vms(settings)
    messages = await _fetch_from_all("/v1/status", NodeStatus, vms)
    return tuple(
        EntryVmStatus(
            name=vm.name, failure_domain=vm.failure_domain, status=status
        )
        for vm, status in zip(vms, messages, strict=True)
    )


async def fetch_highest_configuration(
    settings: Settings,
) -> ConfigurationDocument | None:
    """Ask every entry VM for its configuration.

    :param settings: Names the entry VMs.
    :returns: The document of the highest revision, or none.
    """
    vms = list_entry_vms(settings)
    messages = await _fetch_from_all(
        "/v1/configuration", ConfigurationDocument, vms
    )
    documents = [document for document in messages if document is not None]
    return max(documents, key=lambda item: item.revision, default=None)
