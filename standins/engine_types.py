"""Parameters, requests and events of the engine model."""

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
    """Parameters of one engine; times in ms, sizes in bytes or tokens.

    ``token_ms`` is the decode step of a full batch; an empty batch is faster
    by the fraction ``batch_growth``.  ``slow_factor`` multiplies the duration
    of all work, to simulate a degraded engine.
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
    """Reason why an engine rejected a request; the value is the status."""

    FULL = 429
    HANDLE_EXPIRED = 410
    NOT_READY = 503
    WRONG_ROLE = 400


class RequestPhase(enum.Enum):
    """Phase of a request; the first four hold KV cache blocks."""

    QUEUED = "queued"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    DECODE = "decode"
    DONE = "done"


class EngineRequest:
    """One attempt of a request that an engine processes.

    :param request_id: id of the attempt
    :param owner: ``VM/INCARNATION`` of the VM that started it
    :param model: name of the model
    :param hashes: hashes of the prompt's blocks
    :param prompt_tokens: length of the prompt in tokens
    :param output_tokens: length of the complete response in tokens
    :param priority: scheduling priority; 0 is the highest
    :param offset: index of the first token to generate
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
        # Data of the model's user, available from the request's events.
        self.context: object = None


class EventKind(enum.Enum):
    """Kind of an event that the model reports."""

    PREFILLED = "prefilled"
    IMPORTED = "imported"
    TOKEN = "token"
    FINISHED = "finished"
    EXPIRED = "expired"


class ModelEvent:
    """Event of one request.

    :param kind: kind of the event
    :param run: request that it concerns
    :param at_ms: time in ms; may be before the call that reports the event
    :param index: index of the token, for ``TOKEN``
    """

    __slots__ = ("kind", "run", "at_ms", "index")

    def __init__(
        self, kind: EventKind, run: EngineRequest, at_ms: float, index: int = 0
    ) -> None:
        self.kind = kind
        self.run = run
        self.at_ms = at_ms
        self.index = index
