"""Choose the policies of a daemon, each ours or naive."""

import functools
import time
from collections.abc import Callable

import attrs

from dragonflyramp.backends import PolicySet, TracedRamp
from dragonflyramp.callers import NAIVE_POLICIES, FrontPolicies
from dragonflyramp.members import LeaseTable, Role, SharedSlices
from dragonflyramp.models import MemberId, SliceId
from dragonflyramp.settings import Policy, Settings, Trace
from dragonflyramp.tools._cores import Core

_FRONT_POLICIES = (Policy.stragglers, Policy.canary)
_RELAY_POLICIES = (
    Policy.choice,
    Policy.ramp,
    Policy.hedging,
    Policy.retries,
    Policy.leaving,
)


def front_policies(settings: Settings) -> FrontPolicies:
    """Choose the policies of a front."""
    naive = {
        policy.value: getattr(NAIVE_POLICIES, policy.value)
        for policy in _FRONT_POLICIES
        if settings.is_naive(policy)
    }
    return attrs.evolve(FrontPolicies(), **naive)


def relay_policies(settings: Settings) -> PolicySet:
    """Choose the policies of a relay towards backend servers."""
    all_naive = PolicySet.naive(settings.naive_relays)
    naive = {
        policy.value: getattr(all_naive, policy.value)
        for policy in _RELAY_POLICIES
        if settings.is_naive(policy)
    }
    policies = attrs.evolve(PolicySet.ours(), **naive)
    if settings.trace is Trace.off:
        return policies
    traced = TracedRamp(policies.ramp, time.monotonic)
    return attrs.evolve(policies, ramp=traced)


def lease_table(core: Core) -> LeaseTable:
    """Choose what tells a relay its standing for each slice."""
    if core.settings.is_naive(Policy.slices):
        return SharedSlices(core.keeper)
    return core.membership.lease_table


def slice_members(core: Core) -> Callable[[SliceId], tuple[MemberId, ...]]:
    """Choose which relays a front asks for a slice, the first one first."""
    if core.settings.is_naive(Policy.slices):
        return functools.partial(_any_relays, core)
    return core.membership.candidates


def _any_relays(core: Core, slice_id: SliceId) -> tuple[MemberId, ...]:
    relays = [relay.member_id for relay in core.membership.peers(Role.relay)]
    core.rng.shuffle(relays)
    return tuple(relays)
