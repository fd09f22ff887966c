"""HTTP client of the platform's object API."""

import collections.abc
import json
import typing
import urllib.parse

import expression
from opentelemetry import trace
import urllib3

from mulberryway import clock
from mulberryway import errors
from mulberryway import response_heads
from mulberryway.objects import base
from mulberryway.objects import call_metrics
from mulberryway.objects import codec

__all__ = ["HttpObjectStore"]

ROOT = "/apis/mulberryway.dev/v1"
NODES = "/api/v1/nodes"
READ_BYTES = 65_536
# All segments of 2,200 accounts take about a megabyte. A much larger reply is
# an error and must not exhaust the VM's memory.
MAX_REPLY_BYTES = 32 << 20
MAX_LINE_BYTES = 2 << 20
WATCH_CONNECTIONS = 8
MAX_RETRY_AFTER_S = 60

# An object that is nested too deeply raises RecursionError.
PARSE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
CODES = {
    404: errors.Code.NOT_FOUND,
    409: errors.Code.CONFLICT,
    410: errors.Code.NOT_FOUND,
    413: errors.Code.BODY_TOO_LARGE,
}
TOO_MANY_REQUESTS = 429
SERVER_ERRORS = 500
# No request was sent on these errors, so a write has no effect.
CONNECT_ERRORS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.NameResolutionError,
)

T = typing.TypeVar("T")

TRACER = trace.get_tracer(__name__)


class HttpObjectStore(base.ObjectStore):
    """Accesses the platform's API through a connection pool.

    :param url: the platform's address, as ``http://host:port``
    :param timeout_ms: the longest wait for a whole reply, in milliseconds
    :param clock_: the clock
    :param counter: counts every call
    """

    def __init__(
        self,
        url: str,
        timeout_ms: int,
        clock_: clock.Clock,
        counter: call_metrics.CallCounter,
    ) -> None:
        self._url = url.rstrip("/")
        self._peer = urllib.parse.urlsplit(url).netloc
        self._timeout_ms = timeout_ms
        self._clock = clock_
        self._counter = counter
        self._pool = response_heads.make_pools(maxsize=WATCH_CONNECTIONS)

    def read(
        self, kind: str, name: str, purpose: str
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Return one object; see the base class."""
        reply = self._exchange("GET", _make_path(kind, name), None, purpose)
        return reply.bind(
            lambda body: self._decode(
                "GET", lambda: codec.decode_object(kind, body)
            )
        )

    def read_all(
        self, kind: str, purpose: str
    ) -> expression.Result[list[base.StoredObject], errors.Fault]:
        """Return all objects of a kind; see the base class."""
        reply = self._exchange("GET", _make_path(kind), None, purpose)
        return reply.bind(
            lambda body: self._decode(
                "GET", lambda: codec.decode_list(kind, body)
            )
        )

    def create(
        self, kind: str, name: str, value: dict[str, typing.Any], purpose: str
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Create an object; see the base class."""
        body = {"metadata": {"name": name}, "value": value}
        reply = self._exchange("POST", _make_path(kind), body, purpose)
        return reply.bind(
            lambda body: self._decode(
                "POST", lambda: codec.decode_object(kind, body)
            )
        )

    def update(
        self,
        kind: str,
        name: str,
        value: dict[str, typing.Any],
        version: int,
        purpose: str,
    ) -> expression.Result[base.StoredObject, errors.Fault]:
        """Replace an object of a known version; see the base class."""
        metadata = {"name": name, "resourceVersion": str(version)}
        body = {"metadata": metadata, "value": value}
        reply = self._exchange("PUT", _make_path(kind, name), body, purpose)
        return reply.bind(
            lambda body: self._decode(
                "PUT", lambda: codec.decode_object(kind, body)
            )
        )

    def delete(
        self, kind: str, name: str, version: int, purpose: str
    ) -> expression.Result[None, errors.Fault]:
        """Delete an object of a known version; see the base class."""
        target = f"{_make_path(kind, name)}?resourceVersion={version}"
        reply = self._exchange("DELETE", target, None, purpose)
        return reply.map(lambda body: None)

    def watch(
        self, kind: str, from_version: int, idle_timeout_ms: int, purpose: str
    ) -> collections.abc.Iterator[
        expression.Result[base.WatchEvent, errors.Fault]
    ]:
        """Yield changes until the watch ends; see the base class."""
        query = urllib.parse.urlencode(
            {
                "watch": "true",
                "resourceVersion": from_version,
                "allowWatchBookmarks": "true",
            }
        )
        opened = self._send(
            "GET",
            f"{_make_path(kind)}?{query}",
            None,
            idle_timeout_ms,
            purpose,
        )
        if opened.is_error():
            yield expression.Error(opened.error)
            return
        self._counter.count_call(purpose, "ok", 0, 0)
        response = opened.ok
        try:
            for line in self._read_lines(response, idle_timeout_ms):
                event = line.bind(
                    lambda text: self._decode(
                        "GET", lambda: codec.decode_event(kind, text)
                    )
                )
                yield event
                if event.is_error():
                    return
        finally:
            # A watch closed before its end must not be reused: the next reply
            # on its connection would be an event of the watch.
            response.close()

    def list_vms(
        self, purpose: str
    ) -> expression.Result[list[base.ListedVm], errors.Fault]:
        """Return the platform's list of VMs; see the base class."""
        reply = self._exchange("GET", NODES, None, purpose)
        return reply.bind(
            lambda body: self._decode("GET", lambda: codec.decode_vms(body))
        )

    def _exchange(
        self,
        verb: str,
        target: str,
        body: dict[str, typing.Any] | None,
        purpose: str,
    ) -> expression.Result[typing.Any, errors.Fault]:
        with TRACER.start_as_current_span("platform") as span:
            span.set_attribute("purpose", purpose)
            deadline = clock.Deadline(self._clock.now_ms() + self._timeout_ms)
            data = None if body is None else codec.encode_body(body)
            opened = self._send(verb, target, data, self._timeout_ms, purpose)
            reply = opened.bind(
                lambda response: self._read_body(verb, response, deadline)
            )
            if opened.is_ok():
                self._count_reply(purpose, data, reply)
            return reply.bind(
                lambda raw: self._decode(
                    verb, lambda: json.loads(raw) if raw else None
                )
            )

    def _send(
        self,
        verb: str,
        target: str,
        data: bytes | None,
        timeout_ms: int,
        purpose: str,
    ) -> expression.Result[urllib3.BaseHTTPResponse, errors.Fault]:
        timeout_s = timeout_ms / 1000
        try:
            response = self._pool.request(
                verb,
                self._url + target,
                body=data,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            result = expression.Error(self._make_transport_fault(verb, error))
        else:
            if response.status < 300:
                return expression.Ok(response)
            result = expression.Error(self._make_status_fault(verb, response))
            response.close()
        sent = 0 if data is None else len(data)
        self._counter.count_call(purpose, result.error.code.value, sent, 0)
        return result

    def _read_body(
        self,
        verb: str,
        response: urllib3.BaseHTTPResponse,
        deadline: clock.Deadline,
    ) -> expression.Result[bytes, errors.Fault]:
        parts: list[bytes] = []
        size = 0
        try:
            while part := response.read1(READ_BYTES):
                parts.append(part)
                size += len(part)
                # A reply that arrives slowly never exceeds the socket timeout.
                if deadline.has_passed(self._clock.now_ms()):
                    response.close()
                    return self._make_error(
                        verb, "the reply exceeded its deadline"
                    )
                if size > MAX_REPLY_BYTES:
                    response.close()
                    return self._make_error(
                        verb, "the reply exceeds the size limit"
                    )
        except urllib3.exceptions.HTTPError as error:
            response.close()
            return expression.Error(self._make_transport_fault(verb, error))
        response.release_conn()
        return expression.Ok(b"".join(parts))

    def _read_lines(
        self, response: urllib3.BaseHTTPResponse, idle_timeout_ms: int
    ) -> collections.abc.Iterator[expression.Result[bytes, errors.Fault]]:
        buffered = b""
        last_ms = self._clock.now_ms()
        while True:
            try:
                part = response.read1(READ_BYTES)
            except urllib3.exceptions.HTTPError as error:
                yield expression.Error(
                    self._make_transport_fault("GET", error)
                )
                return
            *lines, buffered = (buffered + part).split(b"\n")
            if lines:
                last_ms = self._clock.now_ms()
            yield from map(expression.Ok, filter(None, lines))
            has_timed_out = self._clock.now_ms() - last_ms > idle_timeout_ms
            if not part or has_timed_out or len(buffered) > MAX_LINE_BYTES:
                yield self._make_error("GET", "the watch ended or timed out")
                return

    def _decode(
        self, verb: str, decode: collections.abc.Callable[[], T]
    ) -> expression.Result[T, errors.Fault]:
        """Decode a response, or return a fault if it is malformed."""
        try:
            return expression.Ok(decode())
        except PARSE_ERRORS:
            return self._make_error(verb, "the response is malformed")

    def _count_reply(
        self,
        purpose: str,
        data: bytes | None,
        reply: expression.Result[bytes, errors.Fault],
    ) -> None:
        sent = 0 if data is None else len(data)
        if reply.is_ok():
            self._counter.count_call(purpose, "ok", sent, len(reply.ok))
        else:
            code = reply.error.code.value
            self._counter.count_call(purpose, code, sent, 0)

    def _make_transport_fault(
        self, verb: str, error: urllib3.exceptions.HTTPError
    ) -> errors.Fault:
        """Return the fault of a transport error: not run or may have run.

        A reply can be lost after the write took effect, in which case the
        write must not be retried blindly or reported as failed. Other
        connections of the same age may be unresponsive too, so all idle
        connections are dropped.
        """
        self._pool.clear()
        sent = not isinstance(error, CONNECT_ERRORS)
        return self._make_fault(verb, sent, type(error).__name__)

    def _make_status_fault(
        self, verb: str, response: urllib3.BaseHTTPResponse
    ) -> errors.Fault:
        status = response.status
        if status in CODES:
            return errors.Fault(
                CODES[status],
                errors.Step.PLATFORM,
                self._peer,
                message=f"the platform responded with status {status}",
            )
        fault = self._make_fault(
            verb,
            status >= SERVER_ERRORS,
            f"the platform responded with status {status}",
        )
        if status == TOO_MANY_REQUESTS:
            fault.retry_after_ms = _read_retry_after(response)
        return fault

    def _make_error(
        self, verb: str, message: str
    ) -> expression.Result[typing.Any, errors.Fault]:
        return expression.Error(self._make_fault(verb, True, message))

    def _make_fault(self, verb: str, sent: bool, message: str) -> errors.Fault:
        may_have_run = sent and verb != "GET"
        return errors.Fault(
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.Step.PLATFORM,
            self._peer,
            errors.ExecutionStatus.MAY_HAVE_RUN
            if may_have_run
            else errors.ExecutionStatus.NOT_RUN,
            message,
        )


def _make_path(kind: str, name: str = "") -> str:
    parts = [ROOT, kind, urllib.parse.quote(name, safe="")]
    return "/".join(filter(None, parts))


def _read_retry_after(response: urllib3.BaseHTTPResponse) -> int:
    text = response.headers.get("Retry-After", "1")
    seconds = int(text) if text.isdecimal() else 1
    return min(seconds, MAX_RETRY_AFTER_S) * 1000
