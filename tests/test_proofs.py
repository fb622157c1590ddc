"""Test that a success cannot be made without its proof."""

from typing import Any

import attrs
import pytest

from dragonflyramp.backends import ProvenSuccess, UnprovenSuccessError
from dragonflyramp.callers import (
    MergedAnswer,
    RelayedAnswer,
    RelayedFailure,
    RouteVersion,
)
from dragonflyramp.messages import Reply
from dragonflyramp.platform._answers_http import FailureResponse, encode_answer
from dragonflyramp.routes import GatherSettings
from tests.front_harnesses import (
    make_proof,
    make_relayed,
    make_request,
    make_route,
)

_REQUEST = make_request()
_REPLY = Reply(
    status=200,
    headers=(('Server-Stamp', 's'), ('Request-Id', 'q1')),
    body=b'x',
    stamp='s',
    request_id='q1',
)
_GATHER = GatherSettings(shards=('a', 'b', 'c'), top_count=1, min_share=0.6)
_SEARCH = RouteVersion(route=make_route(gather=_GATHER), version=1)
_PLAIN = RouteVersion(route=make_route(), version=1)


def _make_part(service: str, stamp: str, **changes: Any) -> ProvenSuccess:
    reply = attrs.evolve(_REPLY, stamp=stamp, **changes)
    return make_proof(reply, _REQUEST, service)


@pytest.mark.parametrize(
    'changes',
    [
        {'stamp': ''},
        {'status': 500},
        {'status': 304},
        {'request_id': 'q2'},
        {'is_not_run': True},
        {'has_content_coding': True},
        {'has_transfer_coding': True},
    ],
    ids=str,
)
def test_reply_without_proof_is_no_success(changes: dict[str, Any]) -> None:
    """No code may hand on a reply as a success that is none."""
    with pytest.raises(UnprovenSuccessError):
        make_proof(attrs.evolve(_REPLY, **changes), _REQUEST)


def test_success_is_no_failure() -> None:
    """A success must not leave the front as a failure, without its proof."""
    with pytest.raises(UnprovenSuccessError):
        RelayedFailure(reply=_REPLY)
    for status in (200, 204, 299):
        with pytest.raises(UnprovenSuccessError):
            FailureResponse(status)


@pytest.mark.parametrize(
    ('routed', 'service'), [(_SEARCH, 'a'), (_PLAIN, 'b')], ids=str
)
def test_relayed_success_is_of_its_route(
    routed: RouteVersion, service: str
) -> None:
    """A search must not be answered by one reply, nor a route by another."""
    with pytest.raises(UnprovenSuccessError):
        RelayedAnswer(
            success=make_proof(_REPLY, _REQUEST, service), routed=routed
        )


@pytest.mark.parametrize(
    ('routed', 'parts'),
    [
        (_PLAIN, (_make_part('a', 's'),)),
        (_SEARCH, ()),
        (_SEARCH, (_make_part('a', 's'),)),
        (_SEARCH, (_make_part('a', 's'), _make_part('a', 't'))),
        (_SEARCH, (_make_part('a', 's'), _make_part('b', 's'))),
        (_SEARCH, (_make_part('a', 's'), _make_part('d', 't'))),
        (
            _SEARCH,
            (_make_part('a', 's'), make_proof(_REPLY, make_request(), 'b')),
        ),
    ],
    ids=(
        'plain',
        'none',
        'few',
        'shard_twice',
        'stamp_twice',
        'other_shard',
        'other_request',
    ),
)
def test_merged_success_is_of_its_route(
    routed: RouteVersion, parts: tuple[ProvenSuccess, ...]
) -> None:
    """A merged answer must consist of parts for its request and route."""
    with pytest.raises(UnprovenSuccessError):
        MergedAnswer(parts=parts, routed=routed, body=b'')


def test_part_in_content_coding_is_not_merged() -> None:
    """A search must not read records from a body that is compressed."""
    request = attrs.evolve(_REQUEST, accepts_content_coding=True)
    reply = attrs.evolve(_REPLY, has_content_coding=True)
    parts = tuple(
        make_proof(attrs.evolve(reply, stamp=service), request, service)
        for service in ('a', 'b')
    )
    with pytest.raises(UnprovenSuccessError):
        MergedAnswer(parts=parts, routed=_SEARCH, body=b'')


@pytest.mark.parametrize(
    ('changes', 'request_id', 'status'),
    [
        ({}, 'q1', 200),
        ({'headers': ()}, 'q1', 502),
        ({'headers': (('Server-Stamp', 't'),)}, 'q1', 502),
        ({'headers': _REPLY.headers * 2}, 'q1', 502),
        (
            {'headers': (('Server-Stamp', 's'), ('Request-Id', 'q2'))},
            'q1',
            502,
        ),
        ({}, 'q2', 502),
        (
            {
                'headers': (('Server-Stamp', 's'), ('Request-Id', '')),
                'request_id': '',
            },
            'q1',
            200,
        ),
    ],
)
def test_answer_is_sent_as_proven(
    changes: dict[str, Any], request_id: str, status: int
) -> None:
    """What changes an answer after its check must not reach the caller."""
    reply = attrs.evolve(_REPLY, **changes)
    asked = _REQUEST
    if request_id != _REQUEST.request_id:
        asked = make_request(request_id)
    response = encode_answer(make_relayed(reply, _REQUEST), asked)
    assert response.status == status
    assert (response.body == b'x') is (status == 200)
