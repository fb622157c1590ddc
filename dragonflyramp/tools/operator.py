"""Run dragonflyramp, the operators' command."""

import datetime
import itertools
import os
import pathlib
import sys
import types
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence

import attrs
from aiomisc import entrypoint
from returns.result import Failure

from dragonflyramp import operators
from dragonflyramp.tools import _reports as reports
from dragonflyramp.tools._operator_components import (
    create_operator,
    open_pusher,
)
from dragonflyramp.tools._operator_flags import (
    OperatorSettings,
    parse_command_line,
)
from dragonflyramp.tools._suspect_commands import (
    list_suspects,
    release_suspect,
)


class _UsageError(Exception):
    """Invalid command line."""


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return the exit code."""
    report = _run_command_line(sys.argv if argv is None else argv)
    sys.stdout.buffer.write(report.output.encode())
    sys.stdout.flush()
    sys.stderr.write(''.join(f'{line}\n' for line in report.problems))
    return report.exit_code


def _run_command_line(argv: Sequence[str]) -> reports.Report:
    parse_result = parse_command_line(argv, os.environ)
    if isinstance(parse_result, Failure):
        return reports.report_usage_error(parse_result.failure())
    command_line = parse_result.unwrap()
    try:
        with entrypoint(log_config=False) as loop:
            return loop.run_until_complete(
                _run_command(command_line.settings, command_line.positional)
            )
    except _UsageError as error:
        return reports.report_usage_error(str(error))


async def _run_command(
    settings: OperatorSettings, positional: tuple[str, ...]
) -> reports.Report:
    for name, command in _COMMANDS.items():
        command_words = tuple(name.split())
        word_count = len(command_words)
        if positional[:word_count] == command_words:
            command.check_usage(settings, positional[word_count:])
            return await command.run(settings, positional[-1])
    commands = ', '.join(_COMMANDS)
    raise _UsageError(
        f'the command is missing or unknown; the commands are: {commands}'
    )


@attrs.frozen
class _Command:
    """Function of a command, name of its argument, and required flags."""

    run: Callable[[OperatorSettings, str], Awaitable[reports.Report]]
    argument_name: str = ''
    required_flags: tuple[str, ...] = ()

    def check_usage(
        self, settings: OperatorSettings, arguments: Sequence[str]
    ) -> None:
        """Raise _UsageError if the argument or a required flag is missing."""
        if len(arguments) != bool(self.argument_name):
            expected = self.argument_name or 'no argument'
            raise _UsageError(f'the command takes {expected}')
        for name in self.required_flags:
            if not getattr(settings, name):
                raise _UsageError(f'the command needs --{name}')


async def _check(settings: OperatorSettings, path: str) -> reports.Report:
    return reports.report_problems(operators.check(_read_file(path)))


async def _push(settings: OperatorSettings, path: str) -> reports.Report:
    request = operators.PushRequest(
        text=_read_file(path),
        note=settings.note,
        base=settings.base,
        released_holds=frozenset(settings.release),
    )
    async with open_pusher(settings) as pusher:
        operator = create_operator(settings, _now())
        outcome = await operators.push(pusher, operator, request)
    return reports.report_push(outcome)


async def _show(settings: OperatorSettings, _: str) -> reports.Report:
    async with open_pusher(settings) as pusher:
        return reports.report_text(await operators.show(pusher.text_store))


async def _history(settings: OperatorSettings, _: str) -> reports.Report:
    async with open_pusher(settings) as pusher:
        return reports.report_history(
            await operators.history(pusher.text_store)
        )


async def _zone_out(settings: OperatorSettings, name: str) -> reports.Report:
    request = operators.HoldRequest(
        name=name, reason=settings.reason, confirm_dark=settings.confirm_dark
    )
    async with open_pusher(settings) as pusher:
        operator = create_operator(settings, _now())
        outcome = await operators.add_hold(pusher, operator, request)
    return reports.report_push(outcome)


async def _zone_in(settings: OperatorSettings, name: str) -> reports.Report:
    async with open_pusher(settings) as pusher:
        operator = create_operator(settings, _now())
        outcome = await operators.remove_hold(pusher, operator, name)
    return reports.report_push(outcome)


async def _status(settings: OperatorSettings, _: str) -> reports.Report:
    daemons = await operators.read_metrics(
        settings.daemons, settings.timeout_seconds
    )
    return reports.report_status(daemons)


async def _explain(settings: OperatorSettings, query: str) -> reports.Report:
    if not settings.logs:
        return reports.report_code_meaning(operators.find_result_code(query))
    lines = itertools.chain.from_iterable(map(_read_log, settings.logs))
    return reports.report_request_explanation(
        operators.explain_request(query, lines)
    )


def _read_log(path: str) -> Iterator[operators.LogLine]:
    if path == '-':
        return operators.parse_log('input', sys.stdin)
    text = _read_file(path).decode(errors='replace')
    return operators.parse_log(pathlib.Path(path).stem, text.splitlines())


_READ_FLAGS = ('platform',)
_WRITE_FLAGS = ('platform', 'author')
_COMMANDS: Mapping[str, _Command] = types.MappingProxyType(
    {
        'check': _Command(_check, 'FILE'),
        'push': _Command(_push, 'FILE', _WRITE_FLAGS),
        'show': _Command(_show, '', _READ_FLAGS),
        'history': _Command(_history, '', _READ_FLAGS),
        'zone out': _Command(_zone_out, 'NAME', (*_WRITE_FLAGS, 'reason')),
        'zone in': _Command(_zone_in, 'NAME', _WRITE_FLAGS),
        'status': _Command(_status, '', ('daemons',)),
        'suspects release': _Command(
            release_suspect, 'FINGERPRINT', _READ_FLAGS
        ),
        'suspects': _Command(list_suspects, '', _READ_FLAGS),
        'explain': _Command(_explain, 'CODE or REQUEST-ID'),
    }
)


def _now() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC)


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _UsageError(str(error)) from error


if __name__ == '__main__':
    sys.exit(main())
