"""Let every relay serve every slice: the naive variant of leases."""

import math
import sys

import attrs

from dragonflyramp.members._links import ConfigurationSource
from dragonflyramp.models import Lease, LeaseState, SliceId
from dragonflyramp.slices import slice_map


@attrs.frozen
class SharedSlices:
    """Implement LeaseTable without leases.

    Nothing keeps two relays from using the same replica at once.
    """

    source: ConfigurationSource

    def lease(self, slice_id: SliceId, now_seconds: float) -> Lease:
        """Give a lease that never ends."""
        return Lease(
            slice_id=slice_id,
            epoch=1,
            state=LeaseState.held,
            until_seconds=math.inf,
        )

    def slice_ids(self) -> tuple[SliceId, ...]:
        """List all slices of the configuration."""
        configuration = self.source.current
        if configuration is None:
            return ()
        return tuple(one.slice_id for one in slice_map(configuration).slices)

    def settled_number(self, now_seconds: float) -> int:
        """Give a number that no configuration exceeds."""
        return sys.maxsize
