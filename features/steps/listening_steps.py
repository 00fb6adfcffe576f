"""Steps for a program one of whose ports is taken."""

import json
import socket

import behave
from fake_platform import LOOPBACK
from platform_world import PlatformWorld
from platform_world import wait_for

PURPOSES = ("callers", "health", "peers", "metrics")
EXIT_TIMEOUT_S = 20.0


@behave.given("another process listens on the program's port for {purpose}")
def step_take_port(context, purpose):
    context.platform = PlatformWorld()
    context.add_cleanup(context.platform.stop)
    port = context.platform.program.ports[PURPOSES.index(purpose)]
    context.taken = socket.create_server((LOOPBACK, port))
    context.add_cleanup(context.taken.close)


@behave.when("the program is started")
def step_start(context):
    context.stored_keys = set(context.platform.store.items)
    context.platform.program.start()


@behave.then("it exits with code 3 and logs one line, which names the port")
def check_exit(context):
    program = context.platform.program
    wait_for(lambda: program.process.poll() is not None, EXIT_TIMEOUT_S)
    log = program.log.read_text()
    assert program.process.poll() == 3, (program.process.poll(), log)
    (line,) = map(json.loads, log.splitlines())
    assert line["event"] == "daemon: Refused to start: can't listen on a port"
    host, port = context.taken.getsockname()
    assert line["address"] == f"{host}:{port}", line


@behave.then("the store has not heard of it")
def check_not_registered(context):
    assert set(context.platform.store.items) == context.stored_keys
