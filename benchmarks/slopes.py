"""Measure the CPU time of single operations at several deployment sizes.

Run `python -m benchmarks.slopes`. From these figures, `docs/CAPACITY.md`
derives the capacity at the deployment size that the product is designed for.
"""

import functools
import json
import os
import random
import sys
import time
from collections.abc import Callable

from dragonflyramp.backends import (
    Budget,
    BudgetBounds,
    Replica,
)
from dragonflyramp.callers import RecordMerger
from dragonflyramp.members import Cluster, Daemon, Membership, ViewSynchronizer
from dragonflyramp.members._sync_messages import (
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)
from dragonflyramp.members._view_updates import UpdateEncoder
from dragonflyramp.placement import (
    LowestLatencySelector,
    SelectionInputs,
)
from dragonflyramp.platform import StoreDecoder
from dragonflyramp.replica_connections import (
    Connection,
    ConnectionHooks,
    ConnectionPool,
)
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.runtime import TaskSet
from dragonflyramp.slow_replicas import SlowReplicaDetector
from dragonflyramp.views import Change, ChangeBatch, Listing, View

_CALLS_PER_MEASUREMENT = 300
_ENTRY_COUNT = 10000
_PART_BYTES = 1000


def main() -> None:
    """Measure each operation and print its CPU time per call."""
    for replica_count in (3, 10, 30):
        select_replica = functools.partial(
            _select_replica, _make_replicas(replica_count)
        )
        _measure(f'replica selection, {replica_count} replicas', select_replica)
    budget = Budget(BudgetBounds(ratio=0.2, window_seconds=10, slack=50))
    _measure(
        'budget decision',
        lambda: budget.try_spend(7, time.monotonic(), is_hedge=True),
    )
    view = _make_entry_view()
    _measure(
        'change of an entry in a view', functools.partial(_apply_change, view)
    )
    decoder = StoreDecoder()
    _measure(
        'decoding of an entry',
        lambda: decoder.decode_entry(view.objects_by_name['i-1']),
    )
    for part_count in (10, 36, 480):
        bodies = [os.urandom(_PART_BYTES) for _ in range(part_count)]
        merge = functools.partial(RecordMerger().merge, bodies, 50)
        _measure(f'merge of {part_count} parts of 1000 bytes each', merge)
    for daemon_count in (7, 77, 500):
        synchronizer = _make_synchronizer(daemon_count)
        response_size = len(_exchange_messages(synchronizer))
        _measure(
            f'sync, {daemon_count} daemons, response of {response_size} bytes',
            functools.partial(_exchange_messages, synchronizer),
        )


def _measure(title: str, operation: Callable[[], object]) -> None:
    started_at_seconds = time.process_time()
    for _ in range(_CALLS_PER_MEASUREMENT):
        operation()
    cpu_seconds = time.process_time() - started_at_seconds
    cpu_us_per_call = cpu_seconds / _CALLS_PER_MEASUREMENT * 1000 * 1000
    sys.stdout.write(
        f'{title}: {cpu_us_per_call:.1f} us of CPU time per call\n'
    )


def _select_replica(replicas: list[Replica]) -> Replica | None:
    inputs = SelectionInputs(
        failure_domain='d', typical_ms=20, target_ms=100, now_seconds=1
    )
    return LowestLatencySelector().select(replicas, inputs, random.Random(1))


def _make_replicas(count: int) -> list[Replica]:
    return [
        Replica(
            entry=ReplicaEntry(
                replica_id=str(index),
                service='a',
                address='127.0.0.1:1',
                failure_domain='d',
                state=ReplicaState.ready,
            ),
            warm_at_seconds=0,
            connections=ConnectionPool(
                '127.0.0.1:1',
                _refuse_connection,
                TaskSet(),
                _ignore_capacity,
                lambda reply, now_seconds: None,
            ),
        )
        for index in range(count)
    ]


def _refuse_connection(address: str, hooks: ConnectionHooks) -> Connection:
    raise NotImplementedError(address)


def _ignore_capacity() -> None:
    """Do nothing when a connection may have become available."""


def _make_entry_view() -> View:
    spec = {
        'service': 'a',
        'address': '10.0.0.1:80',
        'zone': 'd',
        'slots': 3,
        'state': 'ready',
        'warmup_left_ms': 0,
    }
    view = View('servers')
    entries = {
        f'i-{index}': {'meta': {'name': f'i-{index}', 'rev': 1}, 'spec': spec}
        for index in range(_ENTRY_COUNT)
    }
    view.replace(Listing(1, entries), 1)
    return view


def _apply_change(view: View) -> None:
    entry_change = Change('i-1', view.objects_by_name['i-1'])
    view.apply(ChangeBatch(view.revision + 1, (entry_change,)), 1)


def _make_synchronizer(daemon_count: int) -> ViewSynchronizer:
    cluster = Cluster(Membership(Daemon('own', '10.0.0.1:80', 'd')))
    for index in range(daemon_count):
        cluster.membership.record_contact(
            Daemon(f'd{index}', '10.0.0.1:80', 'd'), 1
        )
    views = {kind: View(kind) for kind in ('a', 'b', 'c')}
    detector = SlowReplicaDetector()
    return ViewSynchronizer(cluster, views, lambda kind, names: None, detector)


def _exchange_messages(synchronizer: ViewSynchronizer) -> str:
    encoded_request = json.dumps(
        encode_request(synchronizer.build_request(now_seconds=2))
    )
    request = decode_request(json.loads(encoded_request))
    encoded_response = encode_response(
        synchronizer.build_response(request, 2), UpdateEncoder()
    )
    synchronizer.apply_response(
        decode_response(json.loads(encoded_response)), 2
    )
    return encoded_response


if __name__ == '__main__':
    main()
