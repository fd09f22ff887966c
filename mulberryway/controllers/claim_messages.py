"""Wishes, verdicts and records between their own classes and Thrift."""

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
    """Return a record as text.

    :param record: the record
    """
    return json.dumps(record.encode(), separators=(",", ":"))


def decode_record(text: str) -> claim_records.Record:
    """Return the record in a text.

    :param text: what :func:`encode_record` returned
    :raises ValueError: if it is malformed
    """
    return claim_records.Record.decode(json.loads(text))


def pack_request(request: claims.ClaimRequest) -> ttypes.Wish:
    """Return an attempt's wish as a message.

    :param request: the wish
    """
    return ttypes.Wish(
        request.id.digest, request.id.time_ms, request.call, request.owner
    )


def unpack_request(wish: ttypes.Wish) -> claims.ClaimRequest:
    """Return the wish in a message.

    :param wish: the message
    """
    id_ = claim_records.ClaimId(wish.digest, wish.time_ms)
    return claims.ClaimRequest(id_, wish.call, wish.owner)


def pack_result(result: claim_queue.ClaimResult) -> ttypes.Verdict:
    """Return what became of a wish as a message.

    :param result: the verdict, or a fault
    """
    if result.is_error():
        return ttypes.Verdict(fault=result.error.message)
    record = result.ok.record
    return ttypes.Verdict(
        verdict=result.ok.verdict.value,
        record=encode_record(record) if record is not None else None,
    )


def unpack_result(verdict: ttypes.Verdict) -> claim_queue.ClaimResult:
    """Return what a message says became of a wish.

    :param verdict: the message
    :raises ValueError: if it is malformed
    """
    if verdict.verdict is None:
        return expression.Error(claim_queue.refuse(verdict.fault or ""))
    record = decode_record(verdict.record) if verdict.record else None
    return expression.Ok(
        claims.Decision(claims.Verdict(verdict.verdict), record)
    )
