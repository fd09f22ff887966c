"""HTTP client of a model engine, as specified in docs/design/interfaces.md."""

import http
import json
import typing
import urllib.parse

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.upstreams import base
from mulberryway.upstreams import connections
from mulberryway.upstreams import decode_call
from mulberryway.upstreams import dialing

__all__ = ["HttpEngine"]

CONTROL_TIMEOUT_MS = 1_000
NOT_RUN_STATUSES = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
# Body fields that only the router may set.  If callers could set them, they
# could import another account's KV cache.
ROUTER_FIELDS = ("kv_transfer_params", "resume_offset", "stream")

Body = dict[str, typing.Any]


class HttpEngine(base.Engine):
    """One engine at one address.

    :param address: ``host:port``
    :param credential: the pool's own credential; empty for none
    :param clock_: the clock
    :param dialer: opens the connections
    """

    def __init__(
        self,
        address: str,
        credential: str,
        clock_: clock.Clock,
        dialer: dialing.Dialer = dialing.DIRECT,
    ) -> None:
        self.address = address
        self._credential = credential
        self._dialer = dialer
        self._client = connections.UpstreamClient(
            address, clock_, dialer=dialer
        )

    def prefill(
        self,
        label: base.AttemptLabel,
        body: Body,
        timeout_ms: int,
    ) -> expression.Result[base.PrefillResult, errors.Fault]:
        """Compute a prompt's KV cache and retain it for export.

        :param label: identifies the attempt
        :param body: the caller's request without credentials
        :param timeout_ms: timeout of the result, in ms
        :returns: the result, or a fault with the execution status
        """
        step = errors.Step.PREFILL
        call = _strip_router_fields(body) | {
            "stream": False,
            "kv_transfer_params": {"do_remote_decode": True},
        }
        return self._call(
            "POST",
            "/v1/completions",
            self._make_headers(label),
            call,
            timeout_ms,
            step,
        ).bind(lambda value: self._parse(value, _parse_prefill, step))

    def decode(
        self,
        label: base.AttemptLabel,
        body: Body,
        transfer: Body,
        offset: int,
        timeout_ms: int,
    ) -> expression.Result[base.TokenStream, errors.Fault]:
        """Import a KV cache and start to generate tokens.

        :param label: identifies the attempt
        :param body: the caller's request without credentials
        :param transfer: the transfer parameters that the prefill returned
        :param offset: number of tokens that the caller already has
        :param timeout_ms: timeout of the response head, in ms
        :returns: the stream, or a fault with the execution status
        """
        call = _strip_router_fields(body) | {
            "stream": True,
            "kv_transfer_params": transfer | {"do_remote_prefill": True},
        }
        if offset:
            call["resume_offset"] = offset
        request = decode_call.DecodeRequest(
            "POST",
            "/v1/completions",
            self._make_headers(label),
            json.dumps(call).encode(),
        )
        return decode_call.begin_decode(
            self.address,
            request,
            timeout_ms,
            decode_call.parse_rejection,
            dialer=self._dialer,
        )

    def cancel(
        self, label: base.AttemptLabel
    ) -> expression.Result[bool, errors.Fault]:
        """Cancel an attempt and free its memory; idempotent.

        :param label: identifies the attempt
        :returns: whether the engine held memory for it, or a fault
        """
        name = urllib.parse.quote(label.request_id, safe="")
        return self._control("DELETE", f"/v1/requests/{name}").bind(
            lambda value: self._parse(
                value, lambda parsed: bool(parsed["held"]), errors.Step.DECODE
            )
        )

    def list_in_flight(
        self,
    ) -> expression.Result[list[base.InFlightRequest], errors.Fault]:
        """Return every request for which the engine holds memory."""
        return self._control("GET", "/v1/requests").bind(
            lambda value: self._parse(
                value, _parse_in_flight, errors.Step.DECODE
            )
        )

    def report_load(self) -> expression.Result[base.EngineLoad, errors.Fault]:
        """Return the engine's own load report, which may be outdated."""
        return self._control("GET", "/v1/load").bind(
            lambda value: self._parse(value, _parse_load, errors.Step.DECODE)
        )

    def read_cache_events(
        self, after: int
    ) -> expression.Result[list[base.CacheEvent], errors.Fault]:
        """Return the cache events after a sequence number.

        :param after: the last sequence number received
        :returns: events in order, possibly with gaps, or a fault
        """
        return self._control("GET", f"/v1/cache_events?after={after}").bind(
            lambda value: self._parse(value, _parse_events, errors.Step.DECODE)
        )

    def send_order(
        self, order: base.Order
    ) -> expression.Result[None, errors.Fault]:
        """Send an order to load or unload a model or to change the role.

        :param order: the order with its fencing number
        :returns: nothing, or a fault; ``UPSTREAM_REFUSED`` if the fencing
            number is outdated
        """
        body = {
            "verb": order.verb,
            "argument": order.argument,
            "fencing": order.fencing,
        }
        return self._control("POST", "/v1/orders", body).map(lambda _: None)

    def close(self) -> None:
        """Close the pooled connections."""
        self._client.close()

    def _control(
        self, method: str, target: str, body: Body | None = None
    ) -> expression.Result[typing.Any, errors.Fault]:
        return self._call(
            method,
            target,
            self._make_headers(),
            body,
            CONTROL_TIMEOUT_MS,
            errors.Step.DECODE,
        )

    def _call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: Body | None,
        timeout_ms: int,
        step: errors.Step,
    ) -> expression.Result[typing.Any, errors.Fault]:
        data = None if body is None else json.dumps(body).encode()
        return self._client.call(
            method, target, headers, data, timeout_ms, step
        ).bind(lambda response: self._decode_response(response, step))

    def _decode_response(
        self, response: connections.Response, step: errors.Step
    ) -> expression.Result[typing.Any, errors.Fault]:
        if response.status != http.HTTPStatus.OK:
            return expression.Error(
                self._classify_status(response.status, step)
            )
        try:
            return expression.Ok(json.loads(response.body))
        except ValueError:
            return expression.Error(self._make_malformed_fault(step))

    def _classify_status(self, status: int, step: errors.Step) -> errors.Fault:
        code, run = (
            errors.Code.UPSTREAM_FAILED,
            errors.ExecutionStatus.MAY_HAVE_RUN,
        )
        if status in NOT_RUN_STATUSES or status == http.HTTPStatus.CONFLICT:
            code, run = (
                errors.Code.UPSTREAM_REFUSED,
                errors.ExecutionStatus.NOT_RUN,
            )
        return errors.Fault(
            code,
            step,
            self.address,
            run,
            f"engine responded with status {status}",
        )

    def _parse(
        self,
        value: typing.Any,
        parse: typing.Callable[[typing.Any], typing.Any],
        step: errors.Step,
    ) -> expression.Result[typing.Any, errors.Fault]:
        try:
            return expression.Ok(parse(value))
        except (KeyError, TypeError, ValueError):
            return expression.Error(self._make_malformed_fault(step))

    def _make_malformed_fault(self, step: errors.Step) -> errors.Fault:
        return errors.Fault(
            errors.Code.UPSTREAM_FAILED,
            step,
            self.address,
            errors.ExecutionStatus.RAN,
            "engine response is malformed",
        )

    def _make_headers(
        self, label: base.AttemptLabel | None = None
    ) -> dict[str, str]:
        headers = {"Content-Type": "application/json"}
        if label is not None:
            headers[connections.REQUEST_ID_HEADER] = label.request_id
            headers["X-Request-Owner"] = f"{label.vm}/{label.incarnation}"
            if label.traceparent:
                headers["traceparent"] = label.traceparent
        if self._credential:
            headers["Authorization"] = f"Bearer {self._credential}"
        return headers


def _strip_router_fields(body: Body) -> Body:
    return {k: v for k, v in body.items() if k not in ROUTER_FIELDS}


def _parse_prefill(value: Body) -> base.PrefillResult:
    usage = value["usage"]
    return base.PrefillResult(
        dict(value["kv_transfer_params"]),
        int(usage["prompt_tokens"]),
        int(usage.get("cached_tokens", 0)),
    )


def _parse_in_flight(value: Body) -> list[base.InFlightRequest]:
    return [
        base.InFlightRequest(
            _parse_label(item), str(item["phase"]), int(item["blocks"])
        )
        for item in value["requests"]
    ]


def _parse_label(item: Body) -> base.AttemptLabel:
    vm, _, incarnation = str(item["owner"]).rpartition("/")
    # An owner in another format was not set by a router of this fleet.
    # Incarnations are never negative, so -1 matches none.
    number = int(incarnation) if vm and incarnation.isdigit() else -1
    return base.AttemptLabel(str(item["id"]), vm, number)


def _parse_load(value: Body) -> base.EngineLoad:
    return base.EngineLoad(
        int(value["running"]),
        int(value["waiting"]),
        int(value["slots"]),
        int(value["free_blocks"]),
        int(value["total_blocks"]),
        tuple(map(str, value["models"])),
    )


def _parse_events(value: Body) -> list[base.CacheEvent]:
    return [
        base.CacheEvent(
            int(event["sequence"]),
            tuple(event["stored"]),
            tuple(event["removed"]),
        )
        for event in value["events"]
    ]
