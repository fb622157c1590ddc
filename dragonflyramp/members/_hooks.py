"""Define what membership needs of the rest of a daemon."""

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from dragonflyramp.members._messages import Quarantined
from dragonflyramp.models import Configuration, SliceId, WarmthEntry

#: Fingerprints in one message; a front quarantines few at a time.
_MAX_QUARANTINED = 256


class AdoptedConfiguration(Protocol):
    """Give the adopted configuration and look for a newer one."""

    @property
    def current(self) -> Configuration | None:
        """Return the adopted configuration, or None before the first."""

    def hint(self, number: int, address: str) -> None:
        """Note that a member at an address showed a number."""


def _no_warmth(slice_id: SliceId) -> tuple[WarmthEntry, ...]:
    return ()


def _load_nothing(
    slice_id: SliceId, epoch: int, replicas: Sequence[WarmthEntry]
) -> None:
    """Drop a warmth table, as a daemon that serves no slices does."""


def _no_quarantine() -> tuple[Quarantined, ...]:
    return ()


def _add_nothing(quarantined: Sequence[Quarantined]) -> None:
    """Drop fingerprints that another member quarantined."""


@attrs.frozen(kw_only=True)
class MembershipHooks:
    """Connect membership to warmth tables and quarantined fingerprints.

    Every daemon passes quarantined fingerprints on, also one that does not
    use them, because any member can be the writer.
    """

    warmth_of: Callable[[SliceId], Sequence[WarmthEntry]] = _no_warmth
    load_warmth: Callable[[SliceId, int, Sequence[WarmthEntry]], None] = (
        _load_nothing
    )
    list_quarantined: Callable[[], Sequence[Quarantined]] = _no_quarantine
    add_quarantined: Callable[[Sequence[Quarantined]], None] = _add_nothing


def bounded_quarantine(hooks: MembershipHooks) -> tuple[Quarantined, ...]:
    """List the fingerprints that one message carries."""
    return tuple(hooks.list_quarantined())[:_MAX_QUARANTINED]
