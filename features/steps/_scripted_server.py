"""A TCP server that reads HTTP requests and sends scripted responses."""

import contextlib
import queue
import socket
import struct
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
                headers = {}
                while (header := stream.readline().strip()) != b"":
                    name, _, value = header.partition(b":")
                    headers[name.lower()] = value.strip()
                path = line.split()[1].decode()
                body = stream.read(int(headers.get(b"content-length", 0)))
                self.requests.put(
                    ReceivedRequest(connection, path, body, headers)
                )
        with self._lock:
            self.open_count -= 1
        connection.close()


class ReceivedRequest:
    """One request that a scripted server has read."""

    def __init__(self, connection, path, body, headers):
        self._connection = connection
        self.path = path
        self.body = body
        self.headers = headers

    def is_on_connection_of(self, other):
        """Tell whether it came on the connection of another request."""
        return self._connection is other._connection

    def send(self, data):
        self._connection.sendall(data)

    def close(self):
        self._connection.shutdown(socket.SHUT_RDWR)

    def reset(self):
        self._connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self._connection.shutdown(socket.SHUT_RD)
        self._connection.close()

    def send_until_closed(self, data, limit):
        """Send data again and again; return the bytes sent, up to a limit."""
        sent = 0
        with contextlib.suppress(OSError):
            while sent < limit:
                self._connection.sendall(data)
                sent += len(data)
        return sent
