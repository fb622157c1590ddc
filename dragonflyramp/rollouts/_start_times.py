"""Keep when each rollout began, also if its order was read late."""

import math
from collections.abc import Callable

import attrs

from dragonflyramp.rollouts._orders import RolloutOrder
from dragonflyramp.rollouts._records import RolloutRecord

#: A record that is found within this time after the start of the process may
#: be of a rollout that began before; it states when.
_STARTING_SECONDS = 10
#: A longer gap in the confirmations of a view is an outage, during which the
#: order may have been written.
_OUTAGE_SECONDS = 4
#: Most of the duration that may count as passed when an order is read late;
#: the rest is needed to test the version.
_MAX_MISSED_SHARE = 0.3
_MS_PER_SECOND = 1000


@attrs.define(eq=False)
class StartTimes:
    """Monotonic times at which the rollouts of the services began."""

    process_started_at_seconds: float
    #: Returns the Unix time in ms.
    wall_clock_ms: Callable[[], int]
    _by_service: dict[str, float] = attrs.field(factory=dict)
    _confirmed_at_seconds: float = -math.inf

    def note_confirmation(self, confirmed_at_seconds: float) -> None:
        """Remember when the store last confirmed the orders."""
        self._confirmed_at_seconds = confirmed_at_seconds

    def begin(self, order: RolloutOrder, now_seconds: float) -> None:
        """Set the start of an order that was read now.

        After an outage, it may have been written since the last confirmation.
        """
        missed_seconds = now_seconds - self._confirmed_at_seconds
        if not _OUTAGE_SECONDS < missed_seconds < math.inf:
            missed_seconds = 0
        max_missed_seconds = order.duration_seconds * _MAX_MISSED_SHARE
        self._by_service[order.service] = now_seconds - min(
            missed_seconds, max_missed_seconds
        )

    def adopt(
        self, order: RolloutOrder, record: RolloutRecord, now_seconds: float
    ) -> None:
        """Use the start in a record that is older than this process."""
        process_seconds = now_seconds - self.process_started_at_seconds
        if process_seconds >= _STARTING_SECONDS:
            return
        elapsed_ms = self.wall_clock_ms() - record.started_ms
        elapsed_seconds = min(
            elapsed_ms / _MS_PER_SECOND, order.duration_seconds
        )
        self._by_service[order.service] = min(
            self._by_service.get(order.service, now_seconds),
            now_seconds - elapsed_seconds,
        )

    def began_at_seconds(self, service: str, now_seconds: float) -> float:
        """Return when the rollout of a service began; now if not known."""
        return self._by_service.get(service, now_seconds)
