"""Format the outcomes of commands, and choose their exit codes."""

import enum
from collections.abc import Iterable, Mapping, Sequence

import attrs
from returns.result import Failure, Result

from dragonflyramp.operators import (
    Accepted,
    DaemonMetrics,
    HistoryEntry,
    Problem,
    PushOutcome,
    Refused,
)
from dragonflyramp.results import ResultCode


class ExitCode(enum.IntEnum):
    """Exit codes of the operators' command.

    `unknown` means that the outcome of a push is unknown, or that the platform
    or a daemon could not be read.
    """

    ok = 0
    refused = 1
    bad_usage = 2
    unknown = 3


@attrs.frozen(kw_only=True)
class Report:
    """Output and exit code of a command; problems go to standard error."""

    exit_code: ExitCode = ExitCode.ok
    output: str = ''
    problems: tuple[str, ...] = ()


def report_usage_error(sentence: str) -> Report:
    """Report an invalid command line."""
    problem = Problem(code=ResultCode.bad_setting, sentence=sentence)
    return Report(exit_code=ExitCode.bad_usage, problems=(str(problem),))


def report_problems(problems: Iterable[Problem]) -> Report:
    """Report the problems that a check found."""
    lines = tuple(map(str, problems))
    if lines:
        return Report(exit_code=ExitCode.refused, problems=lines)
    return Report(output='no problems found\n')


def report_push(outcome: PushOutcome) -> Report:
    """Report the outcome of a push or of a change of a hold."""
    if isinstance(outcome, Accepted):
        change = 'accepted' if outcome.is_changed else 'already in force'
        number = outcome.root.number
        return Report(output=f'{change}: number {number}\n')
    if isinstance(outcome, Refused):
        output = f'{outcome.diff}\n' if outcome.diff else ''
        report = report_problems(outcome.problems)
        return attrs.evolve(report, output=output)
    problems = (str(outcome.problem),)
    return Report(exit_code=ExitCode.unknown, problems=problems)


def report_text(read_result: Result[bytes, ResultCode]) -> Report:
    """Report the stored text."""
    if isinstance(read_result, Failure):
        return report_read_failure(read_result.failure())
    return Report(output=read_result.unwrap().decode())


def report_history(
    read_result: Result[tuple[HistoryEntry, ...], ResultCode],
) -> Report:
    """Report the changes in the history, the latest first."""
    if isinstance(read_result, Failure):
        return report_read_failure(read_result.failure())
    lines = [
        ' '.join((str(entry.number), entry.at, entry.author, entry.note))
        for entry in reversed(read_result.unwrap())
    ]
    return Report(output=join_lines(lines))


def report_status(daemons: Sequence[DaemonMetrics]) -> Report:
    """Report the main metrics of daemons, and those that are unreachable."""
    lines = [
        _format_row(daemon.address, daemon.read_result.unwrap())
        for daemon in daemons
        if not isinstance(daemon.read_result, Failure)
    ]
    if lines:
        headings = (heading for heading, _ in _COLUMNS)
        lines.insert(0, _align_cells('daemon', headings))
    problems = tuple(
        str(_daemon_problem(daemon.address, daemon.read_result.failure()))
        for daemon in daemons
        if isinstance(daemon.read_result, Failure)
    )
    return Report(
        exit_code=ExitCode.unknown if problems else ExitCode.ok,
        output=join_lines(lines),
        problems=problems,
    )


def report_code_meaning(code: ResultCode | None) -> Report:
    """Report the meaning of a result code."""
    if code is None:
        return report_usage_error(
            'no such result code; to explain a request id, set --logs'
        )
    meaning = code.meaning
    run_state = meaning.run_state.value
    http_status = meaning.http_status.value
    words = (
        str(code.value),
        code.name,
        f'({run_state}, HTTP {http_status}):',
        meaning.sentence,
    )
    return Report(output=join_lines([' '.join(words)]))


def report_request_explanation(explanation: Sequence[str]) -> Report:
    """Report the explanation of a request from log lines."""
    if explanation:
        return Report(output=join_lines(explanation))
    sentence = 'no log line names the request'
    problem = Problem(code=ResultCode.object_missing, sentence=sentence)
    return Report(exit_code=ExitCode.refused, problems=(str(problem),))


def report_read_failure(code: ResultCode) -> Report:
    """Report that the platform could not be read, or has no such object."""
    problem = Problem(code=code, sentence=code.meaning.sentence)
    is_missing = code is ResultCode.object_missing
    return Report(
        exit_code=ExitCode.refused if is_missing else ExitCode.unknown,
        problems=(str(problem),),
    )


def _daemon_problem(address: str, code: ResultCode) -> Problem:
    return Problem(code=code, key=address, sentence=code.meaning.sentence)


def join_lines(lines: Iterable[str]) -> str:
    """Return a text that ends each line with a line break."""
    return ''.join(f'{line}\n' for line in lines)


def _format_row(address: str, metrics: Mapping[str, float]) -> str:
    numbers = (metrics.get(name, 0) for _, name in _COLUMNS)
    return _align_cells(address, (format(number, '.4g') for number in numbers))


def _align_cells(first_cell: str, other_cells: Iterable[str]) -> str:
    cells = (cell.rjust(_COLUMN_WIDTH) for cell in other_cells)
    return ''.join((first_cell.ljust(_ADDRESS_WIDTH), *cells))


_ADDRESS_WIDTH = 22
_COLUMN_WIDTH = 10
#: The heading of each column and the metric that it shows.
_COLUMNS = (
    ('version', 'configuration_version'),
    ('age s', 'configuration_age_seconds'),
    ('entries s', 'entries_age_seconds'),
    ('daemons', 'daemons_counted'),
    ('ready', 'replicas_ready'),
    ('draining', 'replicas_draining'),
    ('suspect', 'replicas_suspect'),
    ('cold', 'replicas_cold'),
    ('skipped', 'entries_skipped'),
    ('blocked', 'requests_blocked'),
    ('bad holds', 'holds_unreadable'),
    ('budget', 'budget_left_share'),
    ('ok', 'answers_total{reason="ok"}'),
    ('partial', 'answers_total{reason="partial"}'),
    ('late', 'answers_total{reason="late"}'),
)
