"""Converts claim requests, results and records to and from Thrift."""

import json

import expression

from mulberryway.controllers import claim_queue
from mulberryway.peers.gen.claims import ttypes
from mulberryway.policy import claim_records
from mulberryway.policy import claims

__all__ = [
    "decode_record",
    "encode_record",
    "pack_result",
    "pack_request",
    "unpack_result",
    "unpack_request",
]


def encode_record(record: claim_records.Record) -> str:
    """Encode a record as JSON.

    :param record: the record
    """
    return json.dumps(record.encode(), separators=(",", ":"))


def decode_record(text: str) -> claim_records.Record:
    """Decode a record.

    :param text: the text that :func:`encode_record` returned
    :raises ValueError: if it is malformed
    """
    return claim_records.Record.decode(json.loads(text))


def pack_request(request: claims.ClaimRequest) -> ttypes.Wish:
    """Convert a claim request to its message.

    :param request: the claim request
    """
    return ttypes.Wish(
        request.id.digest, request.id.time_ms, request.call, request.owner
    )


def unpack_request(wish: ttypes.Wish) -> claims.ClaimRequest:
    """Convert a message to its claim request.

    :param wish: the message
    """
    id_ = claim_records.ClaimId(wish.digest, wish.time_ms)
    return claims.ClaimRequest(id_, wish.call, wish.owner)


def pack_result(result: claim_queue.ClaimResult) -> ttypes.Verdict:
    """Convert a claim's result to its message.

    :param result: the decision, or a fault
    """
    if result.is_error():
        return ttypes.Verdict(fault=result.error.message)
    record = result.ok.record
    return ttypes.Verdict(
        verdict=result.ok.verdict.value,
        record=encode_record(record) if record is not None else None,
    )


def unpack_result(verdict: ttypes.Verdict) -> claim_queue.ClaimResult:
    """Convert a message to a claim's result.

    :param verdict: the message
    :raises ValueError: if it is malformed
    """
    if verdict.verdict is None:
        return expression.Error(claim_queue.refuse(verdict.fault or ""))
    record = decode_record(verdict.record) if verdict.record else None
    return expression.Ok(
        claims.Decision(claims.Verdict(verdict.verdict), record)
    )
