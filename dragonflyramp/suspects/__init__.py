"""Decide which requests end the replicas that run them.

_suspicions      what a daemon knows of a request, and reports of it
_tables          suspicions of a daemon, with the versions of their changes
_crash_suspects  changes of suspicions by ends, successes, reports and the store
_records         records of suspect requests that all daemons share
"""

from dragonflyramp.suspects._crash_suspects import CrashSuspects
from dragonflyramp.suspects._records import (
    ClaimOutcome,
    LocalSuspectRecords,
    SuspectRecord,
    SuspectRecords,
)
from dragonflyramp.suspects._suspicions import (
    MAX_CRASH_ROUNDS,
    NO_SUSPICION,
    Suspicion,
    SuspicionReport,
)
from dragonflyramp.suspects._tables import (
    MAX_REPORTED_SUSPICIONS,
    NOT_REPORTED_VERSION,
    SuspicionTable,
    count_suspicions,
    expire_suspicions,
    has_changes_after,
    report_after,
)

__all__ = (
    'MAX_CRASH_ROUNDS',
    'MAX_REPORTED_SUSPICIONS',
    'NOT_REPORTED_VERSION',
    'NO_SUSPICION',
    'ClaimOutcome',
    'CrashSuspects',
    'LocalSuspectRecords',
    'SuspectRecord',
    'SuspectRecords',
    'Suspicion',
    'SuspicionReport',
    'SuspicionTable',
    'count_suspicions',
    'expire_suspicions',
    'has_changes_after',
    'report_after',
)
