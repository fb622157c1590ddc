"""Lease the share of this front, and serve the leases of others."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Protocol

import attrs

from dragonflyramp.metrics import counters
from dragonflyramp.quotas._messages import (
    GrantReply,
    GrantRequest,
    LeaseOffer,
    LeaseStamp,
)
from dragonflyramp.quotas._servers import QuotaServer
from dragonflyramp.quotas._shares import KnownDaemons, ShareLeases
from dragonflyramp.runtime import TaskSet

_TICK_SECONDS = 0.25
#: Pause after a renewal without an answer.
_RENEWAL_RETRY_SECONDS = 1.0


class GrantClient(Protocol):
    """Connection to the quota servers on other daemons."""

    async def request_grants(
        self, hub_name: str, request: GrantRequest
    ) -> GrantReply | None:
        """Send a message to a hub; return None if there is no answer."""


class QuotaLeasing(Protocol):
    """What the regular messages between daemons carry for quotas."""

    def build_offer(self, hub_name: str) -> LeaseOffer | None:
        """Return the lease offer of a message to a hub, if any."""

    def accept_offer(self, offer: LeaseOffer | None) -> None:
        """Apply the lease offer in a message of another daemon."""

    def build_stamp(self, offer: LeaseOffer | None) -> LeaseStamp | None:
        """Return the stamp of a reply to a message with an offer, if any."""

    def record_stamp(self, hub_name: str, stamp: LeaseStamp | None) -> None:
        """Keep the stamp in a message of a hub."""

    def answer_request(self, request: GrantRequest) -> GrantReply | None:
        """Apply a message of another front; return None without quotas."""


@attrs.frozen
class NoQuotaLeasing(QuotaLeasing):
    """Take no part in quotas."""

    def build_offer(self, hub_name: str) -> None:
        """Return None: nothing is leased."""

    def accept_offer(self, offer: LeaseOffer | None) -> None:
        """Ignore an offer."""

    def build_stamp(self, offer: LeaseOffer | None) -> None:
        """Return None: no lease is accepted."""

    def record_stamp(self, hub_name: str, stamp: LeaseStamp | None) -> None:
        """Ignore a stamp."""

    def answer_request(self, request: GrantRequest) -> None:
        """Return None: nothing is granted."""


@attrs.define(eq=False, kw_only=True)
class QuotaNode(QuotaLeasing):
    """Quota server of this daemon, and leases of its own share."""

    server: QuotaServer
    leases: ShareLeases
    #: Returns the time in seconds, suspension of the machine included.
    clock: Callable[[], float]
    find_daemons: Callable[[], KnownDaemons]
    #: Returns whether the store confirmed the known daemons lately.
    is_confirmed: Callable[[], bool]
    #: Returns whether any tenant may have a quota.
    is_active: Callable[[], bool]
    client: GrantClient

    def refresh(self, now_seconds: float) -> None:
        """Take note of the known daemons, and lease the share to this one."""
        self.leases.update(self.find_daemons(), now_seconds)
        self.server.leases.is_confirmed = self.is_confirmed()
        own_name = self.server.own_name
        self.leases.record_stamp(
            own_name, self.server.stamp(None, now_seconds), now_seconds
        )
        offer = self.leases.build_offer(own_name, now_seconds)
        self.accept_offer(offer)
        self.leases.record_stamp(
            own_name, self.server.stamp(offer, now_seconds), now_seconds
        )
        self.server.remove_ended_leases(now_seconds)

    def build_offer(self, hub_name: str) -> LeaseOffer | None:
        """Return the lease offer of a message to a hub, if any."""
        if not self.is_active():
            return None
        return self.leases.build_offer(hub_name, self.clock())

    def accept_offer(self, offer: LeaseOffer | None) -> None:
        """Apply the lease offer in a message of another daemon."""
        if offer is not None:
            self.server.leases.accept(offer, self.clock())

    def build_stamp(self, offer: LeaseOffer | None) -> LeaseStamp | None:
        """Return the stamp of a reply to a message with an offer, if any."""
        if not self.is_active():
            return None
        return self.server.stamp(offer, self.clock())

    def record_stamp(self, hub_name: str, stamp: LeaseStamp | None) -> None:
        """Keep the stamp in a message of a hub."""
        if stamp is not None:
            self.leases.record_stamp(hub_name, stamp, self.clock())

    def answer_request(self, request: GrantRequest) -> GrantReply:
        """Apply a message of another front, and grant what there is."""
        return self.server.answer_request(request, self.clock())

    async def send(
        self, hub_name: str, request: GrantRequest
    ) -> GrantReply | None:
        """Send a message to a hub, which may be this daemon."""
        if hub_name == self.server.own_name:
            return self.answer_request(request)
        counters.add('quota_messages', 'ask' if request.asks else 'renewal')
        reply = await self.client.request_grants(hub_name, request)
        if reply is None:
            counters.add('quota_messages', 'unanswered')
        else:
            self.record_stamp(hub_name, reply.stamp)
        return reply


@attrs.define(eq=False)
class LeaseRenewals:
    """Renew the leases of a front's share that polls have not renewed."""

    node: QuotaNode
    _pending: dict[str, asyncio.Task[object]] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    async def run(self) -> None:
        """Renew leases until cancelled."""
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(self._tasks.cancel)
            while True:
                if self.node.is_active():
                    self._renew_due(self.node.clock())
                await asyncio.sleep(_TICK_SECONDS)

    def _renew_due(self, now_seconds: float) -> None:
        self.node.refresh(now_seconds)
        leases = self.node.leases
        for hub_name in leases.other_hub_names():
            pending = self._pending.get(hub_name)
            is_idle = pending is None or pending.done()
            if is_idle and leases.needs_renewal(hub_name, now_seconds):
                self._pending[hub_name] = self._tasks.start(
                    self._renew(hub_name), 'quota_renewal'
                )

    async def _renew(self, hub_name: str) -> None:
        request = GrantRequest(offer=self.node.build_offer(hub_name))
        if await self.node.send(hub_name, request) is None:
            await asyncio.sleep(_RENEWAL_RETRY_SECONDS)
