"""Trace the changes that a ramp policy makes."""

from collections.abc import Callable

import attrs

from dragonflyramp import traces
from dragonflyramp.backends._ramp import (
    Capacity,
    Completion,
    RampPolicy,
    RampState,
)
from dragonflyramp.models import Warmth


@attrs.frozen
class TracedRamp:
    """Apply another policy and trace each change of warmth or limit."""

    ramp: RampPolicy
    clock: Callable[[], float]

    def start(self, capacity: Capacity, now_seconds: float) -> RampState:
        """Start as the policy does."""
        return self.ramp.start(capacity, now_seconds)

    def restart(self, state: RampState, now_seconds: float) -> None:
        """Return to cold as the policy does."""
        before = attrs.asdict(state)
        self.ramp.restart(state, now_seconds)
        _trace('restart', before, state, now_seconds)

    def resume(self, state: RampState, warmth: Warmth, limit: float) -> None:
        """Take over as the policy does."""
        before = attrs.asdict(state)
        self.ramp.resume(state, warmth, limit)
        _trace('resume', before, state, self.clock())

    def limit(self, state: RampState, now_seconds: float) -> int:
        """Give the policy's limit."""
        return self.ramp.limit(state, now_seconds)

    def note_start(self, state: RampState, now_seconds: float) -> None:
        """Count as the policy does."""
        self.ramp.note_start(state, now_seconds)

    def note_end(
        self, state: RampState, completion: Completion, now_seconds: float
    ) -> None:
        """Learn as the policy does."""
        before = attrs.asdict(state)
        self.ramp.note_end(state, completion, now_seconds)
        _trace('note_end', before, state, now_seconds, completion)


def _trace(
    event: str,
    before: dict[str, object],
    state: RampState,
    now_seconds: float,
    completion: Completion | None = None,
) -> None:
    if (before['warmth'], before['limit']) == (state.warmth, state.limit):
        return
    traces.decisions.write(
        'ramp',
        now_seconds,
        {
            'event': event,
            'before': before,
            'completion': completion,
            'warmth': state.warmth,
            'limit': state.limit,
        },
    )
