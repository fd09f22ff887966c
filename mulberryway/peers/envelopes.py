"""Encodes envelopes as payloads of datagrams and decodes them."""

from mulberryway.peers import codec
from mulberryway.peers.gen.notes import ttypes
from mulberryway.policy import dissemination

__all__ = ["decode_envelope", "encode_envelope"]


def encode_envelope(envelope: dissemination.Envelope) -> bytes:
    """Return the payload of an envelope.

    :param envelope: the envelope
    """
    message = ttypes.Envelope(
        envelope.items,
        envelope.relay_number or None,
        envelope.acknowledged or None,
        envelope.is_deferrable or None,
    )
    return codec.write(message)


def decode_envelope(payload: bytes) -> dissemination.Envelope:
    """Return the envelope of a payload.

    :param payload: the payload
    """
    message = codec.read(ttypes.Envelope(), payload)
    return dissemination.Envelope(
        message.items,
        message.relay_number or 0,
        message.acknowledged or 0,
        bool(message.is_deferrable),
    )
