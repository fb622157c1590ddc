"""Bound extra sends to a fraction of all first sends."""

import attrs


@attrs.define
class Budget:
    """Earn a fraction of a send with each first send, spend whole ones.

    >>> budget = Budget(fraction=0.5, burst=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.spend()
    True
    """

    fraction: float
    burst: float = 5
    saved: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start full, so that a quiet service can retry too."""
        self.saved = self.burst if self.fraction > 0 else 0

    def earn(self) -> None:
        """Count a first send."""
        self.saved = min(self.saved + self.fraction, self.burst)

    def spend(self) -> bool:
        """Take one extra send if there is one."""
        if self.fraction <= 0 or self.saved < 1:
            return False
        self.saved -= 1
        return True
