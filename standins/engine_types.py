"""What a model engine is like, and what one run on it is."""

import enum

__all__ = [
    "EventKind",
    "ModelEvent",
    "RequestPhase",
    "RejectReason",
    "EngineRequest",
    "EngineParameters",
]


class EngineParameters:
    """The figures of one engine; times in ms, sizes in bytes or tokens.

    ``token_ms`` holds for a full batch; an empty one is faster by the share
    ``batch_growth``.  ``slow_factor`` stretches all work of a sick engine.
    """

    def __init__(self) -> None:
        self.slots = 20
        self.token_ms = 37.0
        self.batch_growth = 0.1
        self.prefill_base_ms = 2.0
        self.prefill_token_ms = 0.08
        self.most_prefills = 64
        self.block_tokens = 1_024
        self.total_blocks = 400
        self.cache_blocks = 400
        self.cache_lag_ms = 500.0
        self.cache_gap_share = 0.01
        self.load_lag_ms = 500.0
        self.handle_ms = 800.0
        self.link_bytes_per_s = 25_000_000_000
        self.kv_bytes_per_token = 131_072
        self.load_model_ms = 3_000.0
        self.checks_fencing = True
        self.slow_factor = 1.0


class RejectReason(enum.Enum):
    """Why an engine did not take a run; the value is the HTTP status."""

    FULL = 429
    HANDLE_EXPIRED = 410
    NOT_READY = 503
    WRONG_ROLE = 400


class RequestPhase(enum.Enum):
    """Where a run stands; the four first hold memory."""

    QUEUED = "queued"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    DECODE = "decode"
    DONE = "done"


class EngineRequest:
    """One attempt that an engine works on.

    :param request_id: the attempt's name
    :param owner: ``VM/INCARNATION`` of whoever started it
    :param model: the model's name
    :param hashes: hashes of the prompt's blocks
    :param prompt_tokens: the prompt's length
    :param output_tokens: the whole answer's length
    :param priority: 0 goes first
    :param offset: the first token to generate
    """

    __slots__ = (
        "request_id",
        "owner",
        "model",
        "hashes",
        "prompt_tokens",
        "output_tokens",
        "priority",
        "generated",
        "cached_tokens",
        "phase",
        "blocks",
        "decodes",
        "handle",
        "remaining_bytes",
        "due_ms",
        "context",
    )

    def __init__(
        self,
        request_id: str,
        owner: str,
        model: str,
        hashes: tuple[str, ...],
        prompt_tokens: int,
        output_tokens: int,
        priority: int = 0,
        offset: int = 0,
    ) -> None:
        self.request_id = request_id
        self.owner = owner
        self.model = model
        self.hashes = hashes
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.generated = offset
        self.cached_tokens = 0
        self.phase = RequestPhase.QUEUED
        self.blocks = 0
        self.decodes = False
        self.handle = ""
        self.remaining_bytes = 0.0
        self.due_ms = 0.0
        # Whatever the model's user wants to find again with an event.
        self.context: object = None


class EventKind(enum.Enum):
    """What the model reports to its user."""

    PREFILLED = "prefilled"
    IMPORTED = "imported"
    TOKEN = "token"
    FINISHED = "finished"
    EXPIRED = "expired"


class ModelEvent:
    """Something that happened to a run.

    :param kind: what happened
    :param run: to which run
    :param at_ms: when, which may be before the call that reports it
    :param index: the token's place, for ``TOKEN``
    """

    __slots__ = ("kind", "run", "at_ms", "index")

    def __init__(
        self, kind: EventKind, run: EngineRequest, at_ms: float, index: int = 0
    ) -> None:
        self.kind = kind
        self.run = run
        self.at_ms = at_ms
        self.index = index
