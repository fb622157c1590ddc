"""Group the policies of a front that a flag exchanges together."""

import attrs

from dragonflyramp.callers._canary import (
    CanaryPolicy,
    FirstShardsCanary,
    NoCanary,
)
from dragonflyramp.callers._stragglers import (
    PatientStragglers,
    StragglerPolicy,
    TargetStragglers,
)


@attrs.frozen(kw_only=True)
class FrontPolicies:
    """Hold one policy of each kind."""

    stragglers: StragglerPolicy = TargetStragglers()
    canary: CanaryPolicy = FirstShardsCanary()


NAIVE_POLICIES = FrontPolicies(
    stragglers=PatientStragglers(), canary=NoCanary()
)
