"""Show the whole path: `python -m tests.demo`, or `make demo`.

Stand-ins of the store and of replicas, and two real fronts: searches, a
failure domain taken out and brought back, a planned stop under load.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile

import aiohttp

from tests.systems import Answered, FrontProcess, System, call, system

_SEARCHES = 20
#: Two readiness checks a second apart take a front out on the platform.
_SETTLE_SECONDS = 1.0


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _describe(found: Answered) -> str:
    parts = len(found.headers.get('Part-Stamps', '').split(', '))
    missing = found.headers.get('Missing-Parts', '-')
    size = len(found.body)
    return f'{found.status}: {parts} parts, {missing} missing, {size} bytes'


async def _search_all(
    session: aiohttp.ClientSession, front: FrontProcess, title: str
) -> bool:
    """Search a number of times and print what came."""
    answers = [
        await call(session, front, '/search/x', f'{title}-{number}')
        for number in range(_SEARCHES)
    ]
    outcomes = {_describe(found) for found in answers}
    for outcome in sorted(outcomes):
        _say(f'{title}, {_SEARCHES} searches at {front.name}: {outcome}')
    return all(found.headers.get('Missing-Parts') == '0' for found in answers)


def _say_logs(running: System) -> None:
    """Print what the fronts logged of requests that did not go well."""
    for front in running.fronts:
        for line in front.program.lines:
            if 'request' in line:
                _say(f'{front.name}: {line}')


async def _show(running: System, session: aiohttp.ClientSession) -> bool:
    first, second = running.fronts
    store = running.store.store
    complete = [
        await _search_all(session, first, 'calm'),
        await _search_all(session, second, 'calm'),
    ]
    store.put('evacuations', 'natal', {})
    await asyncio.sleep(_SETTLE_SECONDS)
    complete.append(await _search_all(session, first, 'natal out'))
    store.remove('evacuations', 'natal')
    await asyncio.sleep(_SETTLE_SECONDS)
    complete.append(await _search_all(session, first, 'natal back'))
    first.program.send_signal(signal.SIGTERM)
    complete.append(await _search_all(session, second, 'first stops'))
    code = await first.program.wait()
    _say(f'{first.name} stopped with exit code {code}')
    return all(complete) and code == 0


async def _run() -> int:
    with tempfile.TemporaryDirectory() as folder:
        async with system(pathlib.Path(folder), fronts=2) as running:
            async with aiohttp.ClientSession() as session:
                is_complete = await _show(running, session)
            if not is_complete:
                _say_logs(running)
    _say('all answers complete' if is_complete else 'ANSWERS INCOMPLETE')
    return 0 if is_complete else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(_run()))
