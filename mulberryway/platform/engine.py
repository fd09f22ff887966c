"""Model engines as the platform's upstreams speak."""

import collections.abc
import http
import json
import logging
import threading
import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway.platform import responses
from mulberryway.platform import wire
from mulberryway.upstreams import base
from mulberryway.upstreams import connections
from mulberryway.upstreams import decode_call

__all__ = ["PlatformEngine"]

LOG = logging.getLogger(__name__)

CONTROL_TIMEOUT_MS = 1_000
BLOCK_TOKENS = 16
# Within a region the answer takes a few milliseconds, and the request waits.
RESERVE_TIMEOUT_MS = 100


class _Hold:
    """A reservation of a slot and memory for one decode.

    :param name: its name at the engine
    :param until_ms: when it lapses
    """

    __slots__ = ("name", "until_ms")

    def __init__(self, name: str, until_ms: int) -> None:
        self.name = name
        self.until_ms = until_ms


class _Handle:
    """A KV cache that waits at the engine which read the prompt.

    :param name: the handle's name; it is good for one use
    :param on_spent: called when another engine has taken the KV cache
    """

    __slots__ = ("name", "spend")

    def __init__(
        self, name: str, on_spent: collections.abc.Callable[[], None]
    ) -> None:
        self.name = name
        self.spend = on_spent


class PlatformEngine(base.Engine):
    """One engine at one address.

    :param instance: the incarnation that is expected there
    :param address: ``host:port``
    :param clock_: where the time comes from
    """

    supports_chunked_prefill = True
    counts_prefill_as_run = False

    def __init__(
        self, instance: str, address: str, clock_: clock.Clock
    ) -> None:
        self.instance = instance
        self.address = address
        self._clock = clock_
        self._caller = connections.UpstreamClient(
            address, clock_, wire.ATTEMPT_ID
        )
        self._lock = threading.Lock()
        self._calls: dict[str, connections.CallCanceller] = {}
        self._handles: dict[str, _Handle] = {}
        self._made: dict[str, decode_call.DecodeConnection] = {}
        self._holds: dict[str, _Hold] = {}

    def prefill(
        self,
        label: base.AttemptLabel,
        body: base.PassthroughRequest,
        timeout_ms: int,
    ) -> expression.Result[base.PrefillResult, errors.Fault]:
        """Read a prompt and keep its KV cache for another engine.

        :param label: names the attempt
        :param body: the caller's request
        :param timeout_ms: the longest wait for the result
        :returns: the result, or a fault; nothing of the request itself runs
        """
        headers = self._make_headers(body)
        headers[wire.PHASE] = "prefill"
        interrupt = self._begin(label)
        try:
            result = self._caller.call(
                body.method,
                body.target,
                headers,
                body.body,
                timeout_ms,
                errors.Step.PREFILL,
                interrupt=interrupt,
            ).bind(lambda found: self._read_prefill(label, found))
        finally:
            self._end(label)
        if result.is_error():
            # Reading a prompt runs nothing, whatever became of the call.
            result.error.run = errors.ExecutionStatus.NOT_RUN
        return result

    def prepare(
        self,
        label: base.AttemptLabel,
        reservation: base.ReservationRequest | None = None,
    ) -> expression.Result[None, errors.Fault]:
        """Make the connection for a decode that comes soon, and reserve.

        :param label: names the attempt
        :param reservation: what to reserve; none for nothing
        :returns: nothing, or a fault: nothing of the request was sent
        """
        connected = decode_call.connect(self.address)
        if connected.is_error():
            return connected.map(lambda made: None)
        self._keep(label, connected.ok)
        return (
            expression.Ok(None)
            if reservation is None
            else self._reserve(label, reservation)
        )

    def release(self, label: base.AttemptLabel) -> None:
        """Close the connection that was made for a decode; idempotent.

        :param label: names the attempt
        """
        made = self._take_made(label)
        if made is not None:
            made.close()
        hold = self._take_hold(label)
        if hold is not None:
            # Else the memory would stay reserved until the hold lapses.
            self._control(
                "DELETE", f"{wire.CANCEL_RESERVATION_PATH}/{hold.name}"
            )

    def decode(
        self,
        label: base.AttemptLabel,
        body: base.PassthroughRequest,
        transfer: dict[str, typing.Any],
        offset: int,
        timeout_ms: int,
    ) -> expression.Result[base.TokenStream, errors.Fault]:
        """Fetch a KV cache and begin to generate.

        :param label: names the attempt
        :param body: the caller's request
        :param transfer: what the prefill returned; empty where this engine
            is to read the prompt itself
        :param offset: the last event that the caller has; 0 at first
        :param timeout_ms: the longest wait for the reply's head
        :returns: the stream, or a fault that says whether it ran
        """
        headers = self._make_headers(body)
        if transfer:
            headers[wire.HANDLE_SOURCE] = (
                f"{transfer['address']}/{transfer['handle'].name}"
            )
        if offset:
            headers[wire.LAST_EVENT] = str(offset)
        hold = self._take_hold(label)
        if hold is not None and self._clock.now_ms() < hold.until_ms:
            headers[wire.RESERVATION] = hold.name
        request = decode_call.DecodeRequest(
            body.method, body.target, headers, body.body, wire.ATTEMPT_ID
        )
        interrupt = self._begin(label)
        try:
            result = decode_call.begin_decode(
                self.address,
                request,
                timeout_ms,
                _read_decode_refusal,
                interrupt,
                self._take_made(label),
            )
        finally:
            self._end(label)
        if result.is_ok() and transfer:
            # There is nothing left to free at the other engine.
            transfer["handle"].spend()
        return result

    def cancel(
        self, label: base.AttemptLabel
    ) -> expression.Result[bool, errors.Fault]:
        """Free what the engine holds for an attempt; idempotent.

        A running call ends with its connection; a KV cache that nobody has
        fetched would fill the engine until it lapses.

        :param label: names the attempt
        :returns: whether anything was held, or a fault
        """
        with self._lock:
            call = self._calls.get(label.request_id)
            handle = self._handles.pop(label.request_id, None)
        self.release(label)
        if call is not None:
            call.set()
        if handle is None:
            return expression.Ok(call is not None)
        return self._control(
            "DELETE", f"{wire.KV_HANDLE_PATH}/{handle.name}"
        ).map(lambda found: True)

    def list_in_flight(
        self,
    ) -> expression.Result[list[base.InFlightRequest], errors.Fault]:
        """Return nothing: an engine drops a run with its connection."""
        return expression.Ok([])

    def report_load(self) -> expression.Result[base.EngineLoad, errors.Fault]:
        """Return the engine's own, lagging, load report."""
        return self._control("GET", wire.REPORT).bind(self._read_load)

    def read_cache_events(
        self, after: int
    ) -> expression.Result[list[base.CacheEvent], errors.Fault]:
        """Return nothing: cache events are not asked for.

        :param after: the last sequence seen
        """
        return expression.Ok([])

    def send_order(
        self, order: base.Order
    ) -> expression.Result[None, errors.Fault]:
        """Tell the engine to change its role.

        :param order: the order with its fencing number
        :returns: nothing, or a fault; ``UPSTREAM_REFUSED`` if fenced off
        """
        body = {
            "op_type": "phase",
            "phase": order.argument,
            "holder": order.holder,
            "fence": order.fencing,
        }
        if order.expected is not None:
            body["expect"] = order.expected
        return self._control("POST", wire.ORDER, body).map(lambda found: None)

    def close(self) -> None:
        """Close the connections that are kept."""
        self._caller.close()

    def _make_headers(self, call: base.PassthroughRequest) -> dict[str, str]:
        left_ms = call.deadline.left_ms(self._clock.now_ms())
        return responses.make_request_headers(
            call.headers, self.instance, max(left_ms, 1)
        )

    def _begin(self, label: base.AttemptLabel) -> connections.CallCanceller:
        interrupt = connections.CallCanceller()
        with self._lock:
            self._calls[label.request_id] = interrupt
        return interrupt

    def _end(self, label: base.AttemptLabel) -> None:
        with self._lock:
            self._calls.pop(label.request_id, None)

    def _keep(
        self, label: base.AttemptLabel, made: decode_call.DecodeConnection
    ) -> None:
        with self._lock:
            self._made[label.request_id] = made

    def _reserve(
        self, label: base.AttemptLabel, room: base.ReservationRequest
    ) -> expression.Result[None, errors.Fault]:
        sent_ms = self._clock.now_ms()
        body = {"tokens": room.tokens, "ttl_ms": room.hold_ms}
        asked = self._control(
            "POST", wire.RESERVE_PATH, body, RESERVE_TIMEOUT_MS
        )
        if asked.is_error():
            is_refused = asked.error.code is errors.Code.UPSTREAM_REFUSED
            if not is_refused and not room.is_required:
                # Nothing is known of its room; the decode will show it.
                LOG.info(
                    "a reservation was not answered",
                    extra=logs.make_extra(
                        asked.error, request_id=label.request_id
                    ),
                )
                return expression.Ok(None)
            self.release(label)
            asked.error.step = errors.Step.RESERVE
            asked.error.run = errors.ExecutionStatus.NOT_RUN
            return expression.Error(asked.error)
        try:
            name = wire.parse_string(json.loads(asked.ok.body)["hold"])
        except (ValueError, KeyError, TypeError):
            LOG.warning("%s: a reservation is malformed", self.address)
            return expression.Ok(None)
        with self._lock:
            self._holds[label.request_id] = _Hold(name, sent_ms + room.hold_ms)
        return expression.Ok(None)

    def _take_hold(self, label: base.AttemptLabel) -> "_Hold | None":
        with self._lock:
            return self._holds.pop(label.request_id, None)

    def _take_made(
        self, label: base.AttemptLabel
    ) -> decode_call.DecodeConnection | None:
        with self._lock:
            return self._made.pop(label.request_id, None)

    def _forget(self, label: base.AttemptLabel) -> None:
        with self._lock:
            self._handles.pop(label.request_id, None)

    def _read_prefill(
        self, label: base.AttemptLabel, found: connections.Response
    ) -> expression.Result[base.PrefillResult, errors.Fault]:
        if found.status != http.HTTPStatus.OK:
            fault = responses.make_response_fault(
                found.status,
                found.headers,
                found.body,
                self.address,
                errors.Step.PREFILL,
            )
            fault.answer = None
            return expression.Error(fault)
        try:
            value = json.loads(found.body)
            handle = _Handle(
                wire.parse_string(value["cache_handle"]),
                lambda: self._forget(label),
            )
            tokens = wire.parse_integer(value["tokens"])
        except (ValueError, KeyError, TypeError):
            return expression.Error(
                _fail(self.address, "the prefill's result is malformed")
            )
        with self._lock:
            self._handles[label.request_id] = handle
        transfer = {"address": self.address, "handle": handle}
        return expression.Ok(base.PrefillResult(transfer, tokens, 0))

    def _control(
        self,
        method: str,
        target: str,
        body: dict[str, typing.Any] | None = None,
        timeout_ms: int = CONTROL_TIMEOUT_MS,
    ) -> expression.Result[connections.Response, errors.Fault]:
        headers = {wire.EXPECTED_INSTANCE: self.instance}
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        return self._caller.call(
            method,
            target,
            headers,
            data,
            timeout_ms,
            errors.Step.DECODE,
        ).bind(self._check_control)

    def _check_control(
        self, found: connections.Response
    ) -> expression.Result[connections.Response, errors.Fault]:
        if found.status in (http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED):
            return expression.Ok(found)
        return expression.Error(
            errors.Fault(
                errors.Code.UPSTREAM_REFUSED,
                errors.Step.DECODE,
                self.address,
                message=f"the engine answered with status {found.status}",
            )
        )

    def _read_load(
        self, found: connections.Response
    ) -> expression.Result[base.EngineLoad, errors.Fault]:
        try:
            value = json.loads(found.body)
            total = wire.parse_integer(value["kv_total"]) // BLOCK_TOKENS
            used = wire.parse_integer(value["kv_used"]) // BLOCK_TOKENS
            load = base.EngineLoad(
                wire.parse_integer(value["running"]),
                wire.parse_integer(value["queued"]),
                0,
                max(total - used, 0),
                total,
                tuple(one["name"] for one in value["models"]),
                # Here a "sequence" counts the orders that were accepted.
                wire.parse_integer(value["sequence"]),
                bool(value["busy"]),
                wire.parse_string(value["phase"]),
            )
        except (ValueError, KeyError, TypeError):
            return expression.Error(
                _fail(self.address, "the report is malformed")
            )
        return expression.Ok(load)


def _read_decode_refusal(
    status: int, headers: list[tuple[str, str]], body: bytes, address: str
) -> errors.Fault:
    return responses.make_response_fault(
        status, headers, body, address, errors.Step.DECODE
    )


def _fail(address: str, message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.UPSTREAM_FAILED,
        errors.Step.PREFILL,
        address,
        errors.ExecutionStatus.MAY_HAVE_RUN,
        message,
    )
