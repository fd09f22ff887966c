"""How engine stand-ins fetch one another's prefill results."""

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
    """Both ends: gives out this engine's handles, claims other engines'.

    :param model: the engine
    :param advance_model: lets the model catch up and returns the time in ms
    """

    def __init__(
        self,
        model: engine_model.EngineModel,
        advance_model: collections.abc.Callable[[], float],
    ) -> None:
        self._model = model
        self._pump = advance_model
        self._client: aiohttp.ClientSession | None = None
        # The event loop itself keeps only weak references to tasks.
        self._releases: set[asyncio.Task[bool]] = set()

    def add_routes(self, app: web.Application) -> None:
        """Serve other engines.

        :param app: the engine's application
        """
        path = "/standin/handles/{handle}"
        app.router.add_post(path, self._claim)
        app.router.add_delete(path, self._release)
        app.cleanup_ctx.append(self._open_client)

    async def claim(self, params: dict[str, typing.Any]) -> bool:
        """Pin another engine's prefill result for an import.

        :param params: the call's ``kv_transfer_params``
        :returns: false if it has expired or cannot be reached
        """
        return await self._ask("POST", params)

    def release_in_background(self, params: dict[str, typing.Any]) -> None:
        """Let another engine free a result after its import.

        :param params: the call's ``kv_transfer_params``
        """
        task = asyncio.ensure_future(self._ask("DELETE", params))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _open_client(
        self, app: web.Application
    ) -> typing.AsyncIterator[None]:
        self._client = aiohttp.ClientSession(timeout=TIMEOUT)
        yield
        await self._client.close()

    async def _ask(self, method: str, params: dict[str, typing.Any]) -> bool:
        url = (
            f"http://{params.get('remote_address')}"
            f"/standin/handles/{params.get('remote_handle')}"
        )
        try:
            async with self._client.request(method, url) as reply:
                return reply.status == OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _claim(self, request: web.Request) -> web.Response:
        run = self._model.pin_handle(
            request.match_info["handle"], self._pump()
        )
        if run is None:
            return serving.make_error_response(410, "expired")
        self._pump()
        return serving.answer({"prompt_tokens": run.prompt_tokens})

    async def _release(self, request: web.Request) -> web.Response:
        self._model.release_handle(request.match_info["handle"], self._pump())
        self._pump()
        return serving.answer({})
