"""Check the rules that involve several keys or tables of the text."""

import graphlib
from collections import Counter
from collections.abc import Iterator
from typing import TypeAlias

from dragonflyramp.models import Configuration, HoldKind, Service
from dragonflyramp.operators._hold_checks import (
    dark_shard_problems,
    static_replicas,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.results import ResultCode

#: Bounds the recursion of `Configuration.shards_of`.
_MAX_DEPENDENCY_LEVELS = 8
_MAX_REPORTED_CYCLES = 10

_DependencyGraph: TypeAlias = dict[str, tuple[str, ...]]


def check_configuration(configuration: Configuration) -> tuple[Problem, ...]:
    """Return the problems of a configuration, without line numbers."""
    return (
        *_missing_key_problems(configuration),
        *_service_problems(configuration),
        *_dependency_graph_problems(configuration),
        *_replica_problems(configuration),
        *_hold_problems(configuration),
    )


def _missing_key_problems(configuration: Configuration) -> Iterator[Problem]:
    required = {
        'user': configuration.user,
        'failure_domains': configuration.failure_domains,
        'services': configuration.services,
    }
    for key, defined in required.items():
        if not defined:
            yield _problem(ResultCode.missing_key, key, 'is required')


def _service_problems(configuration: Configuration) -> Iterator[Problem]:
    for service in configuration.services.values():
        if service.slots > service.connections:
            yield _problem(
                ResultCode.slots_over_connections,
                f'services.{service.name}.slots',
                f'exceeds connections, which is {service.connections}',
            )
        if service.depends_on:
            yield from _dependency_name_problems(configuration, service)


def _dependency_name_problems(
    configuration: Configuration, service: Service
) -> Iterator[Problem]:
    key = f'services.{service.name}.depends_on'
    for name in service.depends_on:
        if name not in configuration.services:
            sentence = f'no service is named {name}'
            yield _problem(ResultCode.unknown_name, key, sentence)
    for repeated in _repeated_names(service.depends_on):
        yield _problem(ResultCode.bad_value, key, f'repeats {repeated}')


def _dependency_graph_problems(
    configuration: Configuration,
) -> Iterator[Problem]:
    graph = _dependency_graph(configuration)
    for _ in range(_MAX_REPORTED_CYCLES):
        try:
            order = tuple(graphlib.TopologicalSorter(graph).static_order())
        except graphlib.CycleError as error:
            cycle = list(reversed(error.args[1]))
            yield _problem(
                ResultCode.dependency_cycle,
                f'services.{cycle[0]}.depends_on',
                ' -> '.join(cycle),
            )
            # Break this cycle, so that the next pass finds another one.
            graph[cycle[0]] = ()
        else:
            yield from _depth_problems(graph, order)
            return


def _dependency_graph(configuration: Configuration) -> _DependencyGraph:
    """Return the dependencies between services, without shards.

    Shards have no dependencies and far outnumber the other services.
    """
    graph = {
        service.name: service.depends_on
        for service in configuration.services.values()
        if service.depends_on
    }
    return {
        name: tuple(filter(graph.__contains__, dependencies))
        for name, dependencies in graph.items()
    }


def _depth_problems(
    graph: _DependencyGraph, order: tuple[str, ...]
) -> Iterator[Problem]:
    depths: dict[str, int] = {}
    for name in order:
        dependency_depths = map(depths.__getitem__, graph.get(name, ()))
        # Shards are level 1; the graph does not contain them.
        depth = 1 + max(dependency_depths, default=1)
        depths[name] = depth
        # Deeper services depend on a reported one and are not reported.
        if depth == _MAX_DEPENDENCY_LEVELS + 1:
            yield _problem(
                ResultCode.bad_value,
                f'services.{name}.depends_on',
                f'has more than {_MAX_DEPENDENCY_LEVELS} levels of services',
            )


def _replica_problems(configuration: Configuration) -> Iterator[Problem]:
    seen_ids: set[str] = set()
    for service in configuration.services.values():
        yield from _failure_domain_problems(configuration, service)
        for index, replica in enumerate(service.replicas):
            if replica.replica_id in seen_ids:
                yield _problem(
                    ResultCode.bad_value,
                    f'services.{service.name}.replicas[{index}].id',
                    f'another replica has the id {replica.replica_id}',
                )
            seen_ids.add(replica.replica_id)


def _failure_domain_problems(
    configuration: Configuration, service: Service
) -> Iterator[Problem]:
    for index, replica in enumerate(service.replicas):
        if replica.failure_domain not in configuration.failure_domains:
            yield _problem(
                ResultCode.unknown_name,
                f'services.{service.name}.replicas[{index}].failure_domain',
                f'no failure domain is named {replica.failure_domain}',
            )


def _hold_problems(configuration: Configuration) -> Iterator[Problem]:
    for hold in configuration.holds.values():
        is_domain = hold.kind is HoldKind.failure_domain
        if is_domain and hold.name not in configuration.failure_domains:
            yield _problem(
                ResultCode.unknown_name,
                f'holds.{hold.name}',
                'no failure domain has this name',
            )
    yield from dark_shard_problems(
        configuration, static_replicas(configuration), configuration.holds
    )


def _repeated_names(names: tuple[str, ...]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]


def _problem(code: ResultCode, key: str, sentence: str) -> Problem:
    return Problem(code=code, key=key, sentence=sentence)
