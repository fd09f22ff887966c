"""Sends the requests of a plan to routers and records the results."""

import asyncio
import json
import random
import time
import typing

import aiohttp

from mulberryway.load import outcome
from mulberryway.load import plan

__all__ = ["run_plan"]

ENTRY_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
# Delay before the next attempt after no address could be resolved; the seed
# addresses are used meanwhile.  An attempt before each call would take longer
# than the call itself.
RESOLVE_RETRY_MS = 1_000
DONE = b"data: [DONE]"
EVENT_END = b"\n\n"
# Execution status of a response to a request that may be retried.
NOT_RUN = "not_run"
CONNECTION = "connection"


def read_ms() -> float:
    """Return the monotonic time in ms, shared by all processes of a host."""
    return time.monotonic() * 1000


class AddressResolver:
    """Resolves router addresses and caches them for their TTL.

    :param addresses: the seed addresses, which are queried for the others
    :param random_: the random generator for the choice of addresses
    """

    def __init__(
        self, addresses: tuple[str, ...], random_: random.Random
    ) -> None:
        self._seeds = addresses
        self._random = random_
        self._addresses: list[str] = []
        self._expires_ms = 0.0
        self._lock = asyncio.Lock()

    async def pick(
        self, session: aiohttp.ClientSession, excluded: set[str]
    ) -> str:
        """Return a random address to connect to.

        :param session: the HTTP session for queries
        :param excluded: addresses at which this call has failed, used only if
            there are no others
        :returns: ``host:port``
        """
        async with self._lock:
            if read_ms() >= self._expires_ms:
                await self._resolve(session)
        candidates = self._addresses or [*self._seeds]
        untried = [
            address for address in candidates if address not in excluded
        ]
        return self._random.choice(untried or candidates)

    async def _resolve(self, session: aiohttp.ClientSession) -> None:
        seeds = self._random.sample([*self._seeds], len(self._seeds))
        for address in seeds:
            try:
                async with session.get(
                    f"http://{address}/v1/entry", timeout=ENTRY_TIMEOUT
                ) as reply:
                    answer = await reply.json()
                    self._addresses = [
                        row["address"] for row in answer["addresses"]
                    ]
                    self._expires_ms = read_ms() + answer["ttl_ms"]
                    return
            except (aiohttp.ClientError, TimeoutError, KeyError, ValueError):
                continue
        self._expires_ms = read_ms() + RESOLVE_RETRY_MS


class LoadGenerator:
    """Makes the calls of a plan and records their outcomes.

    :param plan_: the plan
    """

    def __init__(self, plan_: plan.LoadPlan) -> None:
        self._plan = plan_
        self._resolver = AddressResolver(
            plan_.addresses, random.Random(plan_.seed)
        )
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> list[outcome.Outcome]:
        """Make all calls at their planned times and return the outcomes."""
        timeout = aiohttp.ClientTimeout(total=self._plan.timeout_ms / 1000)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as self._session:
            began_ms = read_ms()
            tasks = [
                asyncio.create_task(self._call_at(call, began_ms))
                for call in plan.plan_calls(self._plan)
            ]
            return [await task for task in tasks]

    async def _call_at(
        self, call: plan.PlannedCall, began_ms: float
    ) -> outcome.Outcome:
        wait_ms = began_ms + call.at_ms - read_ms()
        await asyncio.sleep(max(wait_ms, 0) / 1000)
        result = outcome.Outcome(
            call.number, call.caller.account, call.caller.kind
        )
        result.began_ms = read_ms()
        result.key = f"{self._plan.seed}-{call.number}"
        excluded: set[str] = set()
        for _ in range(self._plan.repeats + 1):
            result.attempts += 1
            result.code = result.run = result.step = ""
            result.address = await self._resolver.pick(self._session, excluded)
            excluded.add(result.address)
            await self._attempt(call, result)
            if result.is_whole or not self._may_retry(call, result):
                break
        result.took_ms = read_ms() - result.began_ms
        return result

    def _may_retry(
        self, call: plan.PlannedCall, result: outcome.Outcome
    ) -> bool:
        """Return whether a retry is safe: nothing ran, or it is idempotent."""
        if result.tokens:
            return False
        return result.run == NOT_RUN or (
            result.code == CONNECTION and call.caller.once
        )

    async def _attempt(
        self, call: plan.PlannedCall, result: outcome.Outcome
    ) -> None:
        caller = call.caller
        headers = {"Authorization": f"Bearer {caller.key}"}
        if caller.once:
            headers["Idempotency-Key"] = result.key
        try:
            async with self._session.request(
                caller.method,
                f"http://{result.address}{caller.path}",
                data=_make_body(call),
                headers=headers,
            ) as reply:
                result.status = reply.status
                if reply.status >= 400:
                    _record_rejection(result, await reply.read())
                elif caller.kind == "stream":
                    await _read_stream(reply, result)
                else:
                    _record_response(result, await reply.read())
        except aiohttp.ClientConnectorError:
            result.code, result.run = CONNECTION, NOT_RUN
        except (aiohttp.ClientError, OSError, TimeoutError):
            result.code = CONNECTION


def _make_body(call: plan.PlannedCall) -> bytes | None:
    if call.caller.kind == "plain":
        return call.prompt.encode() or None
    body = {
        "model": call.caller.model,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "stream": call.caller.kind == "stream",
    }
    return json.dumps(body).encode()


def _record_rejection(result: outcome.Outcome, body: bytes) -> None:
    result.text = body.decode(errors="replace")
    try:
        result.record_error(json.loads(body)["error"])
    except (ValueError, KeyError, TypeError, AttributeError):
        result.code = f"http_{result.status}"


def _record_response(result: outcome.Outcome, body: bytes) -> None:
    result.is_whole = True
    result.first_ms = read_ms() - result.began_ms
    result.text = body.decode(errors="replace")
    if result.kind == "whole":
        answer = json.loads(body)
        result.text = answer["choices"][0]["text"]
        result.tokens = answer["usage"]["completion_tokens"]


async def _read_stream(
    reply: aiohttp.ClientResponse, result: outcome.Outcome
) -> None:
    """Record each event of a stream until it ends or fails."""
    last_ms = 0.0
    buffer = b""
    texts: list[str] = []
    try:
        async for data in reply.content.iter_any():
            now_ms = read_ms()
            *events, buffer = (buffer + data).split(EVENT_END)
            for event in events:
                _record_event(result, event, texts, now_ms, last_ms)
                last_ms = now_ms
    finally:
        result.text = "".join(texts)


def _record_event(
    result: outcome.Outcome,
    event: bytes,
    texts: list[str],
    now_ms: float,
    last_ms: float,
) -> None:
    if event.startswith(DONE):
        result.is_whole = True
        return
    value = json.loads(event.removeprefix(b"data: "))
    if "error" in value:
        result.record_error(value["error"])
        return
    if result.tokens == 0:
        result.first_ms = now_ms - result.began_ms
    else:
        result.gaps_ms.append(now_ms - last_ms)
    if "sent_ms" in value:
        result.lags_ms.append(now_ms - value["sent_ms"])
    result.in_order &= value.get("index", result.tokens) == result.tokens
    result.tokens += 1
    texts.append(value["choices"][0]["text"])


def run_plan(
    plan_: plan.LoadPlan,
) -> tuple[list[outcome.Outcome], float]:
    """Run a complete plan.

    :param plan_: the plan
    :returns: the outcomes, and the duration in ms
    """
    began_ms = read_ms()
    outcomes = asyncio.run(LoadGenerator(plan_).run())
    return outcomes, read_ms() - began_ms


def write_records(
    file: str, summary: typing.Any, outcomes: list[outcome.Outcome]
) -> None:
    """Write a summary and all outcomes to a JSON file.

    :param file: the file's name
    :param summary: the summary, as JSON values
    :param outcomes: the outcomes
    """
    with open(file, "w", encoding="utf-8") as out:
        records = [item.to_json() for item in outcomes]
        json.dump({"summary": summary, "calls": records}, out)
