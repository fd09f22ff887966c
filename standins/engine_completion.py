"""Completion requests to the engine stand-in and their token events."""

import asyncio
import json
import time
import typing

from aiohttp import web

from standins import answers
from standins import engine_types

__all__ = [
    "CompletionRequest",
    "CompletionResponder",
    "parse_completion_request",
]

DEFAULT_MAX_TOKENS = 16
DONE = b"data: [DONE]\n\n"
# Limits the memory that a caller which does not read its stream can use.
MAX_UNSENT_BYTES = 4 << 20


class CompletionRequest:
    """Parsed body of a completion request.

    :param body: JSON object
    """

    __slots__ = ("model", "prompt", "max_tokens", "stream", "offset", "params")

    def __init__(self, body: dict[str, typing.Any]) -> None:
        self.model = str(body.get("model", ""))
        prompt = body.get("prompt", "")
        self.prompt = prompt if isinstance(prompt, str) else json.dumps(prompt)
        self.max_tokens = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
        self.stream = bool(body.get("stream", False))
        self.offset = int(body.get("resume_offset", 0))
        self.params = body.get("kv_transfer_params") or {}


def parse_completion_request(body: dict[str, typing.Any]) -> CompletionRequest:
    """Parse the body of a completion request.

    :param body: JSON object
    :returns: parsed request
    :raises web.HTTPBadRequest: if a value has the wrong type
    """
    try:
        return CompletionRequest(body)
    except (TypeError, ValueError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


class CompletionResponder:
    """Sends the tokens of one engine request as the model generates them.

    Events are written to the transport directly.  A task switch and an
    awaited write for each token of each stream would cost several times the
    processor time, and the stand-in shares its machine with the system that
    is measured.

    :param call: parsed request
    :param run: request on the engine model
    :param record: record of the request for the test harness
    :param stamps: whether each event contains its send time
    """

    __slots__ = (
        "answer",
        "run",
        "prefilled",
        "finished",
        "transport",
        "record",
        "imported",
        "stamps",
        "_call",
        "_event_prefix",
        "_texts",
        "_unsent",
    )

    def __init__(
        self,
        call: CompletionRequest,
        run: engine_types.EngineRequest,
        record: dict[str, typing.Any],
        stamps: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.answer = answers.Answer(call.model, call.prompt, call.max_tokens)
        self.run = run
        self.record = record
        self.stamps = stamps
        self.prefilled: asyncio.Future[None] = loop.create_future()
        self.imported: asyncio.Future[None] = loop.create_future()
        self.finished: asyncio.Future[bool] = loop.create_future()
        self.transport: asyncio.Transport | None = None
        self._call = call
        self._event_prefix = (
            f'data: {{"id": {json.dumps(run.request_id)}, "index": '
        )
        self._texts: list[str] = []
        self._unsent: list[bytes] = []

    def send_token(self, index: int) -> None:
        """Send one token, or collect it if the call does not stream.

        :param index: index of the token
        """
        self.record["tokens"] += 1
        text = self.answer.get_token_text(index)
        if not self._call.stream:
            self._texts.append(text)
            return
        suffix = "}]}\n\n"
        if index + 1 >= self.answer.length:
            suffix = (
                f', "finish_reason": "{self.answer.finish_reason()}"}}], '
                f'"usage": {json.dumps(self.make_usage())}}}\n\n'
            )
        choice = f'{{"index": 0, "text": "{text}"{suffix}'
        stamp = ""
        if self.stamps:
            stamp = f'"sent_ms": {time.monotonic() * 1000:.3f}, '
        event = f'{self._event_prefix}{index}, {stamp}"choices": [{choice}'
        self._write(event.encode())

    def finish(self) -> None:
        """Complete the call and send the final event of a stream."""
        if self._call.stream:
            self._write(DONE)
        set_result(self.finished, True)

    def abort(self) -> None:
        """End the call because the engine cancelled its request."""
        set_result(self.prefilled, None)
        set_result(self.imported, None)
        set_result(self.finished, False)

    def make_usage(self) -> dict[str, int]:
        """Return the ``usage`` object of a response."""
        return {
            "prompt_tokens": self.run.prompt_tokens,
            "completion_tokens": self.answer.length,
            "cached_tokens": self.run.cached_tokens,
        }

    def make_full_response(self) -> dict[str, typing.Any]:
        """Return the response to a call that does not stream."""
        choice = {
            "index": 0,
            "text": "".join(self._texts),
            "finish_reason": self.answer.finish_reason(),
        }
        return {
            "id": self.run.request_id,
            "model": self._call.model,
            "choices": [choice],
            "usage": self.make_usage(),
        }

    def start_streaming(self, transport: asyncio.Transport) -> None:
        """Set the transport and send the events that were buffered for it.

        A busy engine may generate the first token while the response headers
        are still being written.  Without the buffer the caller would miss it.

        :param transport: transport that the headers were written to
        """
        self.transport = transport
        unsent, self._unsent = self._unsent, []
        for event in unsent:
            self._write(event)

    def _write(self, event: bytes) -> None:
        if self.transport is None:
            self._unsent.append(event)
            return
        if self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.transport.abort()
            return
        self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))


def set_result(future: asyncio.Future[typing.Any], value: typing.Any) -> None:
    """Set a future's result unless it is done.

    :param future: future to complete
    :param value: result
    """
    if not future.done():
        future.set_result(value)
