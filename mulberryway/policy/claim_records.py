"""What is written down about a call that must run at most once."""

import base64
import enum
import hashlib
import typing
import uuid

__all__ = [
    "ClaimId",
    "ClaimState",
    "CachedReply",
    "Record",
    "fingerprint_call",
    "make_uuid7",
    "parse_claim_id",
]

KEY_VERSION = 7
TIME_SHIFT = 80
DIGEST_DIGITS = 20
# A confirmation of a booking or a renewal is a few hundred bytes; what is
# larger is not kept, and a repeat is told that the call ran.
MOST_REPLY_BYTES = 4_096


class ClaimState(enum.Enum):
    """How far a call has come."""

    CLAIMED = "c"
    DONE = "d"
    RELEASED = "r"


class ClaimId:
    """The name of one call, bound to the client account.

    :param digest: over account and key
    :param time_ms: the time that the caller put into the key
    """

    __slots__ = ("digest", "time_ms")

    def __init__(self, digest: str, time_ms: int) -> None:
        self.digest = digest
        self.time_ms = time_ms


def parse_claim_id(account: str, key: str) -> ClaimId | None:
    """Return the id that a caller's key names, or none if it is no UUIDv7.

    :param account: the client account
    :param key: the ``Idempotency-Key``
    :returns: the id; two spellings of one UUID give the same
    """
    try:
        parsed = uuid.UUID(key.strip())
    except ValueError:
        return None
    if parsed.version != KEY_VERSION:
        return None
    text = f"{account}\0{parsed.hex}"
    digest = hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]
    return ClaimId(digest, parsed.int >> TIME_SHIFT)


def make_uuid7(time_ms: int, number: int) -> str:
    """Return a UUIDv7.

    :param time_ms: milliseconds since 1970
    :param number: its other bits; random, unless a test wants them known
    """
    low = number & ((1 << 62) - 1)
    middle = (number >> 62) & 0xFFF
    value = time_ms << TIME_SHIFT | KEY_VERSION << 76 | middle << 64
    return str(uuid.UUID(int=value | 0b10 << 62 | low))


def fingerprint_call(method: str, target: str, body: bytes) -> str:
    """Return a digest of what a call asks for.

    :param method: the HTTP method
    :param target: path and query
    :param body: the whole body
    """
    head = f"{method}\0{target}\0".encode()
    return hashlib.sha256(head + body).hexdigest()[:DIGEST_DIGITS]


class CachedReply:
    """A plain service's reply as it is kept for repeats.

    :param status: the HTTP status
    :param headers: header pairs
    :param body: the whole body
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def fits(self) -> bool:
        """Tell whether it is small enough to be kept."""
        size = sum(len(name) + len(value) for name, value in self.headers)
        return size + len(self.body) <= MOST_REPLY_BYTES

    def encode(self) -> list[typing.Any]:
        """Return the JSON value."""
        body = base64.b64encode(self.body).decode()
        return [self.status, self.headers, body]


def _decode_reply(value: list[typing.Any]) -> CachedReply:
    status, headers, body = value
    pairs = [(name, text) for name, text in headers]
    return CachedReply(status, pairs, base64.b64decode(body))


class Record:
    """One entry of a shard's log.

    :param digest: the call's id, see :class:`ClaimId`
    :param time_ms: the time in the id
    :param call: see :func:`fingerprint_call`
    :param owner: names the one attempt that may run the call
    :param state: how far it has come
    :param reply: what the service replied, if it is known and was kept
    """

    __slots__ = ("digest", "time_ms", "call", "owner", "state", "reply")

    def __init__(
        self,
        digest: str,
        time_ms: int,
        call: str,
        owner: str,
        state: ClaimState,
        reply: CachedReply | None = None,
    ) -> None:
        self.digest = digest
        self.time_ms = time_ms
        self.call = call
        self.owner = owner
        self.state = state
        self.reply = reply

    def end(self, state: ClaimState, reply: CachedReply | None) -> "Record":
        """Return the record that follows this claim.

        :param state: ``DONE`` or ``RELEASED``
        :param reply: what the service replied
        """
        return Record(
            self.digest, self.time_ms, self.call, self.owner, state, reply
        )

    def encode(self) -> list[typing.Any]:
        """Return the JSON value; a list, since names would triple it."""
        return [
            self.digest,
            self.time_ms,
            self.call,
            self.owner,
            self.state.value,
            self.reply.encode() if self.reply else None,
        ]

    @classmethod
    def decode(cls, value: list[typing.Any]) -> "Record":
        """Return the record that a JSON value holds.

        :param value: what :meth:`encode` returned
        :raises ValueError: if it is malformed
        """
        digest, time_ms, call, owner, state, reply = value
        return cls(
            digest,
            time_ms,
            call,
            owner,
            ClaimState(state),
            _decode_reply(reply) if reply else None,
        )
