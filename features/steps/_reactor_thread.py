"""Runs the reactor in its own thread, for steps that use sockets."""

import queue
import threading

from twisted.internet import reactor
from twisted.internet import threads

WAIT_TIMEOUT_S = 60

_started = threading.Event()


def call_in_reactor(function, *args, **kwargs):
    """Call a function in the reactor's thread and return its result."""
    if not _started.is_set():
        _started.set()
        thread = threading.Thread(
            target=reactor.run,
            kwargs={"installSignalHandlers": False},
            daemon=True,
        )
        thread.start()
    return threads.blockingCallFromThread(reactor, function, *args, **kwargs)


class EventLog:
    """Queues the events that a link reports, for steps to wait for."""

    def __init__(self):
        self._queue = queue.Queue()

    def report(self, event):
        self._queue.put(event)

    def wait_for_event(self):
        return self._queue.get(timeout=WAIT_TIMEOUT_S)

    def is_empty(self):
        return self._queue.empty()
