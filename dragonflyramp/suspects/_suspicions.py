"""Define what a daemon knows of a request that ended replicas.

A replica also ends by itself while it runs a popular request, so ends are
counted in rounds: an end is a further round only if the attempt was sent by a
daemon that knew of the previous round.
"""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

#: A request that ended replicas in this many rounds is not sent any more.
MAX_CRASH_ROUNDS = 3
#: Longer ids of callers are cut off.
_MAX_ID_CHARS = 128


@attrs.frozen(kw_only=True)
class Suspicion:
    """What a daemon knows of a request that ended replicas."""

    #: Service of the replica that ended last.
    service: str = ''
    #: Id of the caller's attempt under which that replica ended.
    request_id: str = ''
    #: How often a success has cleared the suspicion.
    clear_count: int = 0
    #: Rounds in which replicas ended since the suspicion was cleared.
    crash_rounds: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which the later one of two suspicions holds."""
        return (self.clear_count, self.crash_rounds)

    def with_next_round(self, service: str, request_id: str) -> 'Suspicion':
        """Return the suspicion after one more round."""
        return Suspicion(
            service=service,
            request_id=request_id[:_MAX_ID_CHARS],
            clear_count=self.clear_count,
            crash_rounds=self.crash_rounds + 1,
        )

    def cleared(self) -> 'Suspicion':
        """Return the suspicion after a success."""
        return Suspicion(clear_count=self.clear_count + 1)


NO_SUSPICION = Suspicion()
#: Suspicions by the fingerprints of their requests.
Suspicions = Mapping[str, Suspicion]
NO_SUSPICIONS: Suspicions = MappingProxyType({})


@attrs.frozen
class SuspicionReport:
    """Suspicions that changed up to a version of a daemon's table."""

    version: int = 0
    suspicions: Suspicions = NO_SUSPICIONS
