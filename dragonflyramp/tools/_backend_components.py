"""Create the fleet of replicas and the client that sends them requests."""

import functools
import random
from collections.abc import Callable, Mapping

from dragonflyramp.backends import (
    BackendClient,
    BudgetBounds,
    Budgets,
    ColdReplicaLimiter,
    Fleet,
    ReplicaOrder,
)
from dragonflyramp.deferred_calls import DeferredCalls
from dragonflyramp.machine_settings import MachineSettings
from dragonflyramp.members import ViewSynchronizer
from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.replica_connections import (
    Connection,
    ReplyMemory,
)
from dragonflyramp.runtime import TaskSet
from dragonflyramp.tools._rollout_components import create_version_policy
from dragonflyramp.views import View


def create_fleet(
    machine: MachineSettings,
    views: Mapping[str, View],
    connection_tasks: TaskSet,
    clock: Callable[[], float],
) -> Fleet:
    """Create the fleet of replicas; its connections run in the task set."""
    return Fleet(
        create_connection=functools.partial(
            Connection,
            codec=ReplicaCodec(),
            clock=clock,
            memory=_create_reply_memory(machine),
        ),
        tasks=connection_tasks,
        versions=create_version_policy(machine, views, clock),
        order=ReplicaOrder(
            daemon_name=machine.node, failure_domain=machine.failure_domain
        ),
        cold_limiter=ColdReplicaLimiter(
            slack=machine.cold_replica_bounds.slack,
            overshoot=machine.cold_replica_bounds.overshoot,
        ),
    )


def _create_reply_memory(machine: MachineSettings) -> ReplyMemory:
    memory = ReplyMemory()
    share_bytes = machine.vm_limits.memory_bytes // _REPLY_MEMORY_DIVISOR
    if share_bytes:
        memory.max_bytes = min(memory.max_bytes, share_bytes)
    return memory


def create_backend_client(
    machine: MachineSettings,
    fleet: Fleet,
    synchronizer: ViewSynchronizer,
    clock: Callable[[], float],
) -> BackendClient:
    """Create the client that shares its limits with the known daemons."""
    bounds = BudgetBounds(
        ratio=machine.retry_bounds.ratio,
        window_seconds=machine.retry_bounds.window_seconds,
        slack=machine.retry_bounds.slack,
    )
    return BackendClient(
        fleet=fleet,
        budgets=Budgets(bounds),
        clock=clock,
        rng=random.Random(),
        failure_domain=machine.failure_domain,
        peers=synchronizer.cluster,
        slow_replica_detector=synchronizer.slow_replica_detector,
        calls=DeferredCalls(),
    )


#: Replies that are being received take up to this part of the memory. With
#: 200 MB and more it is the default of ReplyMemory.
_REPLY_MEMORY_DIVISOR = 12
