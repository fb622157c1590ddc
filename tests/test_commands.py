"""Test the operators' commands, their exit codes and their output."""

import asyncio
import json
import pathlib
import random
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator

import attrs
import pytest
from aiohttp import ClientSession
from returns.result import Failure

from dragonflyramp import operators
from dragonflyramp.members import SUSPECTS_KIND
from dragonflyramp.members._suspect_objects import encode_record
from dragonflyramp.metrics import counters, gauges, latencies
from dragonflyramp.metrics_http import MetricsServer
from dragonflyramp.operators._daemon_metrics_http import _parse_samples
from dragonflyramp.platform import open_store
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.results import ResultCode
from dragonflyramp.suspects import SuspectRecord, Suspicion
from dragonflyramp.tools._reports import report_status
from dragonflyramp.tools.operator import main
from tests.standins.platform import MemoryPlatform
from tests.standins.replica_entries import make_replica_entries

_EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples/forrozeira.toml'
_TEXT = _EXAMPLE.read_bytes()
_REPLICA_ENTRIES = make_replica_entries(operators.parse_text(_TEXT).unwrap())


async def _no_sleep(_: float) -> None:
    await asyncio.sleep(0)


def _pusher(platform: MemoryPlatform) -> operators.Pusher:
    retries = operators.RetryPolicy(rng=random.Random(1), sleep=_no_sleep)
    text_store = operators.TextStore(store=platform, retries=retries)
    return operators.Pusher(text_store, platform)


def _operator(author: str = 'ana') -> operators.Operator:
    rng = random.Random(author)
    return operators.Operator(
        author=author,
        at='2026-12-04T10:00:00Z',
        new_write_id=lambda: str(rng.random()),
    )


def _hold_request(
    name: str, *, confirm_dark: bool = False
) -> operators.HoldRequest:
    return operators.HoldRequest(
        name=name, reason='switch', confirm_dark=confirm_dark
    )


@pytest.fixture
async def platform() -> MemoryPlatform:
    """Return a platform with the example text stored as number 1."""
    memory_platform = MemoryPlatform()
    memory_platform.replace_replicas(_REPLICA_ENTRIES)
    request = operators.PushRequest(text=_TEXT)
    outcome = await operators.push(
        _pusher(memory_platform), _operator(), request
    )
    assert isinstance(outcome, operators.Accepted)
    return memory_platform


async def test_push_takes_base_from_show(platform: MemoryPlatform) -> None:
    """`push` must take its base from the base line that `show` printed."""
    pusher = _pusher(platform)
    shown = (await operators.show(pusher.text_store)).unwrap()
    assert shown == b'# base = 1\n%b' % _TEXT
    edited = operators.PushRequest(text=b'%b# x\n' % shown, note='comment')
    for expected in (operators.Accepted, operators.Refused):
        outcome = await operators.push(pusher, _operator(), edited)
        assert isinstance(outcome, expected)
        edited = attrs.evolve(edited, text=b'%b# y\n' % shown)
    entries = (await operators.history(pusher.text_store)).unwrap()
    assert [entry.note for entry in entries] == ['', 'comment']


async def test_zone_in_restores_text(platform: MemoryPlatform) -> None:
    """Adding and removing a hold must not change the rest of the text."""
    pusher = _pusher(platform)
    added = await operators.add_hold(
        pusher, _operator(), _hold_request('recife')
    )
    repeated = await operators.add_hold(
        pusher, _operator(), _hold_request('recife')
    )
    assert isinstance(added, operators.Accepted)
    assert [hold.name for hold in added.root.holds] == ['recife']
    assert repeated == operators.Accepted(root=added.root, is_changed=False)
    removed = await operators.remove_hold(pusher, _operator(), 'recife')
    assert isinstance(removed, operators.Accepted)
    assert (await pusher.text_store.read_text()).unwrap().text == _TEXT


@pytest.mark.parametrize(
    ('hold_request', 'entries', 'code'),
    [
        (_hold_request('recif'), _REPLICA_ENTRIES, ResultCode.unknown_name),
        (_hold_request('venue-link-0'), _REPLICA_ENTRIES, None),
        (
            _hold_request('recife'),
            _REPLICA_ENTRIES[:1],
            ResultCode.hold_leaves_shard_dark,
        ),
        (
            _hold_request('recife', confirm_dark=True),
            _REPLICA_ENTRIES[:1],
            None,
        ),
        (_hold_request('recife'), None, ResultCode.platform_down),
        (_hold_request('recife', confirm_dark=True), None, None),
        (_hold_request('venue-link-0'), None, ResultCode.platform_down),
    ],
)
async def test_unsafe_hold_is_refused(
    platform: MemoryPlatform,
    hold_request: operators.HoldRequest,
    entries: tuple[ReplicaEntry, ...] | None,
    code: ResultCode | None,
) -> None:
    """A hold must be refused if its name is unknown or a shard goes dark.

    A shard may also go dark if the replicas cannot be listed. `confirm_dark`
    allows both.
    """
    platform.change_faults(is_replica_list_down=entries is None)
    platform.replace_replicas(entries or ())
    outcome = await operators.add_hold(
        _pusher(platform), _operator(), hold_request
    )
    assert isinstance(outcome, operators.Refused) == bool(code)
    if isinstance(outcome, operators.Refused):
        assert [problem.code for problem in outcome.problems] == [code]


async def test_holds_survive_races(platform: MemoryPlatform) -> None:
    """Concurrent changes must not cause a hold to be lost or refused."""
    pusher = _pusher(platform)
    push = operators.PushRequest(text=b'%b# x\n' % _TEXT, base=1)
    outcomes = await asyncio.gather(
        operators.add_hold(pusher, _operator('ana'), _hold_request('recife')),
        operators.add_hold(
            pusher, _operator('rui'), _hold_request('contract-office-1')
        ),
        operators.add_hold(pusher, _operator('eva'), _hold_request('recife')),
        operators.push(pusher, _operator('leo'), push),
    )
    assert all(
        isinstance(outcome, operators.Accepted) for outcome in outcomes[:3]
    )
    root = (await pusher.text_store.read_root()).unwrap().root
    assert root
    assert [hold.name for hold in root.holds] == ['contract-office-1', 'recife']


async def test_hold_with_lost_reply_is_added_once(
    platform: MemoryPlatform,
) -> None:
    """A hold whose reply is lost must be added once and reported accepted."""
    platform.change_faults(lost_replies=1, lost_reply_prefix='texts/')
    outcome = await operators.add_hold(
        _pusher(platform), _operator(), _hold_request('natal')
    )
    assert isinstance(outcome, operators.Accepted)
    assert outcome.root.number == 2


async def test_zone_in_without_table_is_refused(
    platform: MemoryPlatform,
) -> None:
    """Removing a hold must be refused if it is missing or an inline table."""
    pusher = _pusher(platform)
    for text in (_TEXT, _inline_hold()):
        request = operators.PushRequest(text=text, base=1)
        await operators.push(pusher, _operator(), request)
        outcome = await operators.remove_hold(pusher, _operator(), 'natal')
        assert isinstance(outcome, operators.Refused)
        assert outcome.has_code(ResultCode.unknown_name)


def _inline_hold() -> bytes:
    keys = 'kind="failure_domain", by="a", at="2026-12-04", reason="x"'
    return f'{_TEXT.decode()}[holds]\nnatal = {{ {keys} }}\n'.encode()


@pytest.fixture
async def daemon_address() -> AsyncIterator[str]:
    """Serve the metrics of a daemon and return the address."""
    server = MetricsServer(caller_header='Request-Id')
    yield await server.start('127.0.0.1', 0)
    await server.stop()


async def test_status_reads_metrics(daemon_address: str) -> None:
    """An unreachable daemon must not prevent reading the others' metrics."""
    counters.add('refusals', 'test_status', 3)
    addresses = (daemon_address, '127.0.0.1:1')
    answered, unreachable = await operators.read_metrics(addresses, 5)
    sample = 'refusals_total{reason="test_status"}'
    metrics = answered.read_result.unwrap()
    assert [metrics[name] for name in metrics if 'test_status' in name] == [3]
    assert sample.partition('{')[0] in str(metrics)
    assert unreachable.read_result == Failure(ResultCode.daemon_unreachable)


async def test_status_lists_reachable_daemons(daemon_address: str) -> None:
    """The table must list a reachable daemon even if another is unreachable."""
    gauges.register('configuration_version', lambda: 7)
    addresses = (daemon_address, '127.0.0.1:1')
    report = report_status(await operators.read_metrics(addresses, 5))
    header, row = report.output.splitlines()
    assert header.split()[:3] == ['daemon', 'version', 'age']
    assert row.split()[:2] == [daemon_address, '7']
    assert '506 daemon_unreachable' in report.problems[0]


def test_malformed_metrics_are_skipped() -> None:
    """A damaged line must not keep operators from the other metrics."""
    text = 'dragonflyramp_a 1\ndragonflyramp_b x\ndragonflyramp_c 2\n'
    assert dict(_parse_samples(text)) == {'a': 1, 'c': 2}


@pytest.fixture
def platform_address() -> Iterator[str]:
    """Run the store's stand-in in a separate process; return its address."""
    with subprocess.Popen(
        (sys.executable, '-m', 'tests.standins.stores'),
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdout
        yield json.loads(process.stdout.readline())['address']
        process.kill()


async def _register_replicas(platform_address: str) -> None:
    put = [
        ('servers', entry.replica_id, _spec(entry))
        for entry in _REPLICA_ENTRIES
    ]
    async with ClientSession() as session:
        await session.post(
            f'http://{platform_address}/control', json={'put': put}
        )


def _spec(entry: ReplicaEntry) -> dict[str, object]:
    return {
        'service': entry.service,
        'address': entry.address,
        'zone': entry.failure_domain,
        'state': entry.state.value,
        'slots': entry.slots,
        'warmup_left_ms': 0,
        'sequence': 1,
    }


def test_exit_codes_distinguish_outcomes(
    platform_address: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    """The exit code must distinguish accepted, refused and unknown."""
    asyncio.run(_register_replicas(platform_address))
    monkeypatch.setenv('DRAGONFLYRAMP_PLATFORM', platform_address)
    monkeypatch.setenv('DRAGONFLYRAMP_AUTHOR', 'ana')
    edited_file = tmp_path / 'old.toml'
    steps = (
        ('show', 1, '502 object_missing'),
        (f'push {_EXAMPLE}', 0, 'accepted: number 1'),
        ('show', 0, '# base = 1\n# Forro'),
        ('zone out recife --reason=fire', 0, 'accepted: number 2'),
        (
            f'push {edited_file}',
            1,
            '408 stale_base: the text was edited from number 1',
        ),
        (f'push {edited_file} --base=2', 1, '409 hold_protected: set by ana'),
        (f'push {edited_file} --base=2 --release=recife', 0, 'number 3'),
        ('zone in recife', 1, 'recife: 404 unknown_name'),
        ('history', 0, 'ana zone out recife\n1 '),
        ('show --platform=127.0.0.1:1', 3, '500 platform_down'),
    )
    for command, exit_code, expected in steps:
        assert main(['dragonflyramp', *command.split()]) == exit_code
        captured = capfd.readouterr()
        assert expected in captured.out + captured.err
        if command == 'show' and not exit_code:
            edited_file.write_text(f'{captured.out}# old\n')


def test_operator_releases_suspect(
    platform_address: str,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Operators must see a request that is stopped, and can release it."""
    record = SuspectRecord(
        suspicion=Suspicion(service='s1', request_id='q7', crash_rounds=3)
    )
    asyncio.run(_create_record(platform_address, 'f1', record))
    monkeypatch.setenv('DRAGONFLYRAMP_PLATFORM', platform_address)
    steps = (
        ('suspects', 0, 'f1: service s1, rounds 3, last request q7'),
        ('suspects release f2', 1, '502 object_missing'),
        ('suspects release f1', 0, 'released: f1'),
        ('suspects', 0, 'no suspect requests'),
    )
    for command, exit_code, expected in steps:
        assert main(['dragonflyramp', *command.split()]) == exit_code
        captured = capfd.readouterr()
        assert expected in captured.out + captured.err


async def _create_record(
    address: str, fingerprint: str, record: SuspectRecord
) -> None:
    async with open_store(address, 2) as store:
        await store.create(SUSPECTS_KIND, fingerprint, encode_record(record))


@pytest.mark.parametrize(
    ('command', 'exit_code', 'expected'),
    [
        ('check examples/forrozeira.toml', 0, ''),
        ('check missing.toml', 2, 'No such file'),
        ('check', 2, 'the command takes FILE'),
        ('zone', 2, 'the commands are: check, push'),
        ('zone out recife --author=a', 2, 'needs --platform'),
        ('status --daemons=host:1', 2, 'host:1 is not an address'),
        ('status --daemons=127.0.0.1:1', 3, '506 daemon_unreachable'),
        ('show --odd', 2, 'odd'),
        ('push x --base=-1', 2, '--base'),
        ('explain 406', 0, '406 slots_over_connections (not run, HTTP 400)'),
        ('explain 999', 2, 'no such result code'),
    ],
)
def test_failure_prints_one_line(
    command: str,
    exit_code: int,
    expected: str,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    """A failed command must print one line, and its exit code must show why."""
    monkeypatch.chdir(_EXAMPLE.parent.parent)
    assert main(['dragonflyramp', *command.split()]) == exit_code
    captured = capfd.readouterr()
    assert expected in captured.out + captured.err
    assert captured.err.count('\n') == bool(exit_code)


_LOG = """
  1.0 front-a {"time":"t1","message":"configuration in force","version":4}
  1.1 front-a {"time":"t2","message":"store lost","kind":"config"}
  1.2 front-a {"time":"t3","message":"replica listed","replica":"i-1","state":"ready"}
no log line
  1.3 front-a {"time":"t4","message":"request answered","request":"q1","outcome":"partial","elapsed_ms":99.0,"target_ms":90,"times":{"read_delay_ms":1.5,"admitted_ms":1.8,"first_written_ms":2.0,"last_written_ms":9.0,"last_part_ms":80.0,"ended_ms":98.0,"merged_ms":98.9,"new_connection_count":3},"parts":[["s1","cancelled",[["i-1","first",0.1,20.0,98.0,"cancelled"],["i-2","hedge",40.0,20.0,98.0,"cancelled"]]],["s2","connection_reset",[["i-3","first",0.1,20.0,9.0,"lost"]]]]}
"""  # noqa: E501 - log lines as they are written
_OTHER_LOG = """{"time":"t3b","node":"front-b","message":"request refused","request":"q1","code":"no_replica"}
{broken
"""  # noqa: E501 - as above


def test_explain_follows_request_across_daemons(
    tmp_path: pathlib.Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """The logs of the daemons must suffice to explain a failed request."""
    tmp_path.joinpath('a').write_text(_LOG)
    tmp_path.joinpath('b').write_text(_OTHER_LOG)
    logs = f'{tmp_path}/a,{tmp_path}/b'
    assert main(['dragonflyramp', 'explain', 'q1', f'--logs={logs}']) == 0
    output = capfd.readouterr().out
    for expected in (
        't3b front-b: request refused: no_replica',
        't4 front-a: request answered: partial',
        'version 4 in force since t1',
        'new connections for the first sends: 3',
        'waited 1.5 ms to be read; admitted at 1.8 ms, first part sent at 2.0',
        'last part sent at 9.0 ms, last part received at 80.0 ms',
        'search ended at 98.0 ms, answer merged at 98.9 ms',
        'store config lost since t2',
        'first send to i-1 at 0.1 ms, expected 20.0 ms, cancelled at 98.0 ms',
        'replica listed as ready at t3',
        'parts that had not arrived when the answer was due: 1 '
        '(1 of them despite a second send)',
        's2: ',
    ):
        assert expected in output
    assert output.index('front-b') < output.index('front-a')


def test_unlogged_request_is_reported(
    tmp_path: pathlib.Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """A request that no daemon logged must be reported as missing."""
    tmp_path.joinpath('a').write_text(_LOG)
    arguments = ['explain', 'q2', f'--logs={tmp_path}/a']
    assert main(['dragonflyramp', *arguments]) == 1
    assert 'no log line names the request' in capfd.readouterr().err


async def test_latency_buckets_are_cumulative(daemon_address: str) -> None:
    """Histogram buckets must be cumulative, or quantiles are wrong."""
    for latency_ms in (0.5, 7, 9000):
        latencies.record('test', latency_ms)
    daemons = await operators.read_metrics([daemon_address], 5)
    answered = daemons[0]
    buckets = {
        name.partition('le="')[2].partition('"')[0]: count
        for name, count in answered.read_result.unwrap().items()
        if name.startswith('test_latency_ms_bucket')
    }
    assert (buckets['1'], buckets['10'], buckets['+Inf']) == (1, 2, 3)
