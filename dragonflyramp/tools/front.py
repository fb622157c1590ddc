"""Run dragonflyramp-front, which answers callers."""

import asyncio
import functools
import os
import sys

from dragonflyramp import logs, metrics, traces
from dragonflyramp.callers import (
    ClaimSettings,
    Front,
    FrontParts,
    FrontSettings,
    Quarantine,
    QuarantineSettings,
    start_server,
)
from dragonflyramp.members import (
    GrpcStreamOpener,
    LinkLimits,
    LinkTools,
    PeerLinks,
    RelayPeer,
    RelayPeers,
    Role,
)
from dragonflyramp.results import ResultCode
from dragonflyramp.runtime import run_daemon, run_until_first
from dragonflyramp.setting_flags import load_or_exit
from dragonflyramp.settings import Settings
from dragonflyramp.tools._cores import Core, log_start, open_core, wait_stop
from dragonflyramp.tools._policies import front_policies, slice_members
from dragonflyramp.tools._quarantines import quarantine_hooks
from dragonflyramp.tools._sockets import split, with_port

_LAST_CALLS_SECONDS = 1


def main() -> None:
    """Start the program; exit code 2 after a bad setting."""
    settings = load_or_exit(sys.argv, os.environ)
    logs.set_up(settings)
    traces.set_up(settings)
    metrics.start_export()
    run_daemon(functools.partial(run_front, settings))


async def run_front(settings: Settings, stop: asyncio.Event) -> None:
    """Run a front until it is asked to stop and has drained."""
    quarantine = Quarantine(_quarantine_settings(settings))
    async with open_core(
        settings, Role.front, quarantine_hooks(quarantine)
    ) as core:
        links = _create_links(core)
        front = _create_front(core, links, quarantine)
        async with core.serving_status(
            functools.partial(_readiness, core, front), dict
        ):
            await core.server.start(core.members_service)
            await run_until_first(
                core.run(),
                _follow_relays(core, links),
                _serve(core, front, stop),
            )
        await links.peers.close()
        await core.server.stop(_LAST_CALLS_SECONDS)


async def _serve(core: Core, front: Front, stop: asyncio.Event) -> None:
    listen_address = core.settings.listen_address
    server = await start_server(front, *split(listen_address))
    listening = with_port(listen_address, server.port)
    log_start(core.own, listen_address=listening)
    await wait_stop(stop, core.own)
    await front.drain(core.clock())
    await server.stop()
    await core.membership.leave()


async def _follow_relays(core: Core, links: PeerLinks) -> None:
    """Keep a link to each relay of the group record."""
    record = core.membership.record
    while True:
        relays = core.membership.peers(Role.relay)
        links.peers.set_peers(
            RelayPeer(relay.member_id, relay.address) for relay in relays
        )
        record = await core.membership.wait_record_change(record)


def _create_links(core: Core) -> PeerLinks:
    silence_seconds = core.settings.peer_silence_seconds
    tools = LinkTools(
        front_id=core.own.member_id,
        opener=GrpcStreamOpener(),
        clock=core.clock,
        rng=core.rng,
        limits=LinkLimits(peer_silence_seconds=silence_seconds),
    )
    return PeerLinks(RelayPeers(tools), slice_members(core))


def _create_front(
    core: Core, links: PeerLinks, quarantine: Quarantine
) -> Front:
    return Front(
        FrontParts(
            links=links,
            source=core.keeper,
            store=core.platform.store,
            rng=core.rng,
            settings=_front_settings(core.settings),
            policies=front_policies(core.settings),
            quarantine=quarantine,
            clock=core.clock,
        )
    )


def _readiness(core: Core, front: Front) -> ResultCode:
    if front.is_ready(core.clock()):
        return ResultCode.ok
    missing = core.readiness()
    return ResultCode.not_ready if missing is ResultCode.ok else missing


def _front_settings(settings: Settings) -> FrontSettings:
    return FrontSettings(
        max_body_bytes=settings.max_body_bytes,
        notice_seconds=settings.drain_notice_seconds,
        settle_notice_seconds=settings.drain_seconds,
        claims=ClaimSettings(
            claim_retention_seconds=settings.claim_retention_seconds
        ),
    )


def _quarantine_settings(settings: Settings) -> QuarantineSettings:
    return QuarantineSettings(quarantine_seconds=settings.quarantine_seconds)


if __name__ == '__main__':
    main()
