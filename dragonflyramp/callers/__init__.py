"""Answer callers' requests: route, scatter, merge and reply.

_fronts          routing and execution of queries
_authentication  tenants of callers, by their API keys
_in_flight       number of requests in progress
_queries         type of queries
_request_contexts  routes of queries, and the contexts of their execution
_answer_builders answers from what was fetched
_answers         types of answers; a success exists only with its proof
_scatter_gather  scatter-gather over the shards of a search
_part_fetches    first attempts, tasks and results of its parts
_search_times    stages of a search, for metrics and logs
_searches        searches over many shards, and their merged answers
_cutoffs         policies for when a search returns a partial answer
_running_queries queries that a planned stop ends with an answer
_retry_delays    when a refused caller should come back
_merging         merging of the shards' results
_traffic_splits  weighted distribution of requests over services
_suspect_guards  trials and refusals of requests that end replicas
_trial_claims    claims of these trials
_request_logs    log lines and counters of requests
_claims          at-most-once execution of requests with an idempotency key
_held_claims     claims of this front, for a restore of the store
_native_api_http HTTP server of the native API
_caller_limits   limits of the ports, from the limits of the VM
_connection_guards  which connections are closed when a limit is reached
_guarded_http    HTTP connections that are guarded
_guarded_servers_http  HTTP servers with such connections
"""

from dragonflyramp.callers._answers import (
    Answer,
    MergedAnswer,
    Refusal,
    RelayedAnswer,
    RelayedFailure,
    RouteVersion,
    Success,
)
from dragonflyramp.callers._caller_limits import (
    INTERNAL_PORT_LIMITS,
    INTERNAL_REQUEST_LIMITS,
    frontend_limits,
    native_limits,
)
from dragonflyramp.callers._claims import Claims
from dragonflyramp.callers._connection_guards import (
    CloseReason,
    ConnectionGuard,
    GuardedConnection,
    Phase,
)
from dragonflyramp.callers._cutoffs import (
    CutoffPolicy,
    DeadlineCutoff,
    Progress,
    TargetCutoff,
)
from dragonflyramp.callers._fronts import Front
from dragonflyramp.callers._guarded_http import (
    BodyTooLargeError,
    GuardedRequestHandler,
)
from dragonflyramp.callers._guarded_servers_http import (
    GuardedAppRunner,
    GuardedServer,
    check_connections,
)
from dragonflyramp.callers._held_claims import HeldClaims
from dragonflyramp.callers._merging import Merger, RecordMerger
from dragonflyramp.callers._native_api_http import NativeApi, NativeApiServer
from dragonflyramp.callers._queries import Query
from dragonflyramp.callers._request_logs import describe_proofs
from dragonflyramp.callers._running_queries import RunningQueries
from dragonflyramp.callers._suspect_guards import SuspectGuard
from dragonflyramp.callers._trial_claims import TrialClaims

__all__ = (
    'INTERNAL_PORT_LIMITS',
    'INTERNAL_REQUEST_LIMITS',
    'Answer',
    'BodyTooLargeError',
    'Claims',
    'CloseReason',
    'ConnectionGuard',
    'CutoffPolicy',
    'DeadlineCutoff',
    'Front',
    'GuardedAppRunner',
    'GuardedConnection',
    'GuardedRequestHandler',
    'GuardedServer',
    'HeldClaims',
    'MergedAnswer',
    'Merger',
    'NativeApi',
    'NativeApiServer',
    'Phase',
    'Progress',
    'Query',
    'RecordMerger',
    'Refusal',
    'RelayedAnswer',
    'RelayedFailure',
    'RouteVersion',
    'RunningQueries',
    'Success',
    'SuspectGuard',
    'TargetCutoff',
    'TrialClaims',
    'check_connections',
    'describe_proofs',
    'frontend_limits',
    'native_limits',
)
