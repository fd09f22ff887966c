"""Decides whether a connection to an upstream may carry another request.

An upstream may answer a request twice, the second time late.  The copy is then
read as the response to the next request on the same connection.  The id that
it echoes tells the two apart, if each request on the connection has an id of
its own.
"""

__all__ = ["ConnectionHistory", "ReusePolicy"]

# Bounds the memory for the ids of one connection.
MAX_REQUESTS = 1_000
# How long connections to an upstream are not reused after it has sent bytes
# that no request has asked for.
NO_REUSE_MS = 10_000


class ConnectionHistory:
    """The requests that one connection has carried."""

    __slots__ = ("_ids", "_is_settled")

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._is_settled = True

    def may_carry(self, request_id: str | None) -> bool:
        """Return whether the next request's response can be identified.

        :param request_id: the id that the response echoes; none if it echoes
            no id
        """
        return (
            self._is_settled
            and request_id is not None
            and request_id not in self._ids
            and len(self._ids) < MAX_REQUESTS
        )

    def begin(self, request_id: str | None) -> None:
        """Record a request that is sent now.

        :param request_id: see :meth:`may_carry`
        """
        self._is_settled = False
        if request_id is not None:
            self._ids.add(request_id)

    def settle(self) -> None:
        """Record that the request's own response is complete."""
        self._is_settled = True


class ReusePolicy:
    """Whether connections to one upstream are reused at all."""

    __slots__ = ("_until_ms",)

    def __init__(self) -> None:
        self._until_ms: int | None = None

    def record_unsolicited(self, now_ms: int) -> bool:
        """Record bytes that no request has asked for.

        :param now_ms: the current time in ms
        :returns: whether connections were reused until now
        """
        may_reuse = self.may_reuse(now_ms)
        self._until_ms = now_ms + NO_REUSE_MS
        return may_reuse

    def may_reuse(self, now_ms: int) -> bool:
        """Return whether a connection may carry more than one request.

        :param now_ms: the current time in ms
        """
        return self._until_ms is None or now_ms >= self._until_ms
