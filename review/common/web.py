"""Small HTTP/1.1 server on raw sockets, one thread for each connection."""

import json
import socket
import threading

IDLE_S = 15


class Request:
    """A request as received."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        # Names in lower case, in the order of arrival.
        self.pairs = headers
        self.headers = dict(headers)
        self.body = body

    @property
    def attempt(self):
        """The client attempt's id."""
        return self.headers.get("attempt-id", "")


def encode_response(status, headers, body):
    """Return a complete response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def encode_json(status, value, headers=()):
    """Return a complete response with a JSON body."""
    pairs = [*headers, ("Content-Type", "application/json")]
    return encode_response(status, pairs, json.dumps(value).encode())


class Server:
    """Base of the stand-ins; subclasses implement ``handle``.

    :param address: the loopback address to listen on
    :param port: the port
    """

    def __init__(self, address, port):
        self.address = f"{address}:{port}"
        self._listener = socket.create_server((address, port), backlog=512)
        threading.Thread(target=self._accept, daemon=True).start()

    def handle(self, request, connection):
        """Answer a request; return whether to keep the connection."""
        raise NotImplementedError

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection, connection.makefile("rb") as reader:
            try:
                while True:
                    connection.settimeout(IDLE_S)
                    request = _read(reader)
                    if request is None or not self.handle(request, connection):
                        return
            except (OSError, ValueError):
                return


def _read(reader):
    line = reader.readline().decode("latin-1").strip()
    if not line:
        return None
    headers = []
    while text := reader.readline().decode("latin-1").rstrip("\r\n"):
        name, _, value = text.partition(":")
        headers.append((name.lower(), value.strip()))
    fields = dict(headers)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(reader.readline().partition(b";")[0], 16):
            body += reader.read(size)
            reader.readline()
        while reader.readline().strip():
            continue
    else:
        body = reader.read(int(fields.get("content-length", 0)))
    return Request(line, headers, body)
