"""Collect the policies of a relay towards backend servers."""

import attrs

from dragonflyramp.backends._choice import (
    ChoicePolicy,
    LeastLoadedChoice,
    RandomChoice,
)
from dragonflyramp.backends._hedging import HedgePolicy, NoHedge, QuantileHedge
from dragonflyramp.backends._leaving import (
    LeavingPolicy,
    LeavingUntilReply,
    LeavingUntilRestart,
)
from dragonflyramp.backends._ramp import (
    RampPolicy,
    SlowStartRamp,
    StaticSplitRamp,
)
from dragonflyramp.backends._retries import (
    ImmediateRetry,
    JitteredRetry,
    RetryPolicy,
)


@attrs.frozen(kw_only=True)
class PolicySet:
    """Hold one policy of each kind."""

    ramp: RampPolicy
    choice: ChoicePolicy
    hedging: HedgePolicy
    retries: RetryPolicy
    leaving: LeavingPolicy

    @classmethod
    def ours(cls) -> 'PolicySet':
        """Give the policies of the design."""
        return cls(
            ramp=SlowStartRamp(),
            choice=LeastLoadedChoice(),
            hedging=QuantileHedge(),
            retries=JitteredRetry(),
            leaving=LeavingUntilRestart(),
        )

    @classmethod
    def naive(cls, relays: int = 1) -> 'PolicySet':
        """Give the naive policies; the slots are split among the relays."""
        return cls(
            ramp=StaticSplitRamp(relays=relays),
            choice=RandomChoice(),
            hedging=NoHedge(),
            retries=ImmediateRetry(),
            leaving=LeavingUntilReply(),
        )
