"""Status and order API of the engine stand-in."""

import collections.abc

from aiohttp import web

from standins import engine_model
from standins import recorder
from standins import serving

__all__ = ["EngineStatusApi"]


class EngineStatusApi:
    """Handlers for status queries and orders.

    :param model: engine model
    :param recorder_: recorder of the received orders
    :param advance_model: advances the model to the current time and returns
        that time in ms
    """

    def __init__(
        self,
        model: engine_model.EngineModel,
        recorder_: recorder.Recorder,
        advance_model: collections.abc.Callable[[], float],
    ) -> None:
        self._model = model
        self._recorder = recorder_
        self._advance_model = advance_model

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application.

        :param app: application of the engine
        """
        app.router.add_get("/v1/requests", self._list_requests)
        app.router.add_get("/v1/load", self._report_load)
        app.router.add_get("/v1/cache_events", self._read_cache_events)
        app.router.add_post("/v1/orders", self._apply_order)

    async def _list_requests(self, request: web.Request) -> web.Response:
        self._advance_model()
        requests = [
            {
                "id": engine_request.request_id,
                "owner": engine_request.owner,
                "phase": engine_request.phase.value,
                "blocks": engine_request.blocks,
            }
            for engine_request in self._model.held
        ]
        return serving.answer({"requests": requests})

    async def _report_load(self, request: web.Request) -> web.Response:
        now_ms = self._advance_model()
        load = self._model.get_delayed_load(now_ms)
        return serving.answer(
            {
                "running": load.running,
                "waiting": load.waiting,
                "slots": self._model.parameters.slots,
                "free_blocks": load.free_blocks,
                "total_blocks": self._model.parameters.total_blocks,
                "models": self._model.models,
            }
        )

    async def _read_cache_events(self, request: web.Request) -> web.Response:
        now_ms = self._advance_model()
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

    async def _apply_order(self, request: web.Request) -> web.Response:
        self._recorder.note(request, await request.read())
        order = await serving.read_json(request)
        now_ms = self._advance_model()
        is_accepted = self._model.apply_order(
            order["verb"],
            order["argument"],
            int(order["fencing"]),
            now_ms,
        )
        if not is_accepted:
            return serving.make_error_response(
                409, "the fencing number is outdated"
            )
        self._advance_model()
        return serving.answer({})
