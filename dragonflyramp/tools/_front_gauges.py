"""Export the state of a front as gauges."""

import functools
import types
from collections.abc import Callable

from dragonflyramp.backends import BackendClient, Fleet, Replica
from dragonflyramp.members import DAEMONS_KIND
from dragonflyramp.metrics import gauges
from dragonflyramp.routing_state import RoutingState
from dragonflyramp.stores import StoreEra
from dragonflyramp.suspects import (
    MAX_CRASH_ROUNDS,
    SuspicionTable,
    count_suspicions,
)


def register_gauges(
    routing_state: RoutingState,
    backend_client: BackendClient,
    store_era: StoreEra,
    clock: Callable[[], float],
) -> None:
    """Register all gauges of a front."""
    decoder = routing_state.decoder
    for name, kind in (
        ('configuration', decoder.config_kind),
        ('entries', decoder.entries_kind),
        ('holds', decoder.holds_kind),
        ('daemons', DAEMONS_KIND),
    ):
        view = routing_state.views[kind]
        gauges.register(
            f'{name}_age_seconds',
            functools.partial(_age_seconds, view.age_seconds, clock),
        )
    for state, is_in_state in _STATE_PREDICATES.items():
        gauges.register(
            f'replicas_{state}',
            functools.partial(
                _count_replicas, backend_client.fleet, is_in_state, clock
            ),
        )
    gauges.register(
        'configuration_version', lambda: _configuration_version(routing_state)
    )
    _register_suspects(backend_client.crash_detector.suspects.table)
    _register_objects(routing_state, store_era)
    gauges.register('daemons_counted', backend_client.peers.daemon_count)
    gauges.register(
        'budget_left_share', lambda: _budget_left_share(backend_client, clock())
    )


def _register_objects(routing_state: RoutingState, store_era: StoreEra) -> None:
    gauges.register(
        'entries_skipped', lambda: len(routing_state.skipped_entries)
    )
    gauges.register(
        'holds_unreadable', lambda: float(not routing_state.are_holds_readable)
    )
    gauges.register('store_era', lambda: store_era.number)


def _register_suspects(table: SuspicionTable) -> None:
    gauges.register('requests_suspect', lambda: count_suspicions(table, 1))
    gauges.register(
        'requests_blocked', lambda: count_suspicions(table, MAX_CRASH_ROUNDS)
    )


def _age_seconds(
    age_seconds: Callable[[float], float], clock: Callable[[], float]
) -> float:
    return age_seconds(clock())


def _count_replicas(
    fleet: Fleet,
    is_in_state: Callable[[Replica, float], bool],
    clock: Callable[[], float],
) -> float:
    now_seconds = clock()
    return sum(
        is_in_state(replica, now_seconds)
        for replica in fleet.all_replicas().values()
    )


def _configuration_version(routing_state: RoutingState) -> float:
    return routing_state.table.version if routing_state.table else 0


def _budget_left_share(
    backend_client: BackendClient, now_seconds: float
) -> float:
    return backend_client.budgets.min_remaining_share(
        backend_client.peers.daemon_count(), now_seconds
    )


def _is_draining(replica: Replica, now_seconds: float) -> bool:
    return not replica.is_ready


def _is_ready(replica: Replica, now_seconds: float) -> bool:
    return replica.is_ready


_STATE_PREDICATES = types.MappingProxyType(
    {
        'ready': _is_ready,
        'draining': _is_draining,
        'suspect': Replica.is_suspect,
        'cold': Replica.is_cold,
    }
)
