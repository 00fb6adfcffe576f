"""A TCP server that reads HTTP requests and sends scripted responses."""

import contextlib
import queue
import socket
import threading

WAIT_TIMEOUT_S = 60


def build_response(status, body):
    return (
        f"HTTP/1.1 {status} Said\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class ScriptedServer:
    """Queues each request for the test, which sends the response bytes.

    The test receives a request from ``requests`` and calls its ``send`` or
    ``close``; until then the client waits.
    """

    def __init__(self):
        self.requests = queue.Queue()
        self.open_count = 0
        self.max_open_count = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def receive_request(self):
        return self.requests.get(timeout=WAIT_TIMEOUT_S)

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with self._lock:
                    self.open_count += 1
                    self.max_open_count = max(
                        self.max_open_count, self.open_count
                    )
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError):
            stream = connection.makefile("rb")
            while line := stream.readline():
                size = 0
                while (header := stream.readline().strip()) != b"":
                    name, _, value = header.partition(b":")
                    if name.lower() == b"content-length":
                        size = int(value)
                path = line.split()[1].decode()
                body = stream.read(size)
                self.requests.put(ReceivedRequest(connection, path, body))
        with self._lock:
            self.open_count -= 1
        connection.close()


class ReceivedRequest:
    """One request that a scripted server has read."""

    def __init__(self, connection, path, body):
        self._connection = connection
        self.path = path
        self.body = body

    def send(self, data):
        self._connection.sendall(data)

    def close(self):
        self._connection.shutdown(socket.SHUT_RDWR)
