"""Pass on what relays know of replicas, so that these stay warm."""

from collections.abc import Iterable, Sequence

import attrs

from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._latencies import RequestKind
from dragonflyramp.backends._replicas import ReplicaState, log_warmth
from dragonflyramp.metrics import counters
from dragonflyramp.models import SliceId, Warmth, WarmthEntry

_MS_PER_SECOND = 1000
_RANKS = (Warmth.cold, Warmth.warming, Warmth.warm)


@attrs.frozen
class _KeptTable:
    """Hold a table until its slice is served."""

    entries: tuple[WarmthEntry, ...]
    until_seconds: float


class WarmthTables:
    """Export the state of replicas, and take over what others exported."""

    def __init__(self, context: TierContext) -> None:
        """Start without tables."""
        self._context = context
        self._kept: dict[SliceId, _KeptTable] = {}

    def export(
        self, states: Iterable[ReplicaState], now_seconds: float
    ) -> tuple[WarmthEntry, ...]:
        """List what is known of the replicas that are not leaving."""
        exported: list[WarmthEntry] = []
        for state in states:
            silent = self._context.observer.is_silent(state, now_seconds)
            leaving = self._context.policies.leaving.is_leaving(state.leaving)
            if state.instance_id and not leaving and not silent:
                exported.append(_entry(state))
        return tuple(exported)

    def keep(
        self,
        slice_id: SliceId,
        entries: Sequence[WarmthEntry],
        now_seconds: float,
    ) -> None:
        """Keep a table for replicas that are not known yet."""
        keep_seconds = self._context.settings.warmth_keep_seconds
        table = _KeptTable(tuple(entries), now_seconds + keep_seconds)
        self._kept[slice_id] = table

    def adopt_kept(
        self, slice_id: SliceId, state: ReplicaState, now_seconds: float
    ) -> None:
        """Take over what a kept table says of a replica."""
        table = self._kept.get(slice_id)
        if table is None:
            return
        if now_seconds >= table.until_seconds:
            self._kept.pop(slice_id)
            return
        for entry in table.entries:
            if entry.replica_id == state.replica.replica_id:
                self.adopt(entry, state, now_seconds, held=False)

    def adopt(
        self,
        entry: WarmthEntry,
        state: ReplicaState,
        now_seconds: float,
        *,
        held: bool,
    ) -> None:
        """Take over an entry unless this relay knows better.

        The holder of a lease knows better when the entry is not warmer, and
        any relay does when the replica turned cold here a short time ago.
        """
        if not self._is_about(entry, state, now_seconds):
            counters.add('warmth_entries', 'ignored')
            return
        warmer = _RANKS.index(entry.warmth) > _RANKS.index(state.ramp.warmth)
        if held and not warmer:
            return
        counters.add('warmth_entries', 'adopted')
        state.instance_id = entry.instance_id
        former = state.ramp.warmth
        ramp = self._context.policies.ramp
        ramp.resume(state.ramp, entry.warmth, entry.limit)
        latency = state.latencies[RequestKind.search]
        if latency.seconds is None and entry.latency_ms > 0:
            latency.add(entry.latency_ms / _MS_PER_SECOND, now_seconds)
        if state.ramp.warmth is not former:
            log_warmth(state, 'warmth_table')

    def _is_about(
        self, entry: WarmthEntry, state: ReplicaState, now_seconds: float
    ) -> bool:
        if not entry.instance_id:
            return False
        if entry.instance_id in state.former_instances:
            return False
        if state.instance_id not in {'', entry.instance_id}:
            return False
        cold_seconds = now_seconds - state.ramp.demoted_seconds
        return cold_seconds >= self._context.settings.warmth_distrust_seconds


def _entry(state: ReplicaState) -> WarmthEntry:
    latency_seconds = state.latencies[RequestKind.search].seconds or 0
    return WarmthEntry(
        replica_id=state.replica.replica_id,
        instance_id=state.instance_id,
        warmth=state.ramp.warmth,
        limit=state.ramp.limit,
        latency_ms=latency_seconds * _MS_PER_SECOND,
    )
