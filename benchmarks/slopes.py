"""Hold measured figures as median and spread, and print them."""

import statistics
import time
from collections.abc import Callable, Iterable, Sequence

import attrs

from benchmarks import tables

#: Every figure is measured at least this often.
RUNS = 5
_MICROSECONDS = 1_000_000


@attrs.frozen
class Figure:
    """Hold the samples of one figure, one for each run."""

    name: str
    unit: str
    samples: tuple[float, ...]
    digits: int = 1

    @property
    def median(self) -> float:
        """Give the middle one of the samples."""
        return statistics.median(self.samples)

    def cells(self) -> tuple[str, str, str, str, str]:
        """Give the row of a table."""
        return (
            self.name,
            tables.render_number(self.median, self.digits),
            tables.render_range(self.samples, self.digits),
            str(len(self.samples)),
            self.unit,
        )


def print_figures(title: str, figures: Iterable[Figure]) -> None:
    """Print one table of figures."""
    head = (title, 'median', 'spread', 'runs', 'unit')
    rows = [figure.cells() for figure in figures]
    tables.say()
    tables.say(tables.render(head, rows))


def processor_figure(
    name: str, step: Callable[[], object], *, repeats: int = 1
) -> Figure:
    """Measure the processor time of a step, after one that is not counted.

    Each run takes the step several times, for a time well above the
    resolution of the clock.
    """
    step()
    samples = []
    for _ in range(RUNS):
        started_seconds = time.process_time()
        for _ in range(repeats):
            step()
        spent_seconds = time.process_time() - started_seconds
        samples.append(spent_seconds * _MICROSECONDS / repeats)
    return Figure(name, 'us', tuple(samples))


def exact_figure(name: str, unit: str, number: float) -> Figure:
    """Hold a figure that is counted, and the same in every run."""
    return Figure(name, unit, (number,) * RUNS, digits=0)


def fit_line(
    points: Sequence[tuple[float, float]],
) -> tuple[float, float]:
    """Fit a line by least squares; give its value at 0 and its slope.

    >>> fit_line([(1, 5), (2, 7), (3, 9)])
    (3.0, 2.0)
    """
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.intercept, line.slope
