"""Test what rollouts accept from other writers and other daemons."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import attrs
import pytest

from dragonflyramp.members._memberships import Daemon
from dragonflyramp.members._sync_messages import (
    SyncRequest,
    decode_request,
    encode_request,
)
from dragonflyramp.platform import decode_rollout_order
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.rollouts import (
    AnswerCounts,
    AnswerKey,
    AnswerKind,
    ReportedAnswers,
    RolloutReport,
    RolloutState,
)
from dragonflyramp.rollouts._listed_versions import ListedVersions
from dragonflyramp.rollouts._records import (
    RolloutRecord,
    decode_record,
    encode_record,
)

_SPEC: Mapping[str, Any] = MappingProxyType(
    {'service': 'lookup', 'target_version': 'v2', 'duration_s': 12}
)
_META: Mapping[str, Any] = MappingProxyType({'name': 'lookup', 'rev': 3})
_KEY = AnswerKey('lookup', '1/v2', 'find', 'r-1')
_REPORT = RolloutReport('p1', {_KEY: AnswerCounts(5, 1, 2)}, {'lookup': '1/v2'})


def test_order_is_decoded() -> None:
    """An order must be read with its status, of whatever version it is."""
    status = {'state': 'completed', 'target_version': 'v1'}
    order = decode_rollout_order(
        'lookup', {'meta': _META, 'spec': _SPEC, 'status': status}
    )
    assert order is not None
    assert (order.target_version, order.duration_seconds) == ('v2', 12)
    # A status of an earlier rollout does not end this one.
    assert order.is_open
    assert order.status is not None
    assert order.status.state is RolloutState.completed


@pytest.mark.parametrize(
    'status',
    [None, 'x', [], {}, {'state': 'odd', 'target_version': 'v2'}],
)
def test_odd_status_is_none(status: Any) -> None:
    """A status that another writer spoiled must not stop the rollout."""
    fields = {'meta': _META, 'spec': _SPEC, 'status': status}
    order = decode_rollout_order('lookup', fields)
    assert order is not None
    assert order.state is None


@pytest.mark.parametrize(
    'change',
    [
        {'service': 'other'},
        {'service': None},
        {'target_version': ''},
        {'target_version': 7},
        {'target_version': 'v' * 201},
        {'target_version': 'v\n2'},
        {'duration_s': 0},
        {'duration_s': -1},
        {'duration_s': float('nan')},
        {'duration_s': float('inf')},
        {'duration_s': 10**400},
        {'duration_s': '12'},
        {'duration_s': True},
        {'duration_s': [[]]},
    ],
)
def test_malformed_order_is_none(change: Mapping[str, Any]) -> None:
    """An odd order must be ignored: it would name a wrong version or time."""
    fields = {'meta': _META, 'spec': {**_SPEC, **change}}
    assert decode_rollout_order('lookup', fields) is None


@pytest.mark.parametrize(
    'fields',
    [
        {},
        {'meta': _META},
        {'spec': dict(_SPEC)},
        {'meta': 'x', 'spec': dict(_SPEC)},
        {'meta': {'rev': True}, 'spec': dict(_SPEC)},
        {'meta': _META, 'spec': [1]},
    ],
)
def test_order_without_parts_is_none(fields: Mapping[str, Any]) -> None:
    """An object without a spec or a revision must not end the daemon."""
    assert decode_rollout_order('lookup', dict(fields)) is None


@pytest.mark.parametrize(
    'change',
    [
        {},
        {'share': 1.5},
        {'share': float('nan')},
        {'share': True},
        {'phase': 'odd'},
        {'replica_ids': 'abc'},
        {'replica_ids': list('r' * 65)},
        {'replica_ids': [1]},
        {'started_ms': -1},
        {'beat': 0.5},
        {'coordinator': 'a\nb'},
        {'order_key': 'x' * 301},
    ],
)
def test_malformed_record_is_none(change: Mapping[str, Any]) -> None:
    """A record with odd fields must not set a share."""
    record = RolloutRecord(order_key='1/v2', coordinator='a', share=0.5)
    spec = {**encode_record(record), **change}
    stored = decode_record({'meta': _META, 'spec': spec})
    if change:
        assert stored is None
    else:
        assert stored is not None
        assert (stored.record, stored.revision) == (record, 3)


def _request(report: RolloutReport) -> Mapping[str, Any]:
    daemon = Daemon('a', '', 'recife')
    return encode_request(
        SyncRequest(sender=daemon, revisions={}, rollout_report=report)
    )


def test_report_travels_and_may_be_missing() -> None:
    """Daemons of an earlier version must understand the message, and send it.

    They ignore a field that they do not know, and send none.
    """
    encoded = dict(_request(_REPORT))
    assert decode_request(encoded).rollout_report == _REPORT
    encoded.pop('rollout')
    assert decode_request(encoded).rollout_report == RolloutReport()
    assert 'rollout' not in _request(RolloutReport())


@pytest.mark.parametrize(
    'report',
    [
        7,
        {},
        {'process': 1, 'answers': [], 'drained': {}},
        {'process': 'p', 'answers': [['a']], 'drained': {}},
        {'process': 'p', 'answers': ['aaaaaaa'], 'drained': {}},
        {
            'process': 'p',
            'answers': [['a', 'b', 'c', 'd', 1, 2, -3]],
            'drained': {},
        },
        {'process': 'p', 'answers': [], 'drained': {'a': 1}},
        {'process': 'p', 'answers': list('a' * 513), 'drained': {}},
    ],
)
def test_odd_report_is_rejected(report: Any) -> None:
    """An odd report must be rejected with an error that is expected."""
    encoded = {**_request(_REPORT), 'rollout': report}
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        decode_request(encoded)


def test_reports_are_counted_once() -> None:
    """Repeated, late and restarted counts must not change the sum wrongly."""
    reported = ReportedAnswers()
    earlier = RolloutReport('p1', {_KEY: AnswerCounts(1, 0, 0)})
    for report in (_REPORT, earlier, _REPORT):
        reported.apply_report('a', report)
    assert reported.answers('lookup', '1/v2') == {_KEY: AnswerCounts(5, 1, 2)}
    assert reported.has_drained('a', 'lookup', '1/v2')
    # Other daemons would reject the whole message.
    reported.own.record(attrs.evolve(_KEY, route='r' * 401), AnswerKind.good)
    assert not reported.own.by_key
    # A restarted process counts from zero.
    restarted = RolloutReport('p2', {_KEY: AnswerCounts(1, 0, 0)})
    reported.apply_report('a', restarted)
    assert reported.answers('lookup', '1/v2') == {_KEY: AnswerCounts(6, 1, 2)}
    assert not reported.answers('lookup', '2/v2')


def _entry(version: str, start_time_ms: int) -> ReplicaEntry:
    return ReplicaEntry(
        replica_id=version,
        service='lookup',
        address='10.0.0.1:80',
        failure_domain='recife',
        state=ReplicaState.ready,
        start_time_ms=start_time_ms,
        software_version=version,
    )


def test_present_version_is_the_oldest() -> None:
    """A front that starts beside new replicas must send to the old ones."""
    versions = ListedVersions()
    versions.update([_entry('v2', 9), _entry('v1', 5)], 0)
    assert versions.permits_unordered('v1', 1)
    assert not versions.permits_unordered('v2', 1)
    assert versions.permits_unordered('v2', 20)


def test_withdrawn_version_waits_until_it_is_gone() -> None:
    """A version that was rolled back must not serve under the next order."""
    versions = ListedVersions()
    entries = [_entry('v1', 5), _entry('v2', 9)]
    versions.update(entries, 0)
    versions.withdrawn.add('v2')
    assert not versions.permits_unordered('v2', 100)
    versions.update(entries[:1], 100)
    versions.update(entries, 101)
    assert not versions.withdrawn
