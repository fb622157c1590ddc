"""Serve callers: searches, submits, and the front's own endpoints."""

from dragonflyramp.callers._canary import (
    CanaryPolicy,
    FirstShardsCanary,
    NoCanary,
)
from dragonflyramp.callers._fronts import Front
from dragonflyramp.callers._gather import Gather
from dragonflyramp.callers._http import CallersServer, start_server
from dragonflyramp.callers._parts import FrontParts
from dragonflyramp.callers._policies import NAIVE_POLICIES, FrontPolicies
from dragonflyramp.callers._quarantine import Quarantine, QuarantineEntry
from dragonflyramp.callers._requests import (
    Coverage,
    Hit,
    MissingShard,
    Refusal,
    SearchAnswer,
    SearchRequest,
    SubmitAnswer,
    SubmitRequest,
)
from dragonflyramp.callers._settings import (
    ClaimSettings,
    DeadlineSettings,
    FrontSettings,
    QuarantineSettings,
)
from dragonflyramp.callers._stragglers import (
    PatientStragglers,
    StragglerPolicy,
    TargetStragglers,
)

__all__ = (
    'NAIVE_POLICIES',
    'CallersServer',
    'CanaryPolicy',
    'ClaimSettings',
    'Coverage',
    'DeadlineSettings',
    'FirstShardsCanary',
    'Front',
    'FrontParts',
    'FrontPolicies',
    'FrontSettings',
    'Gather',
    'Hit',
    'MissingShard',
    'NoCanary',
    'PatientStragglers',
    'Quarantine',
    'QuarantineEntry',
    'QuarantineSettings',
    'Refusal',
    'SearchAnswer',
    'SearchRequest',
    'StragglerPolicy',
    'SubmitAnswer',
    'SubmitRequest',
    'TargetStragglers',
    'start_server',
)
