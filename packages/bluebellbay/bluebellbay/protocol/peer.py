"""Messages between entry VMs, and the envelope that carries them."""

import dataclasses

from bluebellbay.protocol.configuration import ConfigurationDocument

PEER_PROTOCOL_VERSION = 1
MAX_PEER_MESSAGE_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationPush:
    """A configuration, sent on change and when a peer is found behind.

    :param document: The sender's configuration.
    :param confirmed_age_s: As in a digest.
    """

    document: ConfigurationDocument
    confirmed_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationDigest:
    """The sender's revision, for repair.

    :param revision: Revision in force at the sender; 0 for none.
    :param confirmed_age_s: Seconds since the sender, or a peer that told
        it, last saw that revision in the store.
    :param wants_reply: Whether the receiver should send its own digest.
    :param change_id: Change id of that revision.
    """

    revision: int
    confirmed_age_s: float | None = None
    wants_reply: bool = False
    change_id: str = ""


PeerMessage = ConfigurationPush | ConfigurationDigest

PEER_MESSAGES: tuple[type, ...] = (ConfigurationPush, ConfigurationDigest)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerEnvelope:
    """One message on its way between two entry VMs.

    :param sender: Name of the sending VM.
    :param incarnation: Start time of the sender in ms, Unix time.
    :param sequence: Grows with each message of this incarnation.
    :param message: The message.
    """

    sender: str
    incarnation: int
    sequence: int
    message: PeerMessage
