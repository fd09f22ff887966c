"""Decides whether and how an attempt may send its decode."""

import abc

from mulberryway import errors
from mulberryway.filters import attempt as attempts
from mulberryway.relay import pump
from mulberryway.relay import stream as streams

__all__ = ["DecodeGate", "OpenGate", "ReplacementGate"]

# Users allow a request to run at two engines for 400 ms; closing the stalled
# engine's connection takes part of that.
MAX_OVERLAP_MS = 300


class DecodeGate(abc.ABC):
    """Guards the decodes of one search for an engine."""

    __slots__ = ()

    def accepts(self, engine: str) -> bool:
        """Return whether an engine may decode the request.

        :param engine: the engine's name
        """
        return True

    def is_needed(self) -> bool:
        """Return whether the search still has a purpose."""
        return True

    @abc.abstractmethod
    def enter(self) -> bool:
        """Return whether a decode may be sent now."""

    def compute_timeout_ms(
        self, attempt: attempts.Attempt, reads_prompt: bool
    ) -> int | None:
        """Return the longest wait for the engine's response, in ms.

        :param attempt: the attempt
        :param reads_prompt: whether the decode engine prefills the prompt
        :returns: the limit; None if there is none beside the request's own
        """
        return None

    def needs_events(self) -> bool:
        """Return whether an accepted decode counts only once it has begun."""
        return False

    def leave(self) -> None:
        """Handle a decode that was not accepted."""
        return


class OpenGate(DecodeGate):
    """Lets every decode pass."""

    __slots__ = ()

    def enter(self) -> bool:
        """Return true."""
        return True


class ReplacementGate(DecodeGate):
    """Guards the decodes that may replace a stalled engine.

    The stalled engine may be the only one that can complete the answer, so
    its connection stays open until another engine has accepted the decode and
    sent its first event, or the limit for both has passed.  It is not read in
    the meantime: if both continued the stream, the request would run at two
    engines for longer than users allow.

    :param relay: forwards the stream
    :param stream: the stream
    :param offset: the stream's position when the search began
    :param stalled: the name of the stalled engine
    :param fault: the stalled engine's fault
    """

    __slots__ = ("stream", "offset", "fault", "_relay", "_stalled")

    def __init__(
        self,
        relay: pump.Relay,
        stream: streams.Stream,
        offset: int,
        stalled: str,
        fault: errors.Fault,
    ) -> None:
        self.stream = stream
        self.offset = offset
        self.fault = fault
        self._relay = relay
        self._stalled = stalled

    def accepts(self, engine: str) -> bool:
        """Return whether this is another engine than the stalled one.

        :param engine: the engine's name
        """
        return engine != self._stalled

    def is_needed(self) -> bool:
        """Return whether the stream still waits at the same position."""
        return self.stream.expected == self.offset and not (
            self.stream.is_closed or self.stream.is_complete
        )

    def enter(self) -> bool:
        """Stop reading the stalled engine unless it has continued."""
        return self._relay.try_hold_source(self.stream, self.offset)

    def compute_timeout_ms(
        self, attempt: attempts.Attempt, reads_prompt: bool
    ) -> int | None:
        """Return the longest wait for the other engine's response, in ms.

        An engine that prefills the prompt starts to run only afterwards.

        :param attempt: the attempt
        :param reads_prompt: whether the decode engine prefills the prompt
        :returns: the limit; None if the stalled engine's response has ended
        """
        if self.stream.source is None:
            return None
        return MAX_OVERLAP_MS + (attempt.ready_in_ms if reads_prompt else 0)

    def needs_events(self) -> bool:
        """Return whether the stalled engine is still there to go back to."""
        return self.stream.source is not None

    def leave(self) -> None:
        """Read the stalled engine again."""
        self._relay.release_source(self.stream)
