"""One completion call to the engine stand-in, and its token events."""

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

DEFAULT_TOKENS = 16
DONE = b"data: [DONE]\n\n"
# A caller that reads nothing must not make the stand-in's memory grow.
MOST_UNSENT_BYTES = 4 << 20


class CompletionRequest:
    """A completion call's body, read.

    :param body: the JSON object
    """

    __slots__ = ("model", "prompt", "max_tokens", "stream", "offset", "params")

    def __init__(self, body: dict[str, typing.Any]) -> None:
        self.model = str(body.get("model", ""))
        prompt = body.get("prompt", "")
        self.prompt = prompt if isinstance(prompt, str) else json.dumps(prompt)
        self.max_tokens = int(body.get("max_tokens", DEFAULT_TOKENS))
        self.stream = bool(body.get("stream", False))
        self.offset = int(body.get("resume_offset", 0))
        self.params = body.get("kv_transfer_params") or {}


def parse_completion_request(body: dict[str, typing.Any]) -> CompletionRequest:
    """Return the call.

    :param body: the JSON object
    :returns: the call
    :raises web.HTTPBadRequest: if a value is of the wrong type
    """
    try:
        return CompletionRequest(body)
    except (TypeError, ValueError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


class CompletionResponder:
    """Sends a run's tokens as they come.

    Events go to the transport directly: a task switch and an awaited write
    for each token of each stream would cost several times the processor
    time, and the stand-in shares its machine with what is measured.

    :param call: the call
    :param run: the run
    :param record: the run's record for checkers
    :param stamps: whether each event tells when it was sent
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
        "_head",
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
        self._head = f'data: {{"id": {json.dumps(run.request_id)}, "index": '
        self._texts: list[str] = []
        self._unsent: list[bytes] = []

    def send_token(self, index: int) -> None:
        """Send or keep one token.

        :param index: the token's place
        """
        self.record["tokens"] += 1
        text = self.answer.get_token_text(index)
        if not self._call.stream:
            self._texts.append(text)
            return
        end = "}]}\n\n"
        if index + 1 >= self.answer.length:
            end = (
                f', "finish_reason": "{self.answer.finish_reason()}"}}], '
                f'"usage": {json.dumps(self.make_usage())}}}\n\n'
            )
        choice = f'{{"index": 0, "text": "{text}"{end}'
        stamp = ""
        if self.stamps:
            stamp = f'"sent_ms": {time.monotonic() * 1000:.3f}, '
        event = f'{self._head}{index}, {stamp}"choices": [{choice}'
        self._write(event.encode())

    def finish(self) -> None:
        """Send the closing event."""
        if self._call.stream:
            self._write(DONE)
        set_result(self.finished, True)

    def abandon(self) -> None:
        """End the call because the engine dropped its run."""
        set_result(self.prefilled, None)
        set_result(self.imported, None)
        set_result(self.finished, False)

    def make_usage(self) -> dict[str, int]:
        """Return the usage part of a reply."""
        return {
            "prompt_tokens": self.run.prompt_tokens,
            "completion_tokens": self.answer.length,
            "cached_tokens": self.run.cached_tokens,
        }

    def make_full_response(self) -> dict[str, typing.Any]:
        """Return the reply to a call that does not stream."""
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

    def attach(self, transport: asyncio.Transport) -> None:
        """Send from now on, beginning with what came before the head.

        A busy engine may make the first token while the reply's head is
        still being written; left out, the caller would miss it.

        :param transport: where the reply's head went to
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
        if self.transport.get_write_buffer_size() > MOST_UNSENT_BYTES:
            self.transport.abort()
            return
        self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))


def set_result(future: asyncio.Future[typing.Any], value: typing.Any) -> None:
    """Set a future's result unless it has one.

    :param future: the future
    :param value: the result
    """
    if not future.done():
        future.set_result(value)
