"""Transfer of prefill results between engine stand-ins."""

import asyncio
import collections.abc
import typing

import aiohttp
from aiohttp import web

from standins import engine_model
from standins import serving

__all__ = ["KvTransfer"]

TIMEOUT = aiohttp.ClientTimeout(total=2.0)
OK = 200


class KvTransfer:
    """Serves this engine's handles and claims those of other engines.

    :param model: engine model
    :param advance_model: advances the model to the current time and returns
        that time in ms
    """

    def __init__(
        self,
        model: engine_model.EngineModel,
        advance_model: collections.abc.Callable[[], float],
    ) -> None:
        self._model = model
        self._advance_model = advance_model
        self._client: aiohttp.ClientSession | None = None
        # Strong references; the event loop keeps only weak ones to tasks.
        self._releases: set[asyncio.Task[bool]] = set()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes that other engines call.

        :param app: application of the engine
        """
        path = "/standin/handles/{handle}"
        app.router.add_post(path, self._claim)
        app.router.add_delete(path, self._release)
        app.cleanup_ctx.append(self._open_client)

    async def pin(self, params: dict[str, typing.Any]) -> bool:
        """Pin another engine's prefill result for an import.

        :param params: ``kv_transfer_params`` of the request
        :returns: false if the result has expired or its engine is unreachable
        """
        return await self._request_handle("POST", params)

    def release_in_background(self, params: dict[str, typing.Any]) -> None:
        """Release another engine's result after its import.

        :param params: ``kv_transfer_params`` of the request
        """
        task = asyncio.ensure_future(self._request_handle("DELETE", params))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _open_client(
        self, app: web.Application
    ) -> typing.AsyncIterator[None]:
        self._client = aiohttp.ClientSession(timeout=TIMEOUT)
        yield
        await self._client.close()

    async def _request_handle(
        self, method: str, params: dict[str, typing.Any]
    ) -> bool:
        url = (
            f"http://{params.get('remote_address')}"
            f"/standin/handles/{params.get('remote_handle')}"
        )
        try:
            async with self._client.request(method, url) as response:
                return response.status == OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _claim(self, request: web.Request) -> web.Response:
        run = self._model.pin_handle(
            request.match_info["handle"], self._advance_model()
        )
        if run is None:
            return serving.make_error_response(410, "expired")
        self._advance_model()
        return serving.answer({"prompt_tokens": run.prompt_tokens})

    async def _release(self, request: web.Request) -> web.Response:
        self._model.release_handle(
            request.match_info["handle"], self._advance_model()
        )
        self._advance_model()
        return serving.answer({})
