"""The client for model engines that use the platform's protocol."""

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
from mulberryway.platform import advisories
from mulberryway.platform import json_text
from mulberryway.platform import responses
from mulberryway.platform import wire
from mulberryway.upstreams import base
from mulberryway.upstreams import connections
from mulberryway.upstreams import decode_call
from mulberryway.upstreams import dialing

__all__ = ["PlatformEngine"]

LOG = logging.getLogger(__name__)

PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
# Other VMs get the numbers of a load report with 32 bits.
MAX_NUMBER = 2**31 - 1
# Of a load report, which has to fit into a datagram.
MAX_MODELS = 32
MAX_NAME_LENGTH = 128
CONTROL_TIMEOUT_MS = 1_000
BLOCK_TOKENS = 16
# A response takes a few ms within a region, and the request waits for it.
RESERVE_TIMEOUT_MS = 100


class _Reservation:
    """A reservation of a slot and KV blocks for one decode.

    :param name: its name at the engine
    :param until_ms: when it expires, in ms of the clock
    """

    __slots__ = ("name", "until_ms")

    def __init__(self, name: str, until_ms: int) -> None:
        self.name = name
        self.until_ms = until_ms


class _KvHandle:
    """A handle to a KV cache held by the engine that ran the prefill.

    :param name: the handle's name, which is valid for one use
    :param on_used: called when another engine has fetched the KV cache
    """

    __slots__ = ("name", "mark_used")

    def __init__(
        self, name: str, on_used: collections.abc.Callable[[], None]
    ) -> None:
        self.name = name
        self.mark_used = on_used


class PlatformEngine(base.Engine):
    """A model engine at one address.

    :param instance: the id of the incarnation expected at the address
    :param address: ``host:port``
    :param clock_: the clock
    :param dialer: opens the connections
    :param listener: called with what each response says of the engine
    """

    supports_chunked_prefill = True
    counts_prefill_as_run = False

    def __init__(
        self,
        instance: str,
        address: str,
        clock_: clock.Clock,
        dialer: dialing.Dialer = dialing.DIRECT,
        listener: advisories.Listener = advisories.ignore,
    ) -> None:
        self._reader = advisories.AdvisoryReader(instance, listener, clock_)
        self.instance = instance
        self.address = address
        # See :class:`tables.Upstream`.
        self.is_cordoned = False
        self._clock = clock_
        self._dialer = dialer
        self._client = connections.UpstreamClient(
            address, clock_, wire.ATTEMPT_ID, dialer
        )
        self._lock = threading.Lock()
        self._calls: dict[str, connections.CallCanceller] = {}
        self._handles: dict[str, _KvHandle] = {}
        self._prepared: dict[str, decode_call.DecodeConnection] = {}
        self._reservations: dict[str, _Reservation] = {}

    def prefill(
        self,
        label: base.AttemptLabel,
        body: base.PassthroughRequest,
        timeout_ms: int,
    ) -> expression.Result[base.PrefillResult, errors.Fault]:
        """Prefill a prompt and hold its KV cache for another engine.

        :param label: identifies the attempt
        :param body: the caller's request
        :param timeout_ms: the maximum wait for the result, in ms
        :returns: the result, or a fault, always with ``NOT_RUN``
        """
        if self.is_cordoned:
            return expression.Error(
                responses.make_cordoned_fault(
                    self.address, errors.Step.PREFILL
                )
            )
        headers = self._make_headers(label, body)
        headers[wire.PHASE] = "prefill"
        interrupt = self._register_call(label)
        sent_ms = self._clock.now_ms()
        try:
            result = self._client.call(
                body.method,
                body.target,
                headers,
                body.body,
                timeout_ms,
                errors.Step.PREFILL,
                canceller=interrupt,
                is_rejection=responses.is_rejection,
            )
        finally:
            self._unregister_call(label)
        if result.is_ok():
            self._reader.read(result.ok.status, result.ok.headers, sent_ms)
        result = result.bind(
            lambda response: self._parse_prefill(label, response)
        )
        if result.is_error():
            # A prefill generates no output, so the request can be retried
            # whatever the outcome of the call.
            result.error.run = errors.ExecutionStatus.NOT_RUN
        return result

    def prepare_decode(
        self,
        label: base.AttemptLabel,
        reservation: base.ReservationRequest | None = None,
    ) -> expression.Result[errors.Fault | None, errors.Fault]:
        """Open the connection for an upcoming decode and reserve capacity.

        :param label: identifies the attempt
        :param reservation: the capacity to reserve, or None
        :returns: None, or why it is unknown whether capacity is reserved; or a
            fault; no part of the request was sent
        """
        if self.is_cordoned:
            return expression.Error(
                responses.make_cordoned_fault(self.address, errors.Step.DECODE)
            )
        connected = decode_call.connect(self.address, self._dialer)
        if connected.is_error():
            return connected.map(lambda connection: None)
        self._store_prepared(label, connected.ok)
        return (
            expression.Ok(None)
            if reservation is None
            else self._reserve(label, reservation)
        )

    def release(self, label: base.AttemptLabel) -> None:
        """Close the prepared connection and cancel the reservation.

        The call is idempotent.

        :param label: identifies the attempt
        """
        connection = self._pop_prepared(label)
        if connection is not None:
            connection.close()
        reservation = self._pop_reservation(label)
        if reservation is not None:
            # Otherwise the KV blocks stay reserved until the reservation
            # expires.
            self._call_control(
                "DELETE", f"{wire.CANCEL_RESERVATION_PATH}/{reservation.name}"
            )

    def decode(
        self,
        label: base.AttemptLabel,
        body: base.PassthroughRequest,
        transfer: dict[str, typing.Any],
        offset: int,
        timeout_ms: int,
    ) -> expression.Result[base.TokenStream, errors.Fault]:
        """Start a decode, fetching its KV cache from the prefill engine.

        :param label: identifies the attempt
        :param body: the caller's request
        :param transfer: the prefill's transfer parameters; empty if this
            engine prefills the prompt itself
        :param offset: the number of the last event that the caller has
            received; 0 for a new stream
        :param timeout_ms: the maximum wait for the response head, in ms
        :returns: the stream, or a fault with the execution status
        """
        if self.is_cordoned:
            return expression.Error(
                responses.make_cordoned_fault(self.address, errors.Step.DECODE)
            )
        headers = self._make_headers(label, body)
        if transfer:
            headers[wire.HANDLE_SOURCE] = (
                f"{transfer['address']}/{transfer['handle'].name}"
            )
        if offset:
            headers[wire.LAST_EVENT] = str(offset)
        reservation = self._pop_reservation(label)
        if (
            reservation is not None
            and self._clock.now_ms() < reservation.until_ms
        ):
            headers[wire.RESERVATION] = reservation.name
        request = decode_call.DecodeRequest(
            body.method, body.target, headers, body.body, wire.ATTEMPT_ID
        )
        interrupt = self._register_call(label)
        sent_ms = self._clock.now_ms()

        def parse_rejection(
            status: int,
            headers: list[tuple[str, str]],
            body: bytes,
            address: str,
        ) -> errors.Fault:
            self._reader.read(status, headers, sent_ms)
            return responses.make_response_fault(
                status, headers, body, address, errors.Step.DECODE
            )

        try:
            result = decode_call.begin_decode(
                self.address,
                request,
                timeout_ms,
                parse_rejection,
                interrupt,
                self._pop_prepared(label),
                self._dialer,
            )
        finally:
            self._unregister_call(label)
        if result.is_ok():
            self._reader.read(http.HTTPStatus.OK, result.ok.headers, sent_ms)
        result = result.bind(self._check_headers)
        if result.is_ok() and transfer:
            # The handle is used up, so the prefill engine has nothing to
            # release.
            transfer["handle"].mark_used()
        return result

    def cancel(
        self, label: base.AttemptLabel
    ) -> expression.Result[bool, errors.Fault]:
        """Release all that the engine holds for an attempt; idempotent.

        The engine stops a running call when its connection closes.  A KV
        cache that was not fetched occupies memory until it expires, so its
        handle is deleted.

        :param label: identifies the attempt
        :returns: whether the engine held anything, or a fault
        """
        with self._lock:
            call = self._calls.get(label.request_id)
            handle = self._handles.pop(label.request_id, None)
        if call is not None:
            call.cancel()
        self.release(label)
        if handle is None or self.is_cordoned:
            # A cordoned engine releases the handle when it expires.
            return expression.Ok(call is not None)
        return self._call_control(
            "DELETE", f"{wire.KV_HANDLE_PATH}/{handle.name}"
        ).map(lambda response: True)

    def interrupt(self, label: base.AttemptLabel) -> None:
        """End this VM's call for an attempt, if it waits.

        :param label: identifies the attempt
        """
        with self._lock:
            call = self._calls.get(label.request_id)
        if call is not None:
            call.cancel()

    def list_in_flight(
        self,
    ) -> expression.Result[list[base.InFlightRequest], errors.Fault]:
        """Return an empty list: an engine stops a disconnected request."""
        return expression.Ok([])

    def report_load(self) -> expression.Result[base.EngineLoad, errors.Fault]:
        """Return the engine's load report, which lags behind its state."""
        return self._call_control("GET", wire.REPORT).bind(self._parse_load)

    def read_cache_events(
        self, after: int
    ) -> expression.Result[list[base.CacheEvent], errors.Fault]:
        """Return an empty list: cache events are not queried.

        :param after: the sequence number of the last event received
        """
        return expression.Ok([])

    def send_order(
        self, order: base.Order
    ) -> expression.Result[None, errors.Fault]:
        """Send the engine an order to change its role.

        It never goes through another VM: engines tell holders apart by the
        machine that an order comes from.

        :param order: the order with its fencing token
        :returns: None, or a fault: ``UPSTREAM_REFUSED`` if the fencing
            token is outdated
        """
        body = {
            "op_type": "phase",
            "phase": order.argument,
            "holder": order.holder,
            "fence": order.fencing,
        }
        if order.expected is not None:
            body["expect"] = order.expected
        client = connections.UpstreamClient(
            self.address, self._clock, wire.ATTEMPT_ID
        )
        sent = self._call_control("POST", wire.ORDER, body, client=client)
        client.close()
        return sent.map(lambda response: None)

    def close(self) -> None:
        """Close the pooled connections."""
        self._client.close()

    def _make_headers(
        self, label: base.AttemptLabel, call: base.PassthroughRequest
    ) -> dict[str, str]:
        left_ms = call.deadline.left_ms(self._clock.now_ms())
        headers = responses.make_request_headers(
            call.headers, self.instance, max(left_ms, 1)
        )
        if label.urgency is not None:
            headers[wire.URGENCY] = str(label.urgency)
        return headers

    def _check_headers(
        self, source: base.TokenStream
    ) -> expression.Result[base.TokenStream, errors.Fault]:
        headers = list(source.headers)
        if responses.is_encoded(headers):
            fault = responses.make_encoded_fault(
                self.address, errors.Step.DECODE
            )
        elif not responses.is_signed(headers):
            fault = responses.make_unsigned_fault(
                self.address, errors.Step.DECODE
            )
        else:
            return expression.Ok(source)
        source.connection.close()
        return expression.Error(fault)

    def _register_call(
        self, label: base.AttemptLabel
    ) -> connections.CallCanceller:
        interrupt = connections.CallCanceller()
        with self._lock:
            self._calls[label.request_id] = interrupt
        return interrupt

    def _unregister_call(self, label: base.AttemptLabel) -> None:
        with self._lock:
            self._calls.pop(label.request_id, None)

    def _store_prepared(
        self,
        label: base.AttemptLabel,
        connection: decode_call.DecodeConnection,
    ) -> None:
        with self._lock:
            self._prepared[label.request_id] = connection

    def _reserve(
        self, label: base.AttemptLabel, requested: base.ReservationRequest
    ) -> expression.Result[errors.Fault | None, errors.Fault]:
        sent_ms = self._clock.now_ms()
        body = {"tokens": requested.tokens, "ttl_ms": requested.hold_ms}
        reserved = self._call_control(
            "POST", wire.RESERVE_PATH, body, RESERVE_TIMEOUT_MS
        )
        if reserved.is_error():
            is_rejected = reserved.error.code is errors.Code.UPSTREAM_REFUSED
            if not is_rejected and not requested.is_required:
                # The free capacity is unknown; the decode itself is accepted
                # or rejected by the engine.
                LOG.info(
                    "a reservation request got no valid response",
                    extra=logs.make_extra(
                        reserved.error, request_id=label.request_id
                    ),
                )
                return expression.Ok(reserved.error)
            self.release(label)
            reserved.error.step = errors.Step.RESERVE
            reserved.error.run = errors.ExecutionStatus.NOT_RUN
            return expression.Error(reserved.error)
        try:
            value = json_text.decode(reserved.ok.body)
            # It is sent in a header.
            name = wire.parse_id(value["hold"])
        except PARSE_ERRORS:
            LOG.warning(
                "%s: the reservation response is malformed", self.address
            )
            return expression.Ok(None)
        with self._lock:
            self._reservations[label.request_id] = _Reservation(
                name, sent_ms + requested.hold_ms
            )
        return expression.Ok(None)

    def _pop_reservation(
        self, label: base.AttemptLabel
    ) -> "_Reservation | None":
        with self._lock:
            return self._reservations.pop(label.request_id, None)

    def _pop_prepared(
        self, label: base.AttemptLabel
    ) -> decode_call.DecodeConnection | None:
        with self._lock:
            return self._prepared.pop(label.request_id, None)

    def _remove_handle(self, label: base.AttemptLabel) -> None:
        with self._lock:
            self._handles.pop(label.request_id, None)

    def _parse_prefill(
        self, label: base.AttemptLabel, response: connections.Response
    ) -> expression.Result[base.PrefillResult, errors.Fault]:
        if response.status != http.HTTPStatus.OK:
            fault = responses.make_response_fault(
                response.status,
                response.headers,
                response.body,
                self.address,
                errors.Step.PREFILL,
            )
            fault.answer = None
            return expression.Error(fault)
        if responses.is_encoded(response.headers):
            return expression.Error(
                responses.make_encoded_fault(
                    self.address, errors.Step.PREFILL, response.details
                )
            )
        try:
            value = json_text.decode(response.body)
            handle = _KvHandle(
                wire.parse_id(value["cache_handle"]),
                lambda: self._remove_handle(label),
            )
            tokens = wire.parse_integer(value["tokens"], maximum=MAX_NUMBER)
        except PARSE_ERRORS:
            return expression.Error(
                _make_failure(self.address, "the prefill result is malformed")
            )
        with self._lock:
            self._handles[label.request_id] = handle
        transfer = {"address": self.address, "handle": handle}
        return expression.Ok(base.PrefillResult(transfer, tokens, 0))

    def _call_control(
        self,
        method: str,
        target: str,
        body: dict[str, typing.Any] | None = None,
        timeout_ms: int = CONTROL_TIMEOUT_MS,
        client: connections.UpstreamClient | None = None,
    ) -> expression.Result[connections.Response, errors.Fault]:
        if self.is_cordoned:
            return expression.Error(
                responses.make_cordoned_fault(self.address, errors.Step.DECODE)
            )
        headers = {wire.EXPECTED_INSTANCE: self.instance}
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        sent_ms = self._clock.now_ms()
        result = (client or self._client).call(
            method, target, headers, data, timeout_ms, errors.Step.DECODE
        )
        if result.is_ok():
            self._reader.read(
                result.ok.status, result.ok.headers, sent_ms, is_request=False
            )
        return result.bind(self._check_control_response)

    def _check_control_response(
        self, response: connections.Response
    ) -> expression.Result[connections.Response, errors.Fault]:
        if response.status not in (
            http.HTTPStatus.OK,
            http.HTTPStatus.ACCEPTED,
        ):
            return expression.Error(
                errors.Fault(
                    errors.Code.UPSTREAM_REFUSED,
                    errors.Step.DECODE,
                    self.address,
                    message=f"engine responded with status {response.status}",
                )
            )
        if responses.is_encoded(response.headers):
            return expression.Error(
                responses.make_encoded_fault(
                    self.address, errors.Step.DECODE, response.details
                )
            )
        return expression.Ok(response)

    def _parse_load(
        self, response: connections.Response
    ) -> expression.Result[base.EngineLoad, errors.Fault]:
        try:
            value = json_text.decode(response.body)
            total, used, running, queued, orders = (
                wire.parse_integer(value[name], maximum=MAX_NUMBER)
                # On the platform "sequence" counts the orders that the engine
                # has accepted.
                for name in (
                    "kv_total",
                    "kv_used",
                    "running",
                    "queued",
                    "sequence",
                )
            )
            total, used = total // BLOCK_TOKENS, used // BLOCK_TOKENS
            load = base.EngineLoad(
                running,
                queued,
                0,
                max(total - used, 0),
                total,
                _parse_models(value["models"]),
                orders,
                bool(value["busy"]),
                wire.parse_string(value["phase"]),
            )
        except PARSE_ERRORS:
            return expression.Error(
                _make_failure(self.address, "the load report is malformed")
            )
        return expression.Ok(load)


def _parse_models(models: list[dict[str, typing.Any]]) -> tuple[str, ...]:
    """Return the names of the models that an engine serves."""
    names = tuple(wire.parse_id(model["name"]) for model in models)
    if len(names) > MAX_MODELS or any(
        len(name) > MAX_NAME_LENGTH for name in names
    ):
        raise ValueError("too many models, or names that are too long")
    return names


def _make_failure(address: str, message: str) -> errors.Fault:
    return errors.Fault(
        errors.Code.UPSTREAM_FAILED,
        errors.Step.PREFILL,
        address,
        errors.ExecutionStatus.MAY_HAVE_RUN,
        message,
    )
