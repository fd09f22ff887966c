"""Formats token streams as server-sent events or as one completion."""

import abc
import json
import typing

from mulberryway import errors
from mulberryway import replies
from mulberryway.relay import events
from mulberryway.upstreams import base as upstreams

__all__ = ["CompletionWriter", "EventWriter", "ReplyHead", "Writer"]

EVENT_END = b"\n\n"
DONE = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"
# No body follows their heads, whatever these say.
BODILESS_STATUSES = (204, 304)
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    499: "Client Closed Request",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


class ReplyHead:
    """Writes the heads of HTTP replies for one request.

    :param is_http_11: whether the caller speaks HTTP/1.1
    :param keep: whether the connection stays open after a complete reply
    :param headers: header pairs of every reply to this request
    :param fault_format: how faults are encoded
    :param has_body: whether a body may follow; none answers HEAD
    """

    __slots__ = ("is_http_11", "keep", "headers", "fault_format", "has_body")

    def __init__(
        self,
        is_http_11: bool,
        keep: bool,
        headers: list[tuple[str, str]],
        fault_format: replies.FaultFormat = replies.NATIVE_FORMAT,
        has_body: bool = True,
    ) -> None:
        self.has_body = has_body
        self.is_http_11 = is_http_11
        self.keep = keep
        self.headers = headers
        self.fault_format = fault_format

    def write(self, status: int, headers: list[tuple[str, str]]) -> bytes:
        """Return a reply's head.

        :param status: the HTTP status
        :param headers: header pairs of this reply
        :returns: the bytes up to the body
        """
        lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}"]
        lines += [f"{k}: {v}" for k, v in headers + self.headers]
        if not self.keep:
            lines.append("Connection: close")
        elif not self.is_http_11:
            lines.append("Connection: Keep-Alive")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def write_reply(self, reply: replies.Reply) -> bytes:
        """Return a complete reply.

        :param reply: the reply
        :returns: head and body
        """
        return b"".join(self.write_parts(reply))

    def write_parts(self, reply: replies.Reply) -> list[bytes]:
        """Return a complete reply without a copy of its body.

        :param reply: the reply
        :returns: the head, and the body if one follows
        """
        if reply.close:
            self.keep = False
        if reply.status in BODILESS_STATUSES:
            return [self.write(reply.status, reply.headers)]
        length = ("Content-Length", str(len(reply.body)))
        head = self.write(reply.status, [*reply.headers, length])
        return [head, reply.body] if self.has_body and reply.body else [head]

    def frame(self, body: bytes) -> bytes:
        """Return a part of a body of unknown length, in its coding.

        :param body: the part
        """
        if not (body and self.has_body):
            return b""
        if not self.is_http_11:
            return body
        return b"%x\r\n%b\r\n" % (len(body), body)

    def frame_end(self) -> bytes:
        """Return the end of a body of unknown length."""
        return LAST_CHUNK if self.is_http_11 and self.has_body else b""


class Writer(abc.ABC):
    """Converts the events of one stream to the bytes of a reply.

    ``is_head_written`` is true once the reply's head was produced; before that
    a fault can still become an ordinary error reply.

    :param head: writes the reply's head
    """

    def __init__(self, head: ReplyHead) -> None:
        self.head = head
        self.is_head_written = False

    def set_source(self, source: upstreams.TokenStream) -> None:
        """Set the engine whose events follow.

        :param source: the engine's stream
        """
        return None

    @abc.abstractmethod
    def add(self, tokens: list[bytes]) -> bytes:
        """Return the bytes to send for some events.

        :param tokens: complete events in order
        :returns: the bytes, possibly none
        """

    @abc.abstractmethod
    def end(self) -> bytes:
        """Return the bytes that end a complete reply."""

    def fail(self, fault: errors.Fault) -> bytes:
        """Return the bytes that report a fault to the caller.

        :param fault: the fault
        :returns: the bytes; the connection must be closed after them if
            ``is_head_written`` was true
        """
        return self.head.write_reply(
            replies.make_fault_reply(fault, style=self.head.fault_format)
        )


class EventWriter(Writer):
    """Forwards events unchanged, in the caller's transfer coding."""

    def add(self, tokens: list[bytes]) -> bytes:
        """Return events as one chunk, preceded by the head on the first call.

        :param tokens: complete events in order
        :returns: the bytes to send
        """
        body = EVENT_END.join(tokens) + EVENT_END
        return self._frame(body)

    def end(self) -> bytes:
        """Return the final event and, for HTTP/1.1, the last chunk."""
        return self._frame(DONE) + self.head.frame_end()

    def fail(self, fault: errors.Fault) -> bytes:
        """Return an error reply, or an error event once the head was written.

        Neither the final event nor the last chunk follows an error event, so
        that a caller that does not parse events also detects the truncation.

        :param fault: the fault
        :returns: the bytes to send
        """
        if not self.is_head_written:
            return super().fail(fault)
        event = b"data: " + replies.describe_fault(fault) + EVENT_END
        return self._frame(event)

    def _frame(self, body: bytes) -> bytes:
        framed = self.head.frame(body)
        if self.is_head_written:
            return framed
        self.is_head_written = True
        return self._write_head() + framed

    def _write_head(self) -> bytes:
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
        ]
        if self.head.is_http_11:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            # HTTP/1.0 marks the end of a body of unknown length only by
            # closing the connection.
            self.head.keep = False
        return self.head.write(200, headers)


class CompletionWriter(Writer):
    """Collects the events and replies with one JSON object.

    :param head: writes the reply's head
    :param model: the model's name in the reply
    """

    def __init__(self, head: ReplyHead, model: str) -> None:
        super().__init__(head)
        self._model = model
        self._events: list[bytes] = []

    def add(self, tokens: list[bytes]) -> bytes:
        """Store the events.

        :param tokens: complete events in order
        :returns: no bytes
        """
        self._events += tokens
        return b""

    def end(self) -> bytes:
        """Return the complete reply."""
        values = [events.parse_json_event(event) for event in self._events]
        self.is_head_written = True
        reply = replies.Reply(
            200,
            [("Content-Type", replies.JSON_TYPE)],
            json.dumps(self._make_completion(values)).encode(),
        )
        return self.head.write_reply(reply)

    def _make_completion(
        self, values: list[dict[str, typing.Any]]
    ) -> dict[str, typing.Any]:
        choices = [value["choices"][0] for value in values]
        last = values[-1] if values else {}
        return {
            "id": values[0].get("id") if values else None,
            "object": "text_completion",
            "model": self._model,
            "choices": [
                {
                    "index": 0,
                    "text": "".join(choice["text"] for choice in choices),
                    "finish_reason": choices[-1].get("finish_reason"),
                }
            ],
            "usage": last.get("usage", {}),
        }
