"""A server that answers each connection's first request twice."""

import enum
import socket
import threading
import time

HOST = "127.0.0.1"
# Longer than the caller needs to leave the first answer, and to send the next
# request.
PAUSE_S = 0.05
FIRST_TARGET = b"/first"
REASONS = {200: b"OK", 500: b"Error", 503: b"Service Unavailable"}


class Moment(enum.Enum):
    """When the copy of the first answer is sent."""

    AT_ONCE = "at once"
    AT_REST = "at rest"
    DURING_NEXT = "during the next request"


class Shape(enum.Enum):
    """How the copy is framed, and whether it is whole."""

    LENGTH = "length"
    CHUNKS = "chunks"
    HALF = "half"
    SPLIT = "split"


class CopyingServer:
    """Answers the first request of each connection twice.

    :param moment: when the copy is sent
    :param shape: the copy's framing
    :param status: status of the answer to ``FIRST_TARGET`` and of its copy
    """

    def __init__(self, moment, shape, status=200):
        self.moment = moment
        self.shape = shape
        self.status = status
        # Numbers of the connections that carried a request, in order.
        self.uses = []
        self.has_copied = threading.Event()
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self._count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self._count += 1
            threading.Thread(
                target=self._serve,
                args=(connection, self._count),
                daemon=True,
            ).start()

    def _serve(self, connection, number):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection:
            try:
                self._serve_requests(connection, number)
            except (BrokenPipeError, ConnectionResetError):
                return

    def _serve_requests(self, connection, number):
        first = read_request(connection)
        if first is None:
            return
        self.uses.append(number)
        shape = Shape.LENGTH if self.shape is not Shape.CHUNKS else self.shape
        status = self.status if first[0] == FIRST_TARGET else 200
        answer = make_answer(first, status, shape)
        copy = make_answer(first, status, self.shape)
        if self.moment is Moment.AT_ONCE:
            self.has_copied.set()
            connection.sendall(answer + copy)
        else:
            connection.sendall(answer)
        if self.moment is Moment.AT_REST:
            time.sleep(PAUSE_S)
            connection.sendall(copy)
            self.has_copied.set()
        is_due = self.moment is Moment.DURING_NEXT
        while (request := read_request(connection)) is not None:
            self.uses.append(number)
            if is_due:
                self._send_copy(connection, copy)
                self.has_copied.set()
                is_due = False
            connection.sendall(make_answer(request, 200, Shape.LENGTH))

    def _send_copy(self, connection, copy):
        middle = len(copy) // 2 if self.shape is Shape.SPLIT else len(copy)
        connection.sendall(copy[:middle])
        time.sleep(PAUSE_S)
        connection.sendall(copy[middle:])


def read_request(connection):
    """Return a request's target and id; none at the end of the connection."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(65_536)
        if not data:
            return None
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    headers = dict(line.lower().split(b": ", 1) for line in lines[1:])
    length = int(headers.get(b"content-length", 0))
    while len(body) < length:
        body += connection.recv(65_536)
    return lines[0].split(b" ")[1], headers.get(b"attempt-id")


def make_answer(request, status, shape):
    """Return the bytes of an answer, whose body is the request's target.

    :param request: the request's target and id
    :param status: the HTTP status
    :param shape: the framing
    """
    target, attempt = request
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
    if attempt is not None:
        lines.append(b"Attempt-Id: " + attempt)
    lines.append(b"Server-Seal: s")
    if status == 503:
        lines.append(b"Not-Executed: 1")
    if shape is Shape.CHUNKS:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(target), target)
    else:
        lines.append(b"Content-Length: %d" % len(target))
        body = target
    if shape is Shape.HALF:
        body = body[: len(body) // 2]
    return b"\r\n".join([*lines, b"", body])
