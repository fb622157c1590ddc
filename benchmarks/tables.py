"""Print tables of aligned columns."""

import os
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeAlias

Cells: TypeAlias = Sequence[str]


def render(head: Cells, rows: Iterable[Cells]) -> str:
    """Align the columns; the first one to the left, the others to the right.

    >>> print(render(('tier', 'p99'), [('ours', '5.0'), ('naive', '10.0')]))
    tier    p99
    ours    5.0
    naive  10.0
    """
    lines = [head, *rows]
    columns = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return '\n'.join(_render_line(line, widths) for line in lines)


def render_number(number: float, digits: int) -> str:
    """Give a number with a fixed number of decimals."""
    return format(number, f'.{digits}f')


def render_share(share: float) -> str:
    """Give a share as a percentage.

    >>> render_share(0.0513)
    '5.1%'
    """
    return format(share, '.1%')


def render_range(numbers: Sequence[float], digits: int) -> str:
    """Give the spread of several runs.

    >>> render_range([2.0, 1.25], 1)
    '1.2-2.0'
    """
    ends = (min(numbers), max(numbers))
    return '-'.join(render_number(end, digits) for end in ends)


def render_counts(counts: Mapping[str, int]) -> str:
    """List counts by name, or say that there are none.

    >>> render_counts({'shed': 2, 'no_replica': 1})
    'shed 2, no_replica 1'
    """
    pairs = [f'{name} {count}' for name, count in counts.items()]
    return ', '.join(pairs) or 'none'


def say(text: str = '') -> None:
    """Print at once, so that a long run shows its progress."""
    print(text, flush=True)


def load_average() -> str:
    """Give the machine's load average of the last minute.

    More than the number of processors means that others disturbed the run.
    """
    return render_number(os.getloadavg()[0], 1)


def _render_line(cells: Cells, widths: Sequence[int]) -> str:
    first = cells[0].ljust(widths[0])
    others = map(str.rjust, cells[1:], widths[1:])
    return '  '.join((first, *others)).rstrip()
