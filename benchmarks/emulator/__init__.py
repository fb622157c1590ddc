"""Emulate a deployment in virtual time.

The fronts run the product's code. Replicas, connections and the exchange of
latency reports are emulated.

_event_loops  event loop in virtual time
_replicas     replicas with slots, queues, pauses and faults
_connections  connections to replicas, in place of sockets
_experiments  experiment files
_deployments  fronts, replicas, and the latency reports between fronts
_contention   deployments in which kinds of requests contend for replicas
_contending_callers  callers of such deployments, and statistics
_runs         runs of an experiment with a set of policies, and statistics
"""

from benchmarks.emulator._contending_callers import (
    KindStatistics,
    run_contention,
)
from benchmarks.emulator._contention import (
    ContentionRun,
    Kind,
    make_lookup_route,
    make_search_route,
)
from benchmarks.emulator._experiments import (
    Experiment,
    Fault,
    read_experiment,
)
from benchmarks.emulator._runs import POLICY_SETS, RunStatistics, run_experiment

__all__ = (
    'POLICY_SETS',
    'ContentionRun',
    'Experiment',
    'Fault',
    'Kind',
    'KindStatistics',
    'RunStatistics',
    'make_lookup_route',
    'make_search_route',
    'read_experiment',
    'run_contention',
    'run_experiment',
)
