"""A caller that keeps its connection and reads what arrives byte by byte."""

import http.client
import select
import socket
import time

from tests import hosted_fleet
from tests import processes

TIMEOUT_S = 10.0
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"


class KeptCaller:
    """Sends requests on one connection, as long as it is open.

    ``surplus`` lists what has arrived beyond the answers.

    :param port: the VM's port
    """

    def __init__(self, port):
        self.port = port
        self.surplus = []
        self._socket = None
        self._received = b""

    def send(self, method, path, attempt, body=b"", headers=None):
        """Send one request and return its reply; status 0 if there is none.

        :param method: the HTTP method
        :param path: the target
        :param attempt: its id
        :param body: its body
        :param headers: more headers
        """
        self._check_at_rest()
        if self._socket is None:
            self._connect()
        sent = {
            "Host": hosted_fleet.SITE,
            "Attempt-Id": attempt,
            "Deadline-Ms": "4000",
            "Authorization": "Token k-large",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in sent.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        try:
            self._socket.sendall(head + body)
            return self._read_reply()
        except OSError:
            self.close()
            return processes.Reply(0, http.client.HTTPMessage(), b"", True)

    def close(self, pause_s=0.0):
        """Close the connection.

        :param pause_s: time to wait for bytes that no request asked for
        """
        time.sleep(pause_s)
        self._check_at_rest()
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def _connect(self):
        self._socket = socket.create_connection(
            (hosted_fleet.HOST, self.port), TIMEOUT_S
        )
        self._received = b""

    def _check_at_rest(self):
        """Record surplus bytes; forget a connection that the VM closed."""
        while self._socket is not None:
            if select.select([self._socket], [], [], 0)[0]:
                if not self._receive():
                    self._socket.close()
                    self._socket = None
                    break
            else:
                break
        if self._received:
            self.surplus.append(self._received)
            self._received = b""

    def _receive(self):
        """Receive bytes; return whether there are any."""
        try:
            data = self._socket.recv(65_536)
        except ConnectionResetError:
            return False
        self._received += data
        return bool(data)

    def _read_reply(self):
        while HEAD_END not in self._received:
            if not self._receive():
                raise ConnectionError(self._received)
        head, _, self._received = self._received.partition(HEAD_END)
        lines = head.decode("latin-1").split("\r\n")
        headers = http.client.HTTPMessage()
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name] = value.strip()
        status = int(lines[0].split(" ")[1])
        body, is_whole = self._read_body(headers)
        if not is_whole or headers.get("Connection", "") == "close":
            self._socket.close()
            self._socket = None
        return processes.Reply(status, headers, body, not is_whole)

    def _read_body(self, headers):
        """Return a body, and whether it is complete."""
        if "Content-Length" in headers:
            return self._read_bytes(int(headers["Content-Length"]))
        if headers.get("Transfer-Encoding", "") == "chunked":
            return self._read_chunks()
        return self._read_rest()

    def _read_bytes(self, size):
        while len(self._received) < size:
            if not self._receive():
                body, self._received = self._received, b""
                return body, False
        body, self._received = self._received[:size], self._received[size:]
        return body, True

    def _read_chunks(self):
        body = b""
        while True:
            while LINE_END not in self._received:
                if not self._receive():
                    self._received = b""
                    return body, False
            line, _, self._received = self._received.partition(LINE_END)
            size = int(line, 16)
            piece, is_whole = self._read_bytes(size + len(LINE_END))
            body += piece[:size]
            if not is_whole or not size:
                return body, is_whole

    def _read_rest(self):
        try:
            while data := self._socket.recv(65_536):
                self._received += data
            is_whole = True
        except ConnectionResetError:
            is_whole = False
        body, self._received = self._received, b""
        return body, is_whole
