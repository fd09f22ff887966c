"""What an engine stand-in tells about itself, and orders to it."""

import collections.abc

from aiohttp import web

from standins import engine_model
from standins import recorder
from standins import serving

__all__ = ["EngineStatusApi"]


class EngineStatusApi:
    """The calls around the completions.

    :param model: the engine
    :param recorder_: keeps orders
    :param pump: lets the model catch up and returns the time in ms
    """

    def __init__(
        self,
        model: engine_model.EngineModel,
        recorder_: recorder.Recorder,
        pump: collections.abc.Callable[[], float],
    ) -> None:
        self._model = model
        self._recorder = recorder_
        self._pump = pump

    def add_routes(self, app: web.Application) -> None:
        """Serve the calls.

        :param app: the engine's application
        """
        app.router.add_get("/v1/requests", self._list_held)
        app.router.add_get("/v1/load", self._report_load)
        app.router.add_get("/v1/cache_events", self._read_cache_events)
        app.router.add_post("/v1/orders", self._take_order)

    async def _list_held(self, request: web.Request) -> web.Response:
        self._pump()
        held = [
            {
                "id": run.request_id,
                "owner": run.owner,
                "phase": run.phase.value,
                "blocks": run.blocks,
            }
            for run in self._model.held
        ]
        return serving.answer({"requests": held})

    async def _report_load(self, request: web.Request) -> web.Response:
        now_ms = self._pump()
        load = self._model.report_load(now_ms)
        return serving.answer(
            {
                "running": load.running,
                "waiting": load.waiting,
                "slots": self._model.shape.slots,
                "free_blocks": load.free_blocks,
                "total_blocks": self._model.shape.total_blocks,
                "models": self._model.models,
            }
        )

    async def _read_cache_events(self, request: web.Request) -> web.Response:
        now_ms = self._pump()
        after = int(request.query.get("after", "0"))
        records = self._model.cache.read_events(after, now_ms)
        events = [
            {
                "sequence": record.sequence,
                "stored": record.stored,
                "removed": record.removed,
            }
            for record in records
        ]
        return serving.answer({"events": events})

    async def _take_order(self, request: web.Request) -> web.Response:
        self._recorder.note(request, await request.read())
        order = await serving.read_json(request)
        now_ms = self._pump()
        taken = self._model.give_order(
            order["verb"],
            order["argument"],
            int(order["fencing"]),
            now_ms,
        )
        if not taken:
            return serving.make_error_response(409, "an old fencing number")
        self._pump()
        return serving.answer({})
