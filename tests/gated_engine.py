"""An engine of the operators' platform in the test's process, with gates.

Its threads wait where a test has placed a gate, so a test can force the order
of events without sleeping.
"""

import collections
import contextlib
import http.server
import json
import select
import socket
import struct
import threading

from tests import processes

HOST = "127.0.0.1"
EVENT_COUNT = 20
# The event in whose middle a stream waits if there is a gate for it, and the
# bytes that are sent after the gate.
HALF_EVENT = 6
HALF_BYTES = 4
WAIT_S = 20.0
POLL_S = 0.01
LAST_CHUNK = b"0\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Gate:
    """A point at which a stand-in's thread waits for the test."""

    def __init__(self):
        self.reached = threading.Event()
        self._opened = threading.Event()

    def wait(self):
        """Report that this point was reached, and wait until it is open."""
        self.reached.set()
        self._opened.wait(WAIT_S)

    def open(self):
        self._opened.set()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 64


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.engine.accepted += 1
        self.server.engine.idle.add(self)

    def finish(self):
        self.server.engine.idle.discard(self)
        with contextlib.suppress(OSError):
            super().finish()

    def handle_one_request(self):
        try:
            super().handle_one_request()
        except OSError:
            self.close_connection = True

    def do_POST(self):
        engine = self.server.engine
        engine.idle.discard(self)
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        engine.handle(self, body)
        engine.idle.add(self)

    do_GET = do_POST
    do_DELETE = do_POST
    do_PUT = do_POST
    do_HEAD = do_POST

    def log_message(self, *_):
        """Write no access log."""

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in (*self.server.engine.list_headers(self), *headers):
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def abort(self, with_reset):
        """Close the connection without a response."""
        if with_reset:
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            self.connection.close()
        else:
            with contextlib.suppress(OSError):
                self.connection.shutdown(socket.SHUT_RDWR)
        self.close_connection = True


class GatedEngine:
    """One engine or plain server.

    ``gates`` maps a step (``reserve``, ``prefill``, ``decode``, ``half``,
    ``end`` or ``call``) to the gate at which a call waits before it has an
    effect.
    ``actions`` holds what happens to the next decodes or calls: ``stream``,
    ``refuse``, ``misdirect`` (another server has the address), ``reset``,
    ``close`` or ``head_close`` (the connection closes before the first
    event); after that, all are served.

    :param name: name of its incarnation
    :param handles: the prefill results of all engines of a test
    """

    def __init__(self, name, handles):
        self.name = name
        self.handles = handles
        self.gates = {}
        self.actions = collections.deque()
        # The number of connections accepted, and those without a request.
        self.accepted = 0
        self.idle = set()
        # The steps of the calls received, and the headers of the decodes.
        self.calls = []
        self.decodes = []
        self.holds = set()
        # Whether a decode without a valid reservation is refused.
        self.is_full = False
        self.refuses_holds = False
        # The first stream, and whether it has sent its end.
        self.stream = None
        self.has_ended = False
        self._changed = threading.Condition()
        self._allowed = EVENT_COUNT
        (self.port,) = processes.pick_ports(1)
        self._server = _Server((HOST, self.port), _Handler)
        self._server.engine = self
        threading.Thread(
            target=self._server.serve_forever, args=(POLL_S,), daemon=True
        ).start()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def place_gate(self, step):
        gate = self.gates[step] = Gate()
        return gate

    def allow(self, count):
        """Let the streams continue up to this event."""
        with self._changed:
            self._allowed = count
            self._changed.notify_all()

    def is_left(self):
        """Return whether the router has closed the first stream."""
        return self.stream is not None and _is_closed(self.stream.connection)

    def close_idle(self):
        """Close all connections on which no request has arrived."""
        for handler in list(self.idle):
            handler.abort(False)

    def stop_listening(self):
        """Refuse new connections, as after a crash."""
        self._server.shutdown()
        self._server.server_close()

    def stop(self):
        for gate in self.gates.values():
            gate.open()
        self.allow(EVENT_COUNT)
        self.stop_listening()
        self.close_idle()

    def list_headers(self, handler):
        return (
            ("Attempt-Id", handler.headers.get("Attempt-Id", "")),
            ("Server-Seal", f"seal-{self.name}"),
            ("Instance-Id", self.name),
        )

    def handle(self, handler, body):
        step = self._classify(handler)
        self.calls.append(step)
        if step == "decode":
            self.decodes.append(dict(handler.headers.items()))
        if step in self.gates:
            self.gates[step].wait()
        getattr(self, f"_{step}")(handler, body)

    @staticmethod
    def _classify(handler):
        for step, part in (
            ("reserve", "/hold-take"),
            ("drop", "/hold-drop/"),
            ("drop", "/kv-handle/"),
            ("call", "/plain/"),
            ("call", "/book/"),
        ):
            if part in handler.path:
                return step
        if handler.headers.get("Serving-Phase") == "prefill":
            return "prefill"
        return "decode"

    def _reserve(self, handler, body):
        if self.refuses_holds:
            handler.reply(503)
            return
        hold = f"h{len(self.calls)}"
        self.holds.add(hold)
        handler.reply(200, json.dumps({"hold": hold}).encode())

    def _drop(self, handler, body):
        handler.reply(200, b"{}")

    def _prefill(self, handler, body):
        handle = f"{self.name}-{len(self.calls)}"
        self.handles.add(handle)
        value = {"cache_handle": handle, "tokens": 100, "version": 1}
        handler.reply(200, json.dumps(value).encode())

    def _call(self, handler, body):
        if self._is_aborted(handler):
            return
        handler.reply(200, self.name.encode())

    def _decode(self, handler, body):
        if self._is_aborted(handler):
            return
        source = handler.headers.get("Kv-Source", "").rpartition("/")[2]
        is_admitted = handler.headers.get("Kv-Hold") in self.holds
        has_memory = not source or source in self.handles
        if not has_memory or (self.is_full and not is_admitted):
            self._refuse(handler)
            return
        self.handles.discard(source)
        self._stream(handler, "stream")

    def _is_aborted(self, handler):
        """Carry out the next action unless the request is to be served."""
        action = self.actions.popleft() if self.actions else "stream"
        if action == "refuse":
            self._refuse(handler)
        elif action == "misdirect":
            handler.reply(421)
        elif action in ("reset", "close"):
            handler.abort(action == "reset")
        elif action != "stream":
            self._stream(handler, action)
        return action != "stream"

    @staticmethod
    def _refuse(handler):
        handler.reply(503, b"", [("Not-Executed", "1")])

    def _stream(self, handler, action):
        self.stream = self.stream or handler
        handler.send_response(200)
        for name, value in self.list_headers(handler):
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        if action == "head_close":
            handler.abort(False)
            return
        first = int(handler.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENT_COUNT + 1):
            if not self._wait_allowed(handler, number):
                break
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            if number == HALF_EVENT and "half" in self.gates:
                _write_chunk(handler, event[:-HALF_BYTES])
                self.gates["half"].wait()
                event = event[-HALF_BYTES:]
            _write_chunk(handler, event)
        else:
            if "end" in self.gates:
                self.gates["end"].wait()
            handler.wfile.write(LAST_CHUNK)
            self.has_ended = True
            return
        handler.close_connection = True

    def _wait_allowed(self, handler, number):
        """Wait for permission; return false if the router has left."""
        with self._changed:
            return self._changed.wait_for(
                lambda: (
                    number <= self._allowed or _is_closed(handler.connection)
                ),
                WAIT_S,
            ) and (number <= self._allowed)


def _write_chunk(handler, data):
    handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))


def _is_closed(connection):
    """Return whether the peer has closed a connection."""
    try:
        if not select.select([connection], [], [], 0)[0]:
            return False
        return not connection.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True
