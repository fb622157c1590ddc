"""Select the replica of each attempt by load and latency.

_load_estimates  load of a replica, from its last report
_selectors       selection policies
"""

from dragonflyramp.placement._load_estimates import LoadEstimate
from dragonflyramp.placement._selectors import (
    LeastOutstandingSelector,
    LowestLatencySelector,
    RandomSelector,
    ReplicaSelector,
    SelectionInputs,
    TwoChoicesSelector,
    expected_latency_ms,
)

__all__ = (
    'LeastOutstandingSelector',
    'LoadEstimate',
    'LowestLatencySelector',
    'RandomSelector',
    'ReplicaSelector',
    'SelectionInputs',
    'TwoChoicesSelector',
    'expected_latency_ms',
)
