"""One model engine over HTTP, as docs/design/interfaces.md says."""

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
    """Puts one :class:`engine_model.EngineModel` behind a port.

    :param address: its own ``host:port``, told to importing engines
    :param shape: its figures
    :param role: ``prefill``, ``decode`` or ``both``
    :param models: the models that are loaded
    :param seed: for the model
    :param credential: the bearer token to ask for; empty for none
    :param crash_marker: a prompt's text that ends the process
    :param stamps: whether each token's event tells when it was sent
    """

    def __init__(
        self,
        address: str,
        shape: engine_types.EngineParameters,
        role: str,
        models: tuple[str, ...],
        seed: int,
        credential: str = "",
        crash_marker: str = "",
        stamps: bool = False,
    ) -> None:
        self.address = address
        self.model = engine_model.EngineModel(shape, role, models, seed)
        self.recorder = recorder.Recorder()
        self._credential = credential
        self._crash_marker = crash_marker
        self._stamps = stamps
        self._refuse_status = 0
        self._numbers = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._handles = engine_kv_transfer.KvTransfer(self.model, self._pump)

    def make_app(self) -> web.Application:
        """Return the application to serve."""
        app = serving.make_app()
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_delete("/v1/requests/{id}", self._cancel)
        app.router.add_post("/standin/faults", self._set_faults)
        engine_status_api.EngineStatusApi(
            self.model, self.recorder, self._pump
        ).add_routes(app)
        self.recorder.add_routes(app)
        self._handles.add_routes(app)
        return app

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000

    def _pump(self) -> float:
        """Let the model catch up, tell what happened, and wait for more."""
        now_ms = self._now_ms()
        for event in self.model.advance(now_ms):
            if isinstance(event.run.context, CompletionResponder):
                self._tell(event, event.run.context)
        if self._timer is not None:
            self._timer.cancel()
        next_ms = self.model.get_next_event_ms()
        if next_ms < math.inf:
            self._timer = asyncio.get_running_loop().call_at(
                next_ms / 1000, self._pump
            )
        return now_ms

    def _tell(
        self, event: engine_types.ModelEvent, exchange: CompletionResponder
    ) -> None:
        if event.kind is EventKind.TOKEN:
            exchange.send_token(event.index)
        elif event.kind is EventKind.FINISHED:
            exchange.record["outcome"] = "finished"
            exchange.finish()
        elif event.kind is EventKind.PREFILLED:
            exchange.record["outcome"] = "prefilled"
            engine_completion.set_result(exchange.prefilled, None)
        elif event.kind is EventKind.IMPORTED:
            engine_completion.set_result(exchange.imported, None)
        elif event.kind is EventKind.EXPIRED:
            exchange.record["outcome"] = "expired"

    def _check(self, request: web.Request) -> web.Response | None:
        if self._refuse_status:
            return serving.make_error_response(self._refuse_status, "switched")
        wanted = f"Bearer {self._credential}"
        if self._credential and request.headers.get("Authorization") != wanted:
            return serving.make_error_response(401, "wrong credential")
        return None

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        self.recorder.note(request, raw)
        call = engine_completion.parse_completion_request(
            await serving.read_json(request)
        )
        refused = self._check(request)
        if refused is not None:
            return refused
        if self._crash_marker and self._crash_marker in call.prompt:
            asyncio.get_running_loop().call_later(
                CRASH_AFTER_S, os._exit, CRASH_STATUS
            )
        exchange = self._make_exchange(request, call)
        self._pump()
        if call.params.get("do_remote_decode"):
            return await self._prefill(exchange)
        if call.params.get("do_remote_prefill"):
            return await self._decode(request, call, exchange)
        return await self._run_whole(request, call, exchange)

    def _make_exchange(
        self, request: web.Request, call: engine_completion.CompletionRequest
    ) -> CompletionResponder:
        request_id = request.headers.get(
            "X-Request-Id", f"{self.address}-{next(self._numbers)}"
        )
        answer = answers.Answer(call.model, call.prompt, call.max_tokens)
        run = engine_types.EngineRequest(
            request_id,
            request.headers.get("X-Request-Owner", ""),
            call.model,
            answers.hash_blocks(
                call.model, call.prompt, self.model.shape.block_tokens
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

    def _refuse(
        self, exchange: CompletionResponder, refused: engine_types.RejectReason
    ) -> web.Response:
        exchange.record["outcome"] = "refused"
        return self._answer(
            exchange, {"error": refused.name.lower()}, refused.value
        )

    def _answer(
        self,
        exchange: CompletionResponder,
        body: dict[str, typing.Any],
        status: int = 200,
    ) -> web.Response:
        response = serving.answer(body, status)
        response.headers["X-Request-Id"] = exchange.run.request_id
        return response

    async def _prefill(self, exchange: CompletionResponder) -> web.Response:
        run = exchange.run
        refused = self.model.submit_prefill(run, self._now_ms())
        if refused is not None:
            return self._refuse(exchange, refused)
        self._pump()
        try:
            await exchange.prefilled
        finally:
            if not exchange.prefilled.done() or not run.handle:
                self._drop(exchange)
        if not run.handle:
            return self._answer(exchange, {"error": "cancelled"}, 500)
        params = {
            "remote_engine": self.address,
            "remote_address": self.address,
            "remote_handle": run.handle,
            "expires_ms": self.model.shape.handle_ms,
        }
        return self._answer(
            exchange,
            {
                "id": run.request_id,
                "kv_transfer_params": params,
                "usage": exchange.make_usage(),
            },
        )

    async def _decode(
        self,
        request: web.Request,
        call: engine_completion.CompletionRequest,
        exchange: CompletionResponder,
    ) -> web.StreamResponse:
        refused = self.model.submit_decode(exchange.run, self._now_ms())
        if refused is not None:
            return self._refuse(exchange, refused)
        try:
            if not await self._handles.claim(call.params):
                self._drop(exchange)
                return self._refuse(
                    exchange, engine_types.RejectReason.HANDLE_EXPIRED
                )
            exchange.imported.add_done_callback(
                lambda _: self._handles.release_in_background(call.params)
            )
            self._pump()
            return await self._reply(request, call, exchange)
        finally:
            self._drop(exchange)

    async def _run_whole(
        self,
        request: web.Request,
        call: engine_completion.CompletionRequest,
        exchange: CompletionResponder,
    ) -> web.StreamResponse:
        refused = self.model.submit_prefill(
            exchange.run, self._now_ms(), decodes=True
        )
        if refused is not None:
            return self._refuse(exchange, refused)
        try:
            self._pump()
            return await self._reply(request, call, exchange)
        finally:
            self._drop(exchange)

    async def _reply(
        self,
        request: web.Request,
        call: engine_completion.CompletionRequest,
        exchange: CompletionResponder,
    ) -> web.StreamResponse:
        if not call.stream:
            if await exchange.finished:
                return self._answer(exchange, exchange.make_full_response())
            return self._answer(exchange, {"error": "cancelled"}, 500)
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": exchange.run.request_id,
            }
        )
        response.enable_chunked_encoding()
        writer = await response.prepare(request)
        writer.send_headers()
        if request.transport is not None:
            exchange.attach(request.transport)
        if not await exchange.finished and request.transport is not None:
            # A cancelled stream has to look cut: no final chunk follows.
            request.transport.close()
        return response

    def _drop(self, exchange: CompletionResponder) -> None:
        if self.model.cancel(exchange.run, self._now_ms()):
            exchange.record["outcome"] = "cancelled"
            exchange.abandon()
            self._pump()

    async def _cancel(self, request: web.Request) -> web.Response:
        self._pump()
        request_id = request.match_info["id"]
        runs = [run for run in self.model.held if run.request_id == request_id]
        for run in runs:
            self._drop(run.context)
        return serving.answer({"held": bool(runs)})

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Change figures of the shape, or refuse all work."""
        faults = await serving.read_json(request)
        self._pump()
        self._refuse_status = int(faults.pop("refuse_status", 0))
        for name, value in faults.items():
            self.model.set_parameter(name, value, self._now_ms())
        self._pump()
        return serving.answer(vars(self.model.shape))
