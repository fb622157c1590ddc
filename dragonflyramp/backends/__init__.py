"""Send requests to backend servers: select replicas, retry and hedge.

_clients          client with the state that all fetches share
_fetches          fetch of one part from one service
_attempts         attempts of one fetch, and its failure
_fetch_steps      usual steps of a fetch, without a task
_outcome_handlers  outcomes of the attempts of one fetch
_selections       replica of an attempt, with or without a comparison
_schedulers       start times of the first attempt, retries and hedges
_hedging          delay after which a hedge is sent
_budgets          limits on the retries and hedges of each service
_fleets           replicas of each service, and which may receive requests
_replica_lookups  replicas that this daemon prefers
_replica_orders   order of the replicas of a service on this daemon
_cold_limits      limit on the requests to cold replicas
_capacity_events  wake-up of requests that wait for capacity
_replicas         statistics and health of one replica
_limits           this daemon's share of the requests to a cold replica
_reply_notices    replicas that leave or asked for a pause
_latencies        latency quantiles of each route
_recorders        updates of the statistics from outcomes of attempts
_crash_watches    retries of a request after a replica ended while it ran it
_crash_detectors  detection of replicas that ended while they ran a request
_trial_locks      one attempt at a suspect request at a time
_probes           check whether the process of a replica still runs
_preconnectors    connections opened before the first search
_contexts         context in which a request is executed
_requests         results of the client
_proofs           proof that a reply is a success of a request
_reply_checks     what a complete reply means for its request
"""

from dragonflyramp.backends._attempts import FirstSends
from dragonflyramp.backends._budgets import Budget, BudgetBounds, Budgets
from dragonflyramp.backends._clients import BackendClient, Policies
from dragonflyramp.backends._cold_limits import ColdReplicaLimiter
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._crash_detectors import Crash, CrashDetector
from dragonflyramp.backends._crash_watches import CrashWatch
from dragonflyramp.backends._fetches import Fetch
from dragonflyramp.backends._fleets import (
    Fleet,
    apply_peer_latency_ratios,
    expire_notices,
    hold_domains,
    resume_delay_seconds,
    software_versions,
)
from dragonflyramp.backends._hedging import (
    HedgingPolicy,
    NoHedging,
    QuantileHedging,
)
from dragonflyramp.backends._latencies import RouteLatencies
from dragonflyramp.backends._limits import (
    Peers,
    cold_request_limit,
)
from dragonflyramp.backends._preconnectors import Preconnector
from dragonflyramp.backends._probes import ProbeOutcome, ReplicaProbe
from dragonflyramp.backends._proofs import (
    ProvenSuccess,
    UnprovenSuccessError,
)
from dragonflyramp.backends._replica_lookups import preferred_replica
from dragonflyramp.backends._replica_orders import ReplicaOrder
from dragonflyramp.backends._replicas import Replica
from dragonflyramp.backends._requests import AttemptRecord, FetchResult

__all__ = (
    'AttemptRecord',
    'BackendClient',
    'Budget',
    'BudgetBounds',
    'Budgets',
    'ColdReplicaLimiter',
    'Crash',
    'CrashDetector',
    'CrashWatch',
    'Fetch',
    'FirstSends',
    'FetchResult',
    'Fleet',
    'HedgingPolicy',
    'NoHedging',
    'Peers',
    'Policies',
    'Preconnector',
    'QuantileHedging',
    'ProbeOutcome',
    'ProvenSuccess',
    'Replica',
    'ReplicaOrder',
    'ReplicaProbe',
    'RequestContext',
    'RouteLatencies',
    'UnprovenSuccessError',
    'apply_peer_latency_ratios',
    'cold_request_limit',
    'expire_notices',
    'hold_domains',
    'preferred_replica',
    'resume_delay_seconds',
    'software_versions',
)
