"""Read the metrics of daemons over HTTP."""

import asyncio
import contextlib
from collections.abc import Iterator, Mapping, Sequence
from http import HTTPStatus

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.results import ResultCode

_METRIC_PREFIX = 'dragonflyramp_'


@attrs.frozen
class DaemonMetrics:
    """Metrics of one daemon by name, or the result code of a failed read."""

    address: str
    read_result: Result[Mapping[str, float], ResultCode]


async def read_metrics(
    addresses: Sequence[str], timeout_seconds: float
) -> tuple[DaemonMetrics, ...]:
    """Read the metrics of several daemons concurrently.

    Addresses are `IP:port`. The timeout applies to each daemon. A result
    fails with daemon_unreachable or bad_reply.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_seconds)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        read_results = await asyncio.gather(
            *(_read_daemon_metrics(session, address) for address in addresses)
        )
    return tuple(map(DaemonMetrics, addresses, read_results))


async def _read_daemon_metrics(
    session: aiohttp.ClientSession, address: str
) -> Result[Mapping[str, float], ResultCode]:
    try:
        async with session.get(f'http://{address}/metrics') as reply:
            if reply.status != HTTPStatus.OK:
                return Failure(ResultCode.bad_reply)
            text = await reply.text()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Failure(ResultCode.daemon_unreachable)
    return Success(dict(_parse_samples(text)))


def _parse_samples(text: str) -> Iterator[tuple[str, float]]:
    """Yield the metrics with `_METRIC_PREFIX`; strip it from their names.

    Malformed lines are skipped.
    """
    for line in text.splitlines():
        name, _, sample_value = line.rpartition(' ')
        if name.startswith(_METRIC_PREFIX):
            with contextlib.suppress(ValueError):
                yield name.removeprefix(_METRIC_PREFIX), float(sample_value)
