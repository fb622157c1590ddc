"""Count the requests in progress."""

import attrs


@attrs.define(eq=False)
class InFlightCounter:
    """Count the requests in progress; used as a context manager."""

    count: int = 0

    def __enter__(self) -> None:
        """Increment the counter."""
        self.count += 1

    def __exit__(self, *exc_info: object) -> None:
        """Decrement the counter."""
        self.count -= 1
