"""Decode the JSON bodies of backend servers, which may be malformed."""

import json
import math
from collections.abc import Mapping

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.backends._clients import Status
from dragonflyramp.models import Snapshot

_MAX_ID_CHARACTERS = 200
_MAX_SNAPSHOTS = 64


@attrs.frozen
class SearchBody:
    """Hold the fields of a search reply that the relay checks."""

    snapshot_id: str
    documents: int


@attrs.frozen
class Malformed:
    """Name the first problem of a body."""

    problem: str


class _BadBodyError(Exception):
    """Carry the first problem out of nested checks."""


def decode_search(body: bytes) -> Result[SearchBody, Malformed]:
    """Check a search reply; its hits are checked to be a list only."""
    try:
        return Success(_search_body(_json_object(body)))
    except _BadBodyError as error:
        return Failure(Malformed(str(error)))


def decode_submit(body: bytes) -> Result[None, Malformed]:
    """Check that a submit reply is a JSON object."""
    try:
        _json_object(body)
    except _BadBodyError as error:
        return Failure(Malformed(str(error)))
    return Success(None)


def decode_status(body: bytes) -> Result[Status, Malformed]:
    """Decode a status reply."""
    try:
        return Success(_status(_json_object(body)))
    except _BadBodyError as error:
        return Failure(Malformed(str(error)))


def decode_load(text: str | None) -> float | None:
    """Decode a load; None when it is absent or malformed.

    >>> decode_load('0.5')
    0.5
    >>> decode_load('nan') is None
    True
    """
    try:
        load = float(text or 'nan')
    except ValueError:
        return None
    return load if math.isfinite(load) and load >= 0 else None


def _json_object(body: bytes) -> Mapping[str, object]:
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _BadBodyError('The body is not JSON.') from error
    if not isinstance(decoded, dict):
        raise _BadBodyError('The body is not a JSON object.')
    return decoded


def _search_body(fields: Mapping[str, object]) -> SearchBody:
    if not isinstance(fields.get('hits'), list):
        raise _BadBodyError('hits is not a list.')
    return SearchBody(_text(fields, 'snapshot'), _count(fields, 'documents'))


def _status(fields: Mapping[str, object]) -> Status:
    listed = fields.get('snapshots')
    if not isinstance(listed, list) or len(listed) > _MAX_SNAPSHOTS:
        raise _BadBodyError('snapshots is not a list of bounded length.')
    return Status(
        instance_id=_text(fields, 'instance'),
        load=decode_load(str(fields.get('load'))),
        draining=fields.get('draining') is True,
        snapshots=tuple(_snapshot(entry) for entry in listed),
    )


def _snapshot(entry: object) -> Snapshot:
    if not isinstance(entry, dict):
        raise _BadBodyError('A snapshot is not a JSON object.')
    total = entry.get('total_documents')
    return Snapshot(
        snapshot_id=_text(entry, 'id'),
        generation=_count(entry, 'generation'),
        documents=_count(entry, 'documents'),
        total_documents=(
            None if total is None else _count(entry, 'total_documents')
        ),
    )


def _text(fields: Mapping[str, object], key: str) -> str:
    text = fields.get(key)
    if isinstance(text, str) and 0 < len(text) <= _MAX_ID_CHARACTERS:
        return text
    raise _BadBodyError(f'{key} is not a string of bounded length.')


def _count(fields: Mapping[str, object], key: str) -> int:
    count = fields.get(key)
    if isinstance(count, int) and not isinstance(count, bool) and count >= 0:
        return count
    raise _BadBodyError(f'{key} is not a count.')
