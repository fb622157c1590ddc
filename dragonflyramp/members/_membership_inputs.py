"""Define what one daemon's membership depends on."""

import random
from collections.abc import Callable

import attrs

from dragonflyramp.members._groups import MemberDescription
from dragonflyramp.members._hooks import AdoptedConfiguration, MembershipHooks
from dragonflyramp.members._member_links import MemberCalls
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.platform import ObjectStore, VmList


@attrs.frozen(kw_only=True)
class MembershipInputs:
    """Hold what one daemon's membership depends on.

    `seeds` are addresses of daemons that may know the group when the
    platform is down at the start; `clock` gives monotonic seconds.
    """

    own: MemberDescription
    seeds: tuple[str, ...]
    settings: MembershipSettings
    store: ObjectStore
    calls: MemberCalls
    configuration: AdoptedConfiguration
    vm_list: VmList
    clock: Callable[[], float]
    rng: random.Random
    hooks: MembershipHooks = MembershipHooks()
