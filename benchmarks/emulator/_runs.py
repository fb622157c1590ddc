"""Run an experiment with a set of policies and collect statistics."""

import asyncio
import random
from collections.abc import Mapping
from types import MappingProxyType

import attrs
from hdrh.histogram import HdrHistogram

from benchmarks.emulator._deployments import (
    EmulatedDeployment,
    EmulatedFront,
    PolicySet,
    build_deployment,
)
from benchmarks.emulator._event_loops import run_in_virtual_time
from benchmarks.emulator._experiments import Experiment
from dragonflyramp.backends import NoHedging, Policies
from dragonflyramp.callers import (
    DeadlineCutoff,
    MergedAnswer,
    Query,
    TargetCutoff,
)
from dragonflyramp.messages import Request
from dragonflyramp.placement import (
    LeastOutstandingSelector,
    RandomSelector,
    TwoChoicesSelector,
)

#: Range and precision of the latency histogram.
_MAX_LATENCY_MS = 60_000
_SIGNIFICANT_DIGITS = 3
#: Searches that arrive earlier are excluded from the statistics, because few
#: connections are open and latency estimates have few samples.
_WARMUP_SECONDS = 3
_TARGET_CUTOFF = TargetCutoff()

#: Sets of policies to compare, by the name used on the command line:
#: product     the defaults of the product
#: own-paces   without latency reports from other fronts
#: no-hedging  without hedges
#: patient     waits for all shards until the deadline
#: random      random selection, no hedges, no reports, waits until the deadline
#: least-busy  selection by the fewest outstanding requests
#: two-choices the less loaded of two random replicas
POLICY_SETS: Mapping[str, PolicySet] = MappingProxyType(
    {
        'product': PolicySet(cutoff_policy=_TARGET_CUTOFF),
        'own-paces': PolicySet(
            cutoff_policy=_TARGET_CUTOFF, has_latency_reports=False
        ),
        'no-hedging': PolicySet(
            client_policies=Policies(hedging=NoHedging()),
            cutoff_policy=_TARGET_CUTOFF,
        ),
        'patient': PolicySet(cutoff_policy=DeadlineCutoff()),
        'random': PolicySet(
            client_policies=Policies(
                selector=RandomSelector(), hedging=NoHedging()
            ),
            cutoff_policy=DeadlineCutoff(),
            has_latency_reports=False,
        ),
        'least-busy': PolicySet(
            client_policies=Policies(selector=LeastOutstandingSelector()),
            cutoff_policy=_TARGET_CUTOFF,
        ),
        'two-choices': PolicySet(
            client_policies=Policies(selector=TwoChoicesSelector()),
            cutoff_policy=_TARGET_CUTOFF,
        ),
    }
)


@attrs.define(eq=False)
class RunStatistics:
    """Statistics of a run, as seen by callers and replicas."""

    #: Searches, excluding the warm-up.
    search_count: int = 0
    #: Answers within the latency target, including partial ones.
    on_time_count: int = 0
    #: Sum of the squared share of shards that each answer covers. Errors and
    #: late answers count as 0.
    value_sum: float = 0
    #: Sum of the share of shards that each answer covers.
    coverage_sum: float = 0
    #: Requests that replicas received, including the warm-up.
    replica_request_count: int = 0
    #: Parts of all searches, including the warm-up.
    part_count: int = 0
    latency_ms_histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _MAX_LATENCY_MS, _SIGNIFICANT_DIGITS)
    )

    def record_search(
        self, answer: object, elapsed_ms: float, target_ms: float
    ) -> None:
        """Record the answer and the latency of a search."""
        self.search_count += 1
        self.latency_ms_histogram.record_value(max(1, round(elapsed_ms)))
        if not isinstance(answer, MergedAnswer):
            return
        coverage = len(answer.stamps) / answer.shard_count
        self.coverage_sum += coverage
        if elapsed_ms <= target_ms:
            self.on_time_count += 1
            self.value_sum += coverage * coverage

    @property
    def extra_request_ratio(self) -> float:
        """Return the requests beyond one per part, as a ratio of the parts."""
        return self.replica_request_count / max(1, self.part_count) - 1


def run_experiment(
    experiment: Experiment, policy_set: PolicySet
) -> RunStatistics:
    """Run an experiment; the same seed gives the same statistics."""
    return run_in_virtual_time(_run(experiment, policy_set))


async def _run(experiment: Experiment, policy_set: PolicySet) -> RunStatistics:
    deployment = build_deployment(experiment, policy_set)
    statistics = RunStatistics()
    if policy_set.has_latency_reports:
        deployment.tasks.start(
            deployment.exchange_latency_reports(), 'latency reports'
        )
    rng = random.Random(experiment.seed)
    loop = asyncio.get_running_loop()
    search_number = 0
    search_tasks = []
    while loop.time() < experiment.seconds:
        await asyncio.sleep(rng.expovariate(experiment.searches_per_second))
        emulated_front = rng.choice(deployment.fronts)
        search_number += 1
        search = _send_search(
            deployment, emulated_front, search_number, statistics
        )
        search_tasks.append(asyncio.create_task(search))
    await asyncio.wait(search_tasks)
    statistics.replica_request_count = sum(
        replica.received_count for replica in deployment.replicas.values()
    )
    statistics.part_count = search_number * experiment.shards
    await deployment.tasks.cancel()
    return statistics


async def _send_search(
    deployment: EmulatedDeployment,
    emulated_front: EmulatedFront,
    search_number: int,
    statistics: RunStatistics,
) -> None:
    loop = asyncio.get_running_loop()
    experiment = deployment.experiment
    received_at_seconds = loop.time()
    request = Request(
        request_id=f'q{search_number}',
        method='GET',
        path_and_query='/',
        headers=(),
    )
    query = Query(
        request=request,
        host='h',
        path='/',
        deadline_ms=experiment.timeout_ms,
        received_at_seconds=received_at_seconds,
    )
    answer = await emulated_front.front.serve(query)
    if received_at_seconds >= _WARMUP_SECONDS:
        elapsed_ms = (loop.time() - received_at_seconds) * 1000
        statistics.record_search(answer, elapsed_ms, experiment.target_ms)
