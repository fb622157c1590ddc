"""Compose the parts of a front."""

import random
import time
from collections.abc import Callable

import attrs

from dragonflyramp.callers._background import BackgroundTasks
from dragonflyramp.callers._claim_buckets import ClaimClocks
from dragonflyramp.callers._claims import Claims
from dragonflyramp.callers._dispatch import Dispatcher
from dragonflyramp.callers._endings import Endings
from dragonflyramp.callers._exchanges import Exchange
from dragonflyramp.callers._medians import Medians
from dragonflyramp.callers._outcomes import Outcomes
from dragonflyramp.callers._planning import Planner
from dragonflyramp.callers._policies import FrontPolicies
from dragonflyramp.callers._quarantine import Quarantine
from dragonflyramp.callers._searches import Searches
from dragonflyramp.callers._settings import FrontSettings
from dragonflyramp.callers._submits import Submits
from dragonflyramp.callers._suspects import Suspects
from dragonflyramp.members import ConfigurationSource, RelayLinks
from dragonflyramp.platform import ObjectStore


@attrs.frozen(kw_only=True, eq=False)
class FrontParts:
    """Name what a front is given; both clocks are in seconds.

    `clock` is monotonic and decides; `unix_clock` only dates claims.
    """

    links: RelayLinks
    source: ConfigurationSource
    store: ObjectStore
    rng: random.Random
    settings: FrontSettings = FrontSettings()
    policies: FrontPolicies = FrontPolicies()
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    clock: Callable[[], float] = time.monotonic
    unix_clock: Callable[[], float] = time.time


def compose_submits(
    parts: FrontParts, suspects: Suspects, background: BackgroundTasks
) -> Submits:
    """Build the submit path of a front."""
    clocks = ClaimClocks(
        clock=parts.clock, unix_clock=parts.unix_clock, rng=parts.rng
    )
    return Submits(
        links=parts.links,
        planner=Planner(parts.links, parts.source),
        suspects=suspects,
        claims=Claims(
            store=parts.store,
            settings=parts.settings.claims,
            clocks=clocks,
            background=background,
        ),
        settings=parts.settings.deadlines,
        clock=parts.clock,
        rng=parts.rng,
    )


def compose_searches(
    parts: FrontParts, suspects: Suspects, background: BackgroundTasks
) -> Searches:
    """Build the search path of a front."""
    planner = Planner(parts.links, parts.source)
    medians = Medians()
    return Searches(
        planner=planner,
        exchange=Exchange(
            links=parts.links,
            dispatcher=Dispatcher(
                planner=planner,
                suspects=suspects,
                canary=parts.policies.canary,
                medians=medians,
            ),
            outcomes=Outcomes(suspects=suspects, medians=medians),
            endings=Endings(
                planner=planner,
                quarantine=suspects.quarantine,
                stragglers=parts.policies.stragglers,
                settings=parts.settings.deadlines,
            ),
            suspects=suspects,
            background=background,
            clock=parts.clock,
            link_timeout_seconds=parts.settings.link_timeout_ms / 1000,
        ),
        canary=parts.policies.canary,
        settings=parts.settings.deadlines,
        clock=parts.clock,
        rng=parts.rng,
    )
