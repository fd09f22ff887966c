"""HTTP server of one engine stand-in; see docs/design/interfaces.md."""

import asyncio
import hashlib
import itertools
import math
import os
import typing

from aiohttp import web

from standins import answers
from standins import engine_completion
from standins import engine_kv_transfer
from standins import engine_model
from standins import engine_status_api
from standins import engine_types
from standins import recorder
from standins import serving

__all__ = ["EngineServer"]

CRASH_AFTER_S = 0.02
CRASH_STATUS = 70
CompletionResponder = engine_completion.CompletionResponder
EventKind = engine_types.EventKind


class EngineServer:
    """Serves one :class:`engine_model.EngineModel` over HTTP.

    :param address: own ``host:port``, which importing engines connect to
    :param parameters: parameters of the engine
    :param role: ``prefill``, ``decode`` or ``both``
    :param models: names of the loaded models
    :param seed: random seed of the engine model
    :param credential: required bearer token; empty for none
    :param crash_marker: text in a prompt that crashes the process
    :param stamps: whether each token event contains its send time
    """

    def __init__(
        self,
        address: str,
        parameters: engine_types.EngineParameters,
        role: str,
        models: tuple[str, ...],
        seed: int,
        credential: str = "",
        crash_marker: str = "",
        stamps: bool = False,
    ) -> None:
        self.address = address
        self.model = engine_model.EngineModel(parameters, role, models, seed)
        self.recorder = recorder.Recorder()
        self._credential = credential
        self._crash_marker = crash_marker
        self._stamps = stamps
        self._refuse_status = 0
        self._request_numbers = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._kv_transfer = engine_kv_transfer.KvTransfer(
            self.model, self._advance_model
        )

    def make_app(self) -> web.Application:
        """Return the application to serve."""
        app = serving.make_app()
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_delete("/v1/requests/{id}", self._handle_cancel)
        app.router.add_post("/standin/faults", self._set_faults)
        engine_status_api.EngineStatusApi(
            self.model, self.recorder, self._advance_model
        ).add_routes(app)
        self.recorder.add_routes(app)
        self._kv_transfer.add_routes(app)
        return app

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000

    def _advance_model(self) -> float:
        """Advance the model, dispatch its events and set the next timer.

        :returns: current time in ms
        """
        now_ms = self._now_ms()
        for event in self.model.advance(now_ms):
            if isinstance(event.run.context, CompletionResponder):
                self._dispatch_event(event, event.run.context)
        if self._timer is not None:
            self._timer.cancel()
        next_ms = self.model.get_next_event_ms()
        if next_ms < math.inf:
            self._timer = asyncio.get_running_loop().call_at(
                next_ms / 1000, self._advance_model
            )
        return now_ms

    def _dispatch_event(
        self, event: engine_types.ModelEvent, responder: CompletionResponder
    ) -> None:
        if event.kind is EventKind.TOKEN:
            responder.send_token(event.index)
        elif event.kind is EventKind.FINISHED:
            responder.record["outcome"] = "finished"
            responder.finish()
        elif event.kind is EventKind.PREFILLED:
            responder.record["outcome"] = "prefilled"
            engine_completion.set_result(responder.prefilled, None)
        elif event.kind is EventKind.IMPORTED:
            engine_completion.set_result(responder.imported, None)
        elif event.kind is EventKind.EXPIRED:
            responder.record["outcome"] = "expired"

    def _find_error(self, request: web.Request) -> web.Response | None:
        if self._refuse_status:
            return serving.make_error_response(
                self._refuse_status, "injected fault"
            )
        expected = f"Bearer {self._credential}"
        if (
            self._credential
            and request.headers.get("Authorization") != expected
        ):
            return serving.make_error_response(401, "wrong credential")
        return None

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.recorder.note(request, body)
        call = engine_completion.parse_completion_request(
            await serving.read_json(request)
        )
        rejection = self._find_error(request)
        if rejection is not None:
            return rejection
        if self._crash_marker and self._crash_marker in call.prompt:
            asyncio.get_running_loop().call_later(
                CRASH_AFTER_S, os._exit, CRASH_STATUS
            )
        responder = self._make_responder(request, call)
        self._advance_model()
        if call.params.get("do_remote_decode"):
            return await self._prefill(responder)
        if call.params.get("do_remote_prefill"):
            return await self._decode(request, call, responder)
        return await self._prefill_and_decode(request, call, responder)

    def _make_responder(
        self, request: web.Request, call: engine_completion.CompletionRequest
    ) -> CompletionResponder:
        request_id = request.headers.get(
            "X-Request-Id", f"{self.address}-{next(self._request_numbers)}"
        )
        answer = answers.Answer(call.model, call.prompt, call.max_tokens)
        run = engine_types.EngineRequest(
            request_id,
            request.headers.get("X-Request-Owner", ""),
            call.model,
            answers.hash_blocks(
                call.model, call.prompt, self.model.parameters.block_tokens
            ),
            answers.count_prompt_tokens(call.prompt),
            answer.length,
            int(request.headers.get("X-Request-Priority", "0")),
            call.offset,
        )
        record = {
            "id": request_id,
            "owner": run.owner,
            "kind": "prefill" if "do_remote_decode" in call.params else "run",
            "model": call.model,
            "prompt": hashlib.sha256(call.prompt.encode()).hexdigest()[:16],
            "offset": call.offset,
            "outcome": "running",
            "tokens": 0,
        }
        self.recorder.runs.append(record)
        run.context = CompletionResponder(call, run, record, self._stamps)
        return run.context

    def _make_rejection(
        self,
        responder: CompletionResponder,
        rejection: engine_types.RejectReason,
    ) -> web.Response:
        responder.record["outcome"] = "refused"
        return self._make_response(
            responder, {"error": rejection.name.lower()}, rejection.value
        )

    def _make_response(
        self,
        responder: CompletionResponder,
        body: dict[str, typing.Any],
        status: int = 200,
    ) -> web.Response:
        response = serving.answer(body, status)
        response.headers["X-Request-Id"] = responder.run.request_id
        return response

    async def _prefill(self, responder: CompletionResponder) -> web.Response:
        run = responder.run
        rejection = self.model.submit_prefill(run, self._now_ms())
        if rejection is not None:
            return self._make_rejection(responder, rejection)
        self._advance_model()
        try:
            await responder.prefilled
        finally:
            if not responder.prefilled.done() or not run.handle:
                self._cancel_call(responder)
        if not run.handle:
            return self._make_response(responder, {"error": "cancelled"}, 500)
        params = {
            "remote_engine": self.address,
            "remote_address": self.address,
            "remote_handle": run.handle,
            "expires_ms": self.model.parameters.handle_ms,
        }
        return self._make_response(
            responder,
            {
                "id": run.request_id,
                "kv_transfer_params": params,
                "usage": responder.make_usage(),
            },
        )

    async def _decode(
        self,
        request: web.Request,
        call: engine_completion.CompletionRequest,
        responder: CompletionResponder,
    ) -> web.StreamResponse:
        rejection = self.model.submit_decode(responder.run, self._now_ms())
        if rejection is not None:
            return self._make_rejection(responder, rejection)
        try:
            if not await self._kv_transfer.pin(call.params):
                self._cancel_call(responder)
                return self._make_rejection(
                    responder, engine_types.RejectReason.HANDLE_EXPIRED
                )
            responder.imported.add_done_callback(
                lambda _: self._kv_transfer.release_in_background(call.params)
            )
            self._advance_model()
            return await self._send_response(request, call, responder)
        finally:
            self._cancel_call(responder)

    async def _prefill_and_decode(
        self,
        request: web.Request,
        call: engine_completion.CompletionRequest,
        responder: CompletionResponder,
    ) -> web.StreamResponse:
        rejection = self.model.submit_prefill(
            responder.run, self._now_ms(), decodes=True
        )
        if rejection is not None:
            return self._make_rejection(responder, rejection)
        try:
            self._advance_model()
            return await self._send_response(request, call, responder)
        finally:
            self._cancel_call(responder)

    async def _send_response(
        self,
        request: web.Request,
        call: engine_completion.CompletionRequest,
        responder: CompletionResponder,
    ) -> web.StreamResponse:
        if not call.stream:
            if await responder.finished:
                return self._make_response(
                    responder, responder.make_full_response()
                )
            return self._make_response(responder, {"error": "cancelled"}, 500)
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": responder.run.request_id,
            }
        )
        response.enable_chunked_encoding()
        writer = await response.prepare(request)
        writer.send_headers()
        if request.transport is not None:
            responder.start_streaming(request.transport)
        if not await responder.finished and request.transport is not None:
            # A cancelled stream must be recognizable as truncated, so the
            # connection is closed without a final chunk.
            request.transport.close()
        return response

    def _cancel_call(self, responder: CompletionResponder) -> None:
        if self.model.cancel(responder.run, self._now_ms()):
            responder.record["outcome"] = "cancelled"
            responder.abort()
            self._advance_model()

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        self._advance_model()
        request_id = request.match_info["id"]
        runs = [run for run in self.model.held if run.request_id == request_id]
        for run in runs:
            self._cancel_call(run.context)
        return serving.answer({"held": bool(runs)})

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Change engine parameters, or reject all completions."""
        faults = await serving.read_json(request)
        self._advance_model()
        self._refuse_status = int(faults.pop("refuse_status", 0))
        for name, value in faults.items():
            self.model.set_parameter(name, value, self._now_ms())
        self._advance_model()
        return serving.answer(vars(self.model.parameters))
