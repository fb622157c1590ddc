"""Compare the page for operators with the code."""

import pathlib
import re

_ROOT = pathlib.Path(__file__).parent.parent
_SOURCES = '\n'.join(
    path.read_text() for path in _ROOT.joinpath('dragonflyramp').rglob('*.py')
)
_TABLE_NAMES = re.compile('`([a-z_]+)`')


def _table_names() -> set[str]:
    """Read the first column of the tables of metrics."""
    page = _ROOT.joinpath('docs/OPERATIONS.md').read_text()
    section = page.partition('## Metrics')[2].partition('\n## ')[0]
    rows = [line for line in section.splitlines() if line.startswith('| `')]
    return {
        name for row in rows for name in _TABLE_NAMES.findall(row.split('|')[1])
    }


def _code_names() -> set[str]:
    counted = re.findall(r"counters\.add\(\s*'(\w+)'", _SOURCES)
    timed = re.findall(r"(?:latencies|metrics)\.record\('(\w+)'", _SOURCES)
    watched = re.findall(r"gauges\.watch\(\s*'(\w+)'", _SOURCES)
    return {*counted, *(f'{name}_latency_ms_bucket' for name in timed)} | {
        *watched,
        *(f'{name}_age_seconds' for name in _VIEWS),
        *(f'replicas_{name}' for name in _STATES),
    }


#: Gauges whose names are put together.
_VIEWS = ('configuration', 'entries', 'holds', 'daemons')
_STATES = ('ready', 'draining', 'suspect', 'cold')


def test_every_metric_is_explained() -> None:
    """An engineer finds each metric on the page, and none that is gone."""
    assert _table_names() == _code_names()
