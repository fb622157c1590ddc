"""Move the requests of a service to another software version, or back.

_orders            orders of rollouts and their status
_records           record of a rollout in the store, and its encoding
_known_rollouts    orders and records, as the views show them
_start_times       when each rollout began
_listed_versions   software versions that are listed, and since when
_version_policies  interface of the selection by version, and one without any
_front_rollouts    selection by version, as orders and records demand
_exposure_limits   limit on the requests that this front gives to the target
_answer_counts     counts of good and bad answers, own and reported
_comparisons       comparison of the target version with the others
_shares            share of the target, and the replicas that get it
_decisions         what the coordinator does next
_observations      inputs of its decisions
_stores            its writes to the store
_coordinators      task of the coordinator
"""

from dragonflyramp.rollouts._answer_counts import (
    MAX_ANSWER_KEYS,
    MAX_TEXT_LENGTH,
    NO_ROLLOUT_REPORT,
    AnswerCounts,
    AnswerKey,
    AnswerKind,
    OwnAnswers,
    ReportedAnswers,
    RolloutReport,
)
from dragonflyramp.rollouts._coordinators import Coordinator
from dragonflyramp.rollouts._front_rollouts import (
    EXPOSURE_CAP_FACTOR,
    FrontRollouts,
    record_outstanding,
    update_withdrawn,
)
from dragonflyramp.rollouts._known_rollouts import (
    KnownRollouts,
    record_restore,
)
from dragonflyramp.rollouts._observations import Observer, RolloutPeers
from dragonflyramp.rollouts._orders import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from dragonflyramp.rollouts._records import RECORDS_KIND
from dragonflyramp.rollouts._shares import Census
from dragonflyramp.rollouts._start_times import StartTimes
from dragonflyramp.rollouts._stores import OrderStore, RolloutWriter
from dragonflyramp.rollouts._version_policies import (
    AllVersions,
    Candidate,
    Sending,
    VersionPolicy,
)

__all__ = (
    'EXPOSURE_CAP_FACTOR',
    'MAX_ANSWER_KEYS',
    'MAX_TEXT_LENGTH',
    'NO_ROLLOUT_REPORT',
    'RECORDS_KIND',
    'AllVersions',
    'AnswerCounts',
    'AnswerKey',
    'AnswerKind',
    'Candidate',
    'Census',
    'Coordinator',
    'FrontRollouts',
    'KnownRollouts',
    'Observer',
    'OrderStore',
    'OwnAnswers',
    'ReportedAnswers',
    'RolloutOrder',
    'RolloutPeers',
    'RolloutReport',
    'RolloutState',
    'RolloutStatus',
    'RolloutWriter',
    'Sending',
    'StartTimes',
    'VersionPolicy',
    'record_outstanding',
    'record_restore',
    'update_withdrawn',
)
