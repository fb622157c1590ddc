"""Compose what both daemons share: membership, configuration, status."""

import asyncio
import contextlib
import random
import secrets
import socket
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
from loguru import logger

from dragonflyramp import metrics, operators
from dragonflyramp.members import (
    AdoptedTexts,
    ConfigurationKeeper,
    GrpcMemberCalls,
    MemberDescription,
    MemberServer,
    Membership,
    MembershipHooks,
    MembershipInputs,
    MembershipSettings,
    MembersService,
    PartContent,
    Role,
    SpreadInputs,
)
from dragonflyramp.models import MemberId
from dragonflyramp.platform import Platform, open_platform
from dragonflyramp.results import ResultCode
from dragonflyramp.runtime import run_together
from dragonflyramp.settings import Settings
from dragonflyramp.tools._sockets import bind, with_port
from dragonflyramp.tools._texts import StoredTextCodec

_MEMBER_ID_BYTES = 8


@attrs.define(eq=False, kw_only=True)
class Core:
    """Hold the parts that a front and a relay have in common."""

    settings: Settings
    platform: Platform
    own: MemberDescription
    rng: random.Random
    server: MemberServer
    membership: Membership
    keeper: ConfigurationKeeper
    calls: GrpcMemberCalls
    _status_socket: socket.socket
    _texts: AdoptedTexts

    @property
    def clock(self) -> Callable[[], float]:
        """Return the clock that gives monotonic seconds."""
        return time.monotonic

    @property
    def members_service(self) -> MembersService:
        """Return what answers the calls of other members."""
        return MembersService(self.membership.service, self.keeper.service)

    async def run(self) -> None:
        """Run the tasks of membership and configuration until cancelled."""
        await run_together(self.membership.run(), self.keeper.run())

    @contextlib.asynccontextmanager
    async def serving_status(
        self,
        readiness: Callable[[], ResultCode],
        describe: Callable[[], dict[str, Any]],
    ) -> AsyncIterator[None]:
        """Serve the status interface for the length of the context."""
        view = operators.DaemonView(
            status=lambda: {**self.describe(readiness()), **describe()},
            readiness=readiness,
            offer=self._take_offer,
            metrics=metrics.render,
        )
        server = await operators.serve_status(view, self._status_socket)
        try:
            yield
        finally:
            await server.stop()

    def readiness(self) -> ResultCode:
        """Tell what both daemons need before they take work."""
        if self.keeper.current is None:
            return ResultCode.no_configuration
        if self.keeper.is_isolated(self.clock()):
            return ResultCode.isolated
        return ResultCode.ok

    def describe(self, readiness: ResultCode) -> dict[str, Any]:
        """Describe membership and configuration for the status page."""
        record = self.membership.record
        return {
            'member_id': self.own.member_id,
            'role': self.own.role.value,
            'failure_domain': self.own.failure_domain,
            'readiness': readiness.name,
            'configuration': self._texts.number,
            'writer': record.writer,
            'renewal': record.renewal,
            'members': len(record.members),
            'counters': metrics.counters.as_dict(),
        }

    async def _take_offer(self, offer: operators.Offer) -> operators.OfferReply:
        code = await self.keeper.take_operator_offer(
            operators.encode_root(offer.root),
            [PartContent(*part) for part in offer.parts.items()],
        )
        return operators.OfferReply(code, self._texts.number)


@contextlib.asynccontextmanager
async def open_core(
    settings: Settings, role: Role, hooks: MembershipHooks
) -> AsyncIterator[Core]:
    """Compose the common parts; nothing runs before `Core.run`."""
    membership_settings = _membership_settings(settings)
    timeout_seconds = membership_settings.platform_timeout_seconds
    calls = GrpcMemberCalls()
    async with open_platform(
        settings.platform_address, timeout_seconds
    ) as platform:
        try:
            yield _compose(settings, role, platform, calls, hooks)
        finally:
            await calls.close()


def _compose(
    settings: Settings,
    role: Role,
    platform: Platform,
    calls: GrpcMemberCalls,
    hooks: MembershipHooks,
) -> Core:
    server = MemberServer()
    status_socket = bind(settings.status_address)
    member_port = server.bind(settings.member_address)
    own = MemberDescription(
        member_id=MemberId(secrets.token_hex(_MEMBER_ID_BYTES)),
        role=role,
        address=with_port(settings.member_address, member_port),
        status_address=with_port(
            settings.status_address, status_socket.getsockname()[1]
        ),
        failure_domain=settings.failure_domain,
    )
    texts = AdoptedTexts()
    inputs = MembershipInputs(
        own=own,
        seeds=settings.peers,
        settings=_membership_settings(settings),
        store=platform.store,
        calls=calls,
        configuration=texts,
        vm_list=platform.vms,
        clock=time.monotonic,
        rng=random.Random(own.member_id),
        hooks=hooks,
    )
    membership = Membership(inputs)
    return Core(
        settings=settings,
        platform=platform,
        own=own,
        rng=inputs.rng,
        server=server,
        membership=membership,
        keeper=_create_keeper(inputs, membership, texts),
        calls=calls,
        status_socket=status_socket,
        texts=texts,
    )


def _create_keeper(
    inputs: MembershipInputs, membership: Membership, texts: AdoptedTexts
) -> ConfigurationKeeper:
    return ConfigurationKeeper(
        SpreadInputs(
            view=membership.view,
            settings=inputs.settings,
            store=inputs.store,
            calls=inputs.calls,
            codec=StoredTextCodec(),
            texts=texts,
            rng=inputs.rng,
        )
    )


def _membership_settings(settings: Settings) -> MembershipSettings:
    return MembershipSettings(
        group=settings.group,
        renewal_period_seconds=settings.renewal_period_seconds,
        lease_term_seconds=settings.lease_term_seconds,
        isolation_seconds=settings.isolation_seconds,
    )


def log_start(own: MemberDescription, **addresses: str) -> None:
    """Log the addresses that the daemon listens on."""
    logger.bind(
        member_id=own.member_id,
        member_address=own.address,
        status_address=own.status_address,
        **addresses,
    ).info('{} started', own.role.value)


async def wait_stop(stop: asyncio.Event, own: MemberDescription) -> None:
    """Wait until the daemon is asked to stop."""
    await stop.wait()
    logger.info('{} {} is asked to stop', own.role.value, own.member_id)
