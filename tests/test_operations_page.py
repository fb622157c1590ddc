"""Compare the metrics on the operators' page with those in the code."""

import pathlib
import re

_ROOT = pathlib.Path(__file__).parent.parent
_SOURCES = '\n'.join(
    path.read_text() for path in _ROOT.joinpath('dragonflyramp').rglob('*.py')
)
_METRIC_NAME_PATTERN = re.compile('`([a-z_]+)`')


def _documented_metrics() -> set[str]:
    """Return the names in the first column of the tables of metrics."""
    page = _ROOT.joinpath('docs/OPERATIONS.md').read_text()
    section = page.partition('## Metrics')[2].partition('\n## ')[0]
    rows = [line for line in section.splitlines() if line.startswith('| `')]
    return {
        name
        for row in rows
        for name in _METRIC_NAME_PATTERN.findall(row.split('|')[1])
    }


def _defined_metrics() -> set[str]:
    counter_names = re.findall(r"counters\.add\(\s*'(\w+)'", _SOURCES)
    latency_names = re.findall(
        r"(?:latencies|metrics)\.record\(\s*'(\w+)'", _SOURCES
    )
    gauge_names = re.findall(r"gauges\.register\(\s*'(\w+)'", _SOURCES)
    return {
        *counter_names,
        *(f'{name}_latency_ms_bucket' for name in latency_names),
    } | {
        *gauge_names,
        *(f'{name}_age_seconds' for name in _VIEW_NAMES),
        *(f'replicas_{name}' for name in _REPLICA_STATES),
    }


#: The varying parts of gauge names that the code composes.
_VIEW_NAMES = ('configuration', 'entries', 'holds', 'daemons')
_REPLICA_STATES = ('ready', 'draining', 'suspect', 'cold')


def test_every_metric_is_documented() -> None:
    """The page must list each metric, and none that no longer exists."""
    assert _documented_metrics() == _defined_metrics()
