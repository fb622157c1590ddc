"""Count the documents that an answer covers.

>>> count = DocumentCount(total=100, reported={'a': 60, 'b': 40})
>>> count.add('a', 60)
>>> count.fraction
0.6
>>> count.add('b', 50)
>>> count.fraction is None
True
"""

from collections.abc import Mapping

import attrs

#: Fractions are rounded down to this many steps, so that rounding never
#: overstates the coverage.
_STEPS = 10**6


@attrs.define(kw_only=True)
class DocumentCount:
    """Count merged documents against the layout's total.

    `reported` holds the documents per shard that relays reported. Counts
    that contradict the total or the reports make the total unknown.
    """

    total: int | None
    reported: Mapping[str, int]
    merged: int = 0
    _layout_sum: int = attrs.field(
        default=attrs.Factory(
            lambda count: sum(count.reported.values()), takes_self=True
        ),
        init=False,
    )
    _is_contradicted: bool = attrs.field(default=False, init=False)

    def add(self, shard: str, documents: int) -> None:
        """Add the documents of one shard's part."""
        reported = self.reported.get(shard)
        if reported is not None and documents > reported:
            self._is_contradicted = True
        self.merged += documents
        self._layout_sum += documents - (reported or 0)

    @property
    def known_total(self) -> int | None:
        """Return the total, or None when it is unknown or contradicted."""
        if self._is_contradicted or not self.total:
            return None
        return None if self._layout_sum > self.total else self.total

    @property
    def fraction(self) -> float | None:
        """Return the covered fraction, rounded down, or None if unknown."""
        total = self.known_total
        if total is None:
            return None
        return self.merged * _STEPS // total / _STEPS
