"""Exchange quarantined fingerprints with the heartbeats of members."""

import time
from collections.abc import Sequence

import attrs

from dragonflyramp.callers import Quarantine
from dragonflyramp.members import MembershipHooks, Quarantined


def quarantine_hooks(quarantine: Quarantine) -> MembershipHooks:
    """Connect a quarantine to membership."""
    exchange = QuarantineExchange(quarantine)
    return MembershipHooks(
        list_quarantined=exchange.entries, add_quarantined=exchange.add
    )


@attrs.frozen(eq=False)
class QuarantineExchange:
    """Translate between the quarantine and heartbeats."""

    quarantine: Quarantine

    def entries(self) -> tuple[Quarantined, ...]:
        """List what to pass on."""
        return tuple(
            Quarantined(entry.fingerprint, entry.remaining_ms)
            for entry in self.quarantine.entries(time.monotonic())
        )

    def add(self, quarantined: Sequence[Quarantined]) -> None:
        """Take over what other members quarantined."""
        now_seconds = time.monotonic()
        for entry in quarantined:
            self.quarantine.add(
                entry.fingerprint, entry.remaining_ms, now_seconds
            )
