"""Keep the snapshots that one replica holds."""

from collections.abc import Iterable

import attrs

from dragonflyramp.models import Snapshot

#: A status may be older than a reply that denied the snapshot.
_MISSING_SECONDS = 3


@attrs.define
class HeldSnapshots:
    """Follow the snapshots that the status or the replies show."""

    _held: dict[str, Snapshot] = attrs.field(factory=dict)
    _missing_until: dict[str, float] = attrs.field(factory=dict)

    def listed(self) -> tuple[Snapshot, ...]:
        """List the snapshots held."""
        return tuple(self._held.values())

    def has(self, snapshot_id: str) -> bool:
        """Tell whether a snapshot is held."""
        return snapshot_id in self._held

    def replace(
        self, snapshots: Iterable[Snapshot], now_seconds: float
    ) -> None:
        """Take over a status, except what a reply has just denied."""
        self._missing_until = {
            snapshot_id: until
            for snapshot_id, until in self._missing_until.items()
            if until > now_seconds
        }
        self._held = {
            snapshot.snapshot_id: snapshot
            for snapshot in snapshots
            if snapshot.snapshot_id not in self._missing_until
        }

    def note_shown(self, snapshot_id: str, documents: int) -> None:
        """Take in that a reply came from a snapshot."""
        if snapshot_id not in self._held:
            self._held[snapshot_id] = Snapshot(
                snapshot_id=snapshot_id,
                generation=0,
                documents=documents,
                total_documents=None,
            )

    def note_missing(self, snapshot_id: str, now_seconds: float) -> None:
        """Take in that a reply denied a snapshot."""
        self._held.pop(snapshot_id, None)
        self._missing_until[snapshot_id] = now_seconds + _MISSING_SECONDS

    def clear(self) -> None:
        """Forget everything; another instance may hold others."""
        self._held = {}
        self._missing_until = {}
