"""Keep the units of one tenant on a front until they expire."""

import attrs

from dragonflyramp.quotas._messages import Settlement


@attrs.define
class _PooledUnits:
    units: int
    ends_at_seconds: float
    #: Identifies units ahead; None for units on demand.
    grant_id: int | None


@attrs.define(eq=False)
class UnitPool:
    """Units of a tenant, each valid until its time."""

    tenant_name: str
    _pooled: list[_PooledUnits] = attrs.field(factory=list)
    #: Ends of grants of units ahead that the quota server was not told of.
    _settlements: list[Settlement] = attrs.field(factory=list)

    @property
    def has_settlements(self) -> bool:
        """Return whether there is something to tell the quota server."""
        return bool(self._settlements)

    def count(self, now_seconds: float) -> int:
        """Return the number of valid units."""
        self.expire(now_seconds)
        return sum(pooled.units for pooled in self._pooled)

    def add(
        self, units: int, ends_at_seconds: float, grant_id: int | None
    ) -> None:
        """Keep units until they expire."""
        if units > 0:
            self._pooled.append(_PooledUnits(units, ends_at_seconds, grant_id))

    def try_take(self, now_seconds: float) -> bool:
        """Take one unit; return False if there is none."""
        self.expire(now_seconds)
        if not self._pooled:
            return False
        first = self._pooled[0]
        first.units -= 1
        if not first.units:
            self._end(first)
        return True

    def expire(self, now_seconds: float) -> None:
        """Give up units whose time is over."""
        expired = [
            pooled
            for pooled in self._pooled
            if pooled.ends_at_seconds <= now_seconds
        ]
        for pooled in expired:
            self._end(pooled)

    def pop_settlements(self) -> tuple[Settlement, ...]:
        """Return the ends of grants that the server was not told of."""
        settlements = tuple(self._settlements)
        self._settlements.clear()
        return settlements

    def _end(self, pooled: _PooledUnits) -> None:
        self._pooled.remove(pooled)
        if pooled.grant_id is not None:
            self._settlements.append(
                Settlement(
                    tenant_name=self.tenant_name,
                    grant_id=pooled.grant_id,
                    unused=pooled.units,
                )
            )
