"""Read the hits of a backend server's reply and merge those of all."""

import itertools
import math
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from dragonflyramp.callers._json_values import decode_json
from dragonflyramp.callers._requests import Hit
from dragonflyramp.results import ResultCode


def parse_hits(
    body: bytes, snapshot_id: str
) -> Result[tuple[Hit, ...], ResultCode]:
    """Read the hits of a reply; fail with bad_reply.

    A reply that names another snapshot than the pinned one is malformed. A
    hit without a score sorts as one with score 0.
    """
    try:
        return Success(_read_hits(body, snapshot_id))
    except ValueError:
        return Failure(ResultCode.bad_reply)


def merge_hits(parts: Iterable[tuple[Hit, ...]]) -> tuple[Hit, ...]:
    """Merge hits by falling score; equal scores keep the order of parts."""
    hits = itertools.chain.from_iterable(parts)
    return tuple(sorted(hits, key=lambda hit: -hit.score))


def _read_hits(body: bytes, snapshot_id: str) -> tuple[Hit, ...]:
    reply = decode_json(body)
    if not isinstance(reply, dict):
        raise ValueError('the reply is not a JSON object')
    if reply.get('snapshot', snapshot_id) != snapshot_id:
        raise ValueError('the reply names another snapshot')
    hits = reply.get('hits')
    if not isinstance(hits, list):
        raise ValueError('the reply has no list of hits')
    return tuple(_read_hit(entry) for entry in hits)


def _read_hit(entry: object) -> Hit:
    if not isinstance(entry, dict):
        raise ValueError('a hit is not a JSON object')
    score = entry.get('score', 0)
    if isinstance(score, bool) or not isinstance(score, (int, float)):
        raise ValueError('the score of a hit is not a number')
    # 1e999 is valid JSON and reads as infinity.
    if not math.isfinite(score):
        raise ValueError('the score of a hit is not finite')
    return Hit(score, entry)
