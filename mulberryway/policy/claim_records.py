"""Records of calls that must run at most once."""

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
# A booking confirmation or a renewal is a few hundred bytes. Larger replies
# are not cached, and a retry gets the response that the call has run.
MAX_REPLY_BYTES = 4_096


class ClaimState(enum.Enum):
    """State of a call in the claim log."""

    CLAIMED = "c"
    DONE = "d"
    RELEASED = "r"


class ClaimId:
    """Id of one call, bound to the client account.

    :param digest: digest of account and key
    :param time_ms: time in the caller's key, in ms since 1970
    """

    __slots__ = ("digest", "time_ms")

    def __init__(self, digest: str, time_ms: int) -> None:
        self.digest = digest
        self.time_ms = time_ms


def parse_claim_id(account: str, key: str) -> ClaimId | None:
    """Parse a caller's key into an id; return none if it is no UUIDv7.

    :param account: the client account
    :param key: the ``Idempotency-Key``
    :returns: the id; different spellings of one UUID give the same id
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
    """Build a UUIDv7.

    :param time_ms: milliseconds since 1970
    :param number: the remaining bits; random except in tests
    """
    low = number & ((1 << 62) - 1)
    middle = (number >> 62) & 0xFFF
    value = time_ms << TIME_SHIFT | KEY_VERSION << 76 | middle << 64
    return str(uuid.UUID(int=value | 0b10 << 62 | low))


def fingerprint_call(method: str, target: str, body: bytes) -> str:
    """Return a digest of a call's method, target and body.

    :param method: the HTTP method
    :param target: path and query
    :param body: the complete body
    """
    head = f"{method}\0{target}\0".encode()
    return hashlib.sha256(head + body).hexdigest()[:DIGEST_DIGITS]


class CachedReply:
    """A service's reply, cached for retries of the call.

    :param status: the HTTP status
    :param headers: name and value pairs
    :param body: the complete body
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def fits(self) -> bool:
        """Return whether the reply is small enough to be cached."""
        size = sum(len(name) + len(value) for name, value in self.headers)
        return size + len(self.body) <= MAX_REPLY_BYTES

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
    :param time_ms: the time in the id, in ms since 1970
    :param call: see :func:`fingerprint_call`
    :param owner: name of the one attempt that may run the call
    :param state: the state of the call
    :param reply: the service's reply, if it is known and was cached
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

    def make_final_record(
        self, state: ClaimState, reply: CachedReply | None
    ) -> "Record":
        """Return the record that completes or releases this claim.

        :param state: ``DONE`` or ``RELEASED``
        :param reply: what the service replied
        """
        return Record(
            self.digest, self.time_ms, self.call, self.owner, state, reply
        )

    def encode(self) -> list[typing.Any]:
        """Return the JSON value; a list, since keys would triple its size."""
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
        """Decode a record from its JSON value.

        :param value: a value returned by :meth:`encode`
        :raises ValueError: if the value is malformed
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
