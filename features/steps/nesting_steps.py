"""Steps about messages and files that nest too deeply to be decoded."""

import pathlib
import tempfile
import threading

from _reactor_thread import call_in_reactor
from _scripted_server import build_response
from _scripted_server import ScriptedServer
import behave
import msgspec
from routing_harness import build_request
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.settings import load_settings as load_daemon_settings
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.peer_wire import build_attempt_event
from bluebellbay.transport.peer_wire import DelegationWire
from bluebellbay.transport.peer_wire import METHOD
from bluebellbay.transport.peer_wire import PATH
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.wire import MalformedRequest
from bluebellbay.transport.wire import RequestHead
from bluebellbay_platform.settings import load_settings
from bluebellbay_platform.store import PlatformStore
from bluebellbayd.settings_watcher import POLL_INTERVAL_S
from bluebellbayd.settings_watcher import SettingsWatcher

MSGPACK_LIST_OF_ONE = b"\x91"
MSGPACK_ZERO = b"\x00"
HEAD = RequestHead(method=METHOD, target=PATH, headers=())


def append_nested(encoded, levels):
    """Append a nested item to an encoded list, as a later version may."""
    nested = MSGPACK_LIST_OF_ONE * levels + MSGPACK_ZERO
    return bytes([encoded[0] + 1]) + encoded[1:] + nested


def decode_peer_answer(levels):
    answer = ErrorAnswer(exchange=1, kind=RoutingErrorKind.REFUSED, ran=False)
    _, _, body = (
        DelegationWire()
        .encode_answer(answer, close=False)
        .partition(b"\r\n\r\n")
    )
    end = CallAnswered(status=200, body=append_nested(body, levels))
    event = build_attempt_event(1, end)
    assert isinstance(event, AttemptFailed), event
    assert event.sent


def decode_peer_query(levels):
    terms = DelegationTerms(
        shards=("s",), objective_s=0.1, most_records=1, most_attempts=1
    )
    body = msgspec.msgpack.encode([build_request("route"), terms, 1.0])
    DelegationWire().decode_request(HEAD, body)
    try:
        DelegationWire().decode_request(HEAD, append_nested(body, levels))
    except MalformedRequest:
        return
    raise AssertionError("decoded")


def decode_store_answer(levels):
    server = ScriptedServer()

    def answer():
        nested = "[" * levels + "]" * levels
        text = f'{{"items": [], "store-revision": 1, "x": {nested}}}'
        server.receive_request().send(build_response(200, text.encode()))

    threading.Thread(target=answer, daemon=True).start()
    client = PlatformStore(reactor=reactor, address=server.address)
    try:
        call_in_reactor(lambda: Deferred.fromCoroutine(client.read_revision()))
    except StoreUnavailable:
        return
    finally:
        server.close()
    raise AssertionError("decoded")


def decode_settings(levels):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "boot.toml"
        path.write_text("x = " + "[" * levels + "]" * levels)
        try:
            load_settings(path, metrics_port=1)
        except ValueError:
            return
    raise AssertionError("loaded")


def decode_daemon_settings(levels):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text("x: " + "[" * levels + "]" * levels)
        assert load_daemon_settings(path).is_error()


DECODERS = {
    "a peer's answer": decode_peer_answer,
    "a peer's query": decode_peer_query,
    "an answer of a store": decode_store_answer,
    "a settings file": decode_settings,
    "a daemon's settings": decode_daemon_settings,
}


@behave.given("{message} that nests {levels:d} levels deep")
def take_message(context, message, levels):
    context.decode = DECODERS[message]
    context.levels = levels


@behave.then("it is taken for one that can't be decoded")
def check_not_decoded(context):
    context.decode(context.levels)


@behave.given("a settings file that is watched")
def watch_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_path = pathlib.Path(folder.name) / "boot.toml"
    context.settings_path.write_text("first")
    context.clock = Clock()
    context.applied = []
    context.load = pathlib.Path.read_text

    def load(path):
        return context.load(path)

    context.watcher = SettingsWatcher(
        reactor=context.clock,
        path=context.settings_path,
        load=load,
        apply=context.applied.append,
    )
    context.watcher.start()


@behave.when("it is changed, and its loading raises an unexpected error")
def change_to_unloadable(context):
    def fail(path):
        raise RecursionError

    context.load = fail
    change_settings(context, "second one")


@behave.when("it is changed again")
def change_again(context):
    context.load = pathlib.Path.read_text
    change_settings(context, "the third one")


def change_settings(context, text):
    context.settings_path.write_text(text)
    context.clock.advance(POLL_INTERVAL_S)


@behave.then("the last change is applied")
def check_applied(context):
    assert context.applied == ["the third one"], context.applied
