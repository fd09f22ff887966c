"""Makes calls as callers do: asks for addresses, connects, reads streams."""

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
# Without an answer the named addresses are used, and it is asked again only
# after a while: asking before each call would take longer than the call.
RESOLVE_RETRY_MS = 1_000
DONE = b"data: [DONE]"
EVENT_END = b"\n\n"
# What a caller may do again: the answer says that nothing ran.
NOT_RUN = "not_run"
CONNECTION = "connection"


def read_ms() -> float:
    """Return a time in ms that all processes of the machine share."""
    return time.monotonic() * 1000


class AddressResolver:
    """The addresses to use, kept for as long as the answer allows.

    :param addresses: VMs that are asked
    :param random_: decides which is asked and which is used
    """

    def __init__(
        self, addresses: tuple[str, ...], random_: random.Random
    ) -> None:
        self._seeds = addresses
        self._random = random_
        self._known: list[str] = []
        self._until_ms = 0.0
        self._lock = asyncio.Lock()

    async def pick(
        self, session: aiohttp.ClientSession, avoid: set[str]
    ) -> str:
        """Return an address to connect to.

        :param session: for the question
        :param avoid: addresses that failed this call before
        :returns: ``host:port``
        """
        async with self._lock:
            if read_ms() >= self._until_ms:
                await self._ask(session)
        known = self._known or [*self._seeds]
        fresh = [address for address in known if address not in avoid]
        return self._random.choice(fresh or known)

    async def _ask(self, session: aiohttp.ClientSession) -> None:
        seeds = self._random.sample([*self._seeds], len(self._seeds))
        for address in seeds:
            try:
                async with session.get(
                    f"http://{address}/v1/entry", timeout=ENTRY_TIMEOUT
                ) as reply:
                    answer = await reply.json()
                    self._known = [
                        row["address"] for row in answer["addresses"]
                    ]
                    self._until_ms = read_ms() + answer["ttl_ms"]
                    return
            except (aiohttp.ClientError, TimeoutError, KeyError, ValueError):
                continue
        self._until_ms = read_ms() + RESOLVE_RETRY_MS


class LoadGenerator:
    """Makes the calls of a plan and notes what came back.

    :param plan_: the plan
    """

    def __init__(self, plan_: plan.LoadPlan) -> None:
        self._plan = plan_
        self._entry = AddressResolver(
            plan_.addresses, random.Random(plan_.seed)
        )
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> list[outcome.Outcome]:
        """Make all calls, each at its time; return what came of them."""
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
        found = outcome.Outcome(
            call.number, call.caller.account, call.caller.kind
        )
        found.began_ms = read_ms()
        found.key = f"{self._plan.seed}-{call.number}"
        avoid: set[str] = set()
        for _ in range(self._plan.repeats + 1):
            found.attempts += 1
            found.code = found.run = found.step = ""
            found.address = await self._entry.pick(self._session, avoid)
            avoid.add(found.address)
            await self._try(call, found)
            if found.is_whole or not self._may_repeat(call, found):
                break
        found.took_ms = read_ms() - found.began_ms
        return found

    def _may_repeat(
        self, call: plan.PlannedCall, found: outcome.Outcome
    ) -> bool:
        """Repeat what is safe: nothing ran, or the id keeps it single."""
        if found.tokens:
            return False
        return found.run == NOT_RUN or (
            found.code == CONNECTION and call.caller.once
        )

    async def _try(
        self, call: plan.PlannedCall, found: outcome.Outcome
    ) -> None:
        caller = call.caller
        headers = {"Authorization": f"Bearer {caller.key}"}
        if caller.once:
            headers["Idempotency-Key"] = found.key
        try:
            async with self._session.request(
                caller.method,
                f"http://{found.address}{caller.path}",
                data=_make_body(call),
                headers=headers,
            ) as reply:
                found.status = reply.status
                if reply.status >= 400:
                    _note_refusal(found, await reply.read())
                elif caller.kind == "stream":
                    await _read_stream(reply, found)
                else:
                    _note_whole(found, await reply.read())
        except aiohttp.ClientConnectorError:
            found.code, found.run = CONNECTION, NOT_RUN
        except (aiohttp.ClientError, OSError, TimeoutError):
            found.code = CONNECTION


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


def _note_refusal(found: outcome.Outcome, body: bytes) -> None:
    found.text = body.decode(errors="replace")
    try:
        found.record_error(json.loads(body)["error"])
    except (ValueError, KeyError, TypeError, AttributeError):
        found.code = f"http_{found.status}"


def _note_whole(found: outcome.Outcome, body: bytes) -> None:
    found.is_whole = True
    found.first_ms = read_ms() - found.began_ms
    found.text = body.decode(errors="replace")
    if found.kind == "whole":
        answer = json.loads(body)
        found.text = answer["choices"][0]["text"]
        found.tokens = answer["usage"]["completion_tokens"]


async def _read_stream(
    reply: aiohttp.ClientResponse, found: outcome.Outcome
) -> None:
    """Note each event as it comes, until the stream ends or breaks."""
    last_ms = 0.0
    rest = b""
    texts: list[str] = []
    try:
        async for data in reply.content.iter_any():
            now_ms = read_ms()
            *events, rest = (rest + data).split(EVENT_END)
            for event in events:
                _note_event(found, event, texts, now_ms, last_ms)
                last_ms = now_ms
    finally:
        found.text = "".join(texts)


def _note_event(
    found: outcome.Outcome,
    event: bytes,
    texts: list[str],
    now_ms: float,
    last_ms: float,
) -> None:
    if event.startswith(DONE):
        found.is_whole = True
        return
    value = json.loads(event.removeprefix(b"data: "))
    if "error" in value:
        found.record_error(value["error"])
        return
    if found.tokens == 0:
        found.first_ms = now_ms - found.began_ms
    else:
        found.gaps_ms.append(now_ms - last_ms)
    if "sent_ms" in value:
        found.lags_ms.append(now_ms - value["sent_ms"])
    found.in_order &= value.get("index", found.tokens) == found.tokens
    found.tokens += 1
    texts.append(value["choices"][0]["text"])


def run_plan(
    plan_: plan.LoadPlan,
) -> tuple[list[outcome.Outcome], float]:
    """Run a plan to its end.

    :param plan_: the plan
    :returns: what callers got, and how long it took in milliseconds
    """
    began_ms = read_ms()
    outcomes = asyncio.run(LoadGenerator(plan_).run())
    return outcomes, read_ms() - began_ms


def write_records(
    file: str, summary: typing.Any, outcomes: list[outcome.Outcome]
) -> None:
    """Write a summary and all records as JSON.

    :param file: the file's name
    :param summary: the summary
    :param outcomes: the records
    """
    with open(file, "w", encoding="utf-8") as out:
        records = [item.to_json() for item in outcomes]
        json.dump({"summary": summary, "calls": records}, out)
