"""State the users' sizes, as section 1.7 of the design page gives them.

Slots, connections and the cost of a connection are in examples/*.toml. The
service times are assumptions: the design page gives none.
"""

import attrs

from tests.systems import EXAMPLES

_MS = 1000

#: Each user runs 6 to 7 entry VMs with a relay each. Three fronts carry the
#: load of these runs, and leave cores for the stand-ins on one machine.
RELAYS = 6
FRONTS = 3
BACKEND_PROCESSES = 3


@attrs.frozen(kw_only=True)
class UserSize:
    """Describe a user's fleet and load; latencies are one way."""

    name: str
    searched: tuple[str, ...]
    replicas: int
    slots: int
    domain_latency_ms: float
    caller_latency_ms: float
    service_ms: float = 8
    service_spread: float = 0.5
    #: Searches in steady state, of all searched services together.
    per_second: float = 30
    #: Time that every server takes longer at overload, so that the slots
    #: and not the processors of this machine are the bottleneck.
    overload_extra_ms: float
    #: Searches while replicas warm up.
    warm_per_second: float = 24

    @property
    def text(self) -> str:
        """Read the operators' text."""
        return (EXAMPLES / f'{self.name}.toml').read_text('utf-8')

    def slots_per_second(self) -> float:
        """Give the searches of one service that its slots serve at overload."""
        mean_ms = self.service_ms * (1 + self.service_spread / 2)
        mean_ms += self.overload_extra_ms
        return self.replicas * self.slots * _MS / mean_ms


FORROZEIRA = UserSize(
    name='forrozeira',
    searched=('planner-desk', 'couple-portal'),
    replicas=3,
    slots=3,
    domain_latency_ms=1.5,
    caller_latency_ms=1,
    overload_extra_ms=140,
)
HEREDIA = UserSize(
    name='heredia',
    searched=('cotizador', 'facturacion'),
    replicas=3,
    slots=4,
    domain_latency_ms=0.5,
    caller_latency_ms=3,
    overload_extra_ms=240,
)
USERS = (FORROZEIRA, HEREDIA)


def describe(size: UserSize) -> list[str]:
    """Say what is assumed."""
    searched = ' and '.join(size.searched)
    longest_ms = size.service_ms * (1 + size.service_spread)
    return [
        f'{RELAYS} relays, {FRONTS} fronts',
        f'{searched}: {size.replicas} replicas of each shard',
        f'{size.slots} slots of each replica',
        f'one-way latency to servers {size.domain_latency_ms} ms',
        f'one-way latency to callers {size.caller_latency_ms} ms',
        f'service time {size.service_ms} to {longest_ms} ms',
        f'at overload {size.overload_extra_ms} ms more',
    ]
