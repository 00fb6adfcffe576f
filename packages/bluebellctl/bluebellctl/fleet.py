"""Fetches status and configuration from the entry VMs over HTTP."""

import dataclasses
from typing import TypeVar

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.status import NodeStatus
from bluebellbay.settings import PeerSettings
from bluebellbay.settings import Settings
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.service_client import ServiceClient

REQUEST_TIMEOUT_S = 2.0
HTTP_OK = 200

MessageT = TypeVar("MessageT")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryVmStatus:
    """One entry VM and the status that it returned.

    :param name: Name of the VM.
    :param failure_domain: Its failure domain.
    :param status: Its status, or ``None`` if it did not respond in time or
        its response was not valid.
    """

    name: str
    failure_domain: str
    status: NodeStatus | None


def list_entry_vms(settings: Settings) -> tuple[PeerSettings, ...]:
    """List the entry VMs in the settings of one of them.

    :param settings: Settings of an entry VM.
    :returns: Its peers, preceded by the entry VM itself unless the peers
        already include it.
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


async def _fetch_message(
    address: str, path: str, cls: type[MessageT]
) -> MessageT | None:
    client = ServiceClient(
        reactor=reactor, url=f"http://{address}", timeout_s=REQUEST_TIMEOUT_S
    )
    ended: Deferred[CallEnd] = Deferred()
    client.call("GET", path, ended.callback)
    end = await ended
    client.stop()
    if not isinstance(end, CallAnswered) or end.status != HTTP_OK:
        return None
    return decode_json(end.body, cls).default_value(None)


async def _fetch_from_all(
    path: str, cls: type[MessageT], vms: tuple[PeerSettings, ...]
) -> list[MessageT | None]:
    calls = [
        Deferred.fromCoroutine(_fetch_message(vm.address, path, cls))
        for vm in vms
    ]
    results = await DeferredList(calls, consumeErrors=True)
    return [value if success else None for success, value in results]


async def fetch_statuses(settings: Settings) -> tuple[EntryVmStatus, ...]:
    """Fetch the status of every entry VM.

    :param settings: Settings with the addresses of the entry VMs.
    :returns: One item per entry VM, in the order of ``list_entry_vms``.
    """
    vms = list_entry_vms(settings)
    messages = await _fetch_from_all("/v1/status", NodeStatus, vms)
    return tuple(
        EntryVmStatus(
            name=vm.name, failure_domain=vm.failure_domain, status=status
        )
        for vm, status in zip(vms, messages, strict=True)
    )


def describe_missing(entry_vms: tuple[EntryVmStatus, ...]) -> str:
    """Name the entry VMs that did not respond, as a sentence.

    :param entry_vms: The entry VMs, as fetched.
    :returns: The sentence; empty if all responded.
    """
    missing = [vm.name for vm in entry_vms if vm.status is None]
    return f"Entry VMs not reached: {', '.join(missing)}." if missing else ""


async def fetch_highest_configuration(
    settings: Settings,
) -> ConfigurationDocument | None:
    """Fetch the configuration of every entry VM and select the latest.

    :param settings: Settings with the addresses of the entry VMs.
    :returns: The document with the highest revision, or ``None`` if no entry
        VM returned one.
    """
    vms = list_entry_vms(settings)
    messages = await _fetch_from_all(
        "/v1/configuration", ConfigurationDocument, vms
    )
    documents = [document for document in messages if document is not None]
    return max(documents, key=lambda item: item.revision, default=None)
