"""Run a front: load its settings, serve, reload them, drain at a stop."""

import asyncio
import contextlib
import functools
import os
import signal
import sys

from loguru import logger
from returns.result import Failure

from dragonflyramp import logs
from dragonflyramp.machine_settings import MachineSettings
from dragonflyramp.platform import (
    SETTINGS_PATH_VARIABLE,
    open_store,
    read_settings,
)
from dragonflyramp.results import ResultCode
from dragonflyramp.runtime import run_daemon, run_until_first
from dragonflyramp.setting_flags import load_or_exit
from dragonflyramp.settings import Settings
from dragonflyramp.tools._front_components import (
    FrontComponents,
    create_components,
)
from dragonflyramp.tools._front_views import create_decoder, create_room

_BAD_SETTING_EXIT_CODE = 2
#: The settings file is read at least this often, because it may change without
#: a SIGHUP.
_RELOAD_INTERVAL_SECONDS = 5.0


def run() -> None:
    """Run a front until it is stopped; exit with code 2 on a bad setting."""
    settings = load_or_exit(sys.argv, os.environ)
    read_result = read_settings(os.environ.get(SETTINGS_PATH_VARIABLE, ''))
    if isinstance(read_result, Failure):
        number = int(ResultCode.bad_setting)
        sys.stderr.write(f'error {number}: {read_result.failure()}\n')
        sys.exit(_BAD_SETTING_EXIT_CODE)
    logs.configure_logging(settings, read_result.unwrap().node)
    run_daemon(functools.partial(run_front, settings, read_result.unwrap()))


async def run_front(
    settings: Settings, machine: MachineSettings, stop: asyncio.Event
) -> None:
    """Run a front until the stop event is set and it has drained."""
    async with open_store(
        machine.store_address,
        settings.store_timeout_seconds,
        create_room(create_decoder(settings), machine),
    ) as store:
        components = create_components(settings, machine, store)
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(components.close)
            await run_until_first(
                components.run(), _reload(machine), _serve(components, stop)
            )


async def _serve(components: FrontComponents, stop: asyncio.Event) -> None:
    """Listen until the stop event is set, then drain."""
    addresses = await components.listen()
    logger.bind(**addresses, node=components.machine.node).info('front started')
    await stop.wait()
    logger.bind(node=components.machine.node).info('front stops')
    await components.stop()
    logger.bind(node=components.machine.node).info('front stopped')


async def _reload(machine: MachineSettings) -> None:
    """Read the settings file again at each SIGHUP and periodically."""
    sighup_received = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, sighup_received.set)
    last_read = machine
    while True:
        try:
            async with asyncio.timeout(_RELOAD_INTERVAL_SECONDS):
                await sighup_received.wait()
        except TimeoutError:
            last_read = _reload_settings(last_read, is_requested=False)
        else:
            sighup_received.clear()
            last_read = _reload_settings(last_read, is_requested=True)


def _reload_settings(
    previous: MachineSettings, *, is_requested: bool
) -> MachineSettings:
    """Read the settings file again and log whether it changed.

    The running front keeps its settings, such as the addresses; changes take
    effect at the next start.
    """
    read_result = read_settings(os.environ.get(SETTINGS_PATH_VARIABLE, ''))
    if isinstance(read_result, Failure):
        logger.bind(reason=read_result.failure()).warning(
            'settings not reloaded'
        )
        return previous
    latest = read_result.unwrap()
    if is_requested or latest != previous:
        logger.bind(is_changed=latest != previous).info('settings reloaded')
    return latest
