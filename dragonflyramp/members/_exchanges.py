"""Read and write one stream from a front to a relay."""

import asyncio
import contextlib
from collections.abc import Callable

from loguru import logger

from dragonflyramp.members._connections import Connection
from dragonflyramp.members._streams import (
    FrontMessage,
    KeepAlive,
    Parts,
    RelayMessage,
)
from dragonflyramp.messages import Part, Query, Report, Submit, SubmitOutcome
from dragonflyramp.metrics import counters
from dragonflyramp.runtime import run_until_first


async def exchange(
    connection: Connection,
    clock: Callable[[], float],
    close_silence_seconds: float,
) -> None:
    """Read and write until the stream closes, then tell all who wait."""
    async with contextlib.AsyncExitStack() as cleanup:
        cleanup.push_async_callback(connection.stream.close)
        cleanup.callback(_lose, connection)
        await run_until_first(
            _read_all(connection, clock),
            _write_all(connection),
            _wait_silence(connection, clock, close_silence_seconds),
            connection.finished.wait(),
        )


async def _read_all(connection: Connection, clock: Callable[[], float]) -> None:
    is_open = True
    while is_open:
        message = await connection.stream.receive()
        connection.last_heard_seconds = clock()
        is_open = message is not None and _take(connection, message)


async def _write_all(connection: Connection) -> None:
    while True:
        message = await connection.outbox.get()
        if _may_write(connection, message):
            is_written = await connection.stream.send(message)
            if not is_written:
                _note_unsent(connection, message)


async def _wait_silence(
    connection: Connection, clock: Callable[[], float], limit_seconds: float
) -> None:
    silent_seconds = clock() - connection.last_heard_seconds
    while silent_seconds < limit_seconds:
        await asyncio.sleep(limit_seconds - silent_seconds)
        silent_seconds = clock() - connection.last_heard_seconds
    counters.add('relay_streams', 'silent')


def _take(connection: Connection, message: RelayMessage) -> bool:
    """Pass on a message; False when another relay sent it."""
    match message:
        case Part():
            _take_part(connection, message)
        case Parts():
            for part in message.parts:
                _take_part(connection, part)
        case SubmitOutcome():
            connection.submits.finish(message)
        case Report():
            return _take_report(connection, message)
        case KeepAlive():
            """Only the time at which it was heard matters."""
    return True


def _take_part(connection: Connection, part: Part) -> None:
    if part.query_id in connection.queries:
        connection.inboxes.deliver(part)
    else:
        counters.add('dropped_parts', 'late')


def _take_report(connection: Connection, report: Report) -> bool:
    if report.relay_id != connection.relay_id:
        counters.add('relay_streams', 'other_relay')
        return False
    if connection.report is None:
        logger.info('relay {} connected', connection.relay_id)
    connection.report = report
    return True


def _may_write(connection: Connection, message: FrontMessage) -> bool:
    if isinstance(message, Submit):
        return connection.submits.begin(message.submit_id)
    return True


def _note_unsent(connection: Connection, message: FrontMessage) -> None:
    counters.add('unsent_messages', 'not_written')
    match message:
        case Query():
            connection.inboxes.lose(message.query_id, connection.relay_id)
            connection.forget_query(message.query_id)
        case Submit():
            connection.submits.refuse(message.submit_id)


def _lose(connection: Connection) -> None:
    if connection.report is not None:
        logger.info('relay {} disconnected', connection.relay_id)
    connection.report = None
    connection.submits.lose()
    for query_id in connection.queries:
        connection.inboxes.lose(query_id, connection.relay_id)
    connection.queries.clear()
