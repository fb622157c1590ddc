"""Draw a series of faults from a seed."""

import enum
import random

import attrs


class Kind(enum.Enum):
    """Name the faults; `how` of a fault picks a variant."""

    front_kill = 'front_kill'
    front_freeze = 'front_freeze'
    front_term = 'front_term'
    front_hangup = 'front_hangup'
    all_killed = 'all_killed'
    store_down = 'store_down'
    store_slow = 'store_slow'
    store_cut = 'store_cut'
    store_reset = 'store_reset'
    store_lost = 'store_lost'
    store_history = 'store_history'
    replica_cut = 'replica_cut'
    replica_delay = 'replica_delay'
    replica_reset = 'replica_reset'
    replica_garble = 'replica_garble'
    replica_shed = 'replica_shed'
    replica_drain = 'replica_drain'
    configuration = 'configuration'


#: Planned work; callers must not notice it on its own.
PLANNED = frozenset(
    (
        Kind.front_term,
        Kind.front_hangup,
        Kind.replica_drain,
        Kind.configuration,
    )
)


@attrs.frozen(kw_only=True)
class Fault:
    """Hold one fault: when it strikes, for how long, and whom."""

    kind: Kind
    at_seconds: float
    for_seconds: float
    #: Picks the front or the replica, and the variant.
    number: int

    @property
    def is_planned(self) -> bool:
        """Tell whether this is planned work."""
        return self.kind in PLANNED


def draw(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Draw faults that overlap; the last third of the time is left calm."""
    rng = random.Random(seed)
    faults = []
    at_seconds = 0.5
    while at_seconds < seconds * 2 / 3:
        faults.append(
            Fault(
                kind=rng.choice(tuple(Kind)),
                at_seconds=at_seconds,
                for_seconds=rng.uniform(0.3, 2),
                number=rng.randrange(1000),
            )
        )
        at_seconds += rng.uniform(0.1, 1.2)
    return tuple(faults)
