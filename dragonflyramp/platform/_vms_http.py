"""Encode calls to the platform's VM list over HTTP."""

from collections.abc import Sequence
from http import HTTPStatus
from urllib.parse import quote

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.converters import decode_json
from dragonflyramp.models import Replica, VmState
from dragonflyramp.platform._calls_http import (
    Call,
    Exchange,
    Reply,
    count_failure,
    refuse,
)
from dragonflyramp.platform._vms import VirtualMachine, VmList, VmListing
from dragonflyramp.results import ResultCode

#: 16 MB; 110,000 replicas of about 130 bytes each are 14 MB.
_MAX_LISTING_BYTES = 16777216
_MAX_VERSION_LENGTH = 200
#: HTTP servers commonly refuse a request line of more than 8 KB.
_MAX_QUERY_BYTES = 6000
_PAIR_OVERHEAD = len('service=&')


class HttpVmList(VmList):
    """Reach the VM list at `IP:port`, with a timeout for each call."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_seconds: float,
    ) -> None:
        """Use a session that the caller closes."""
        self._exchange = Exchange(session, address)
        self._timeout_seconds = timeout_seconds

    async def list_vms(
        self, services: Sequence[str], known_version: str
    ) -> Result[VmListing | None, ResultCode]:
        """List the VMs of services; fail as `VmList` states.

        Only the first call asks whether the list changed. A change between
        two calls shows at the next listing, because the version of the
        first one is kept.
        """
        first, *rest = _batches(services)
        listed = count_failure('vms', await self._list(first, known_version))
        if listed.value_or(None) is None:
            return listed
        listing = listed.unwrap()
        machines = list(listing.machines) if listing else []
        for batch in rest:
            more = count_failure('vms', await self._list(batch, ''))
            found = more.value_or(None)
            if found is None:
                return more
            machines.extend(found.machines)
        return listed.map(
            lambda one: one and attrs.evolve(one, machines=tuple(machines))
        )

    async def _list(
        self, services: Sequence[str], known_version: str
    ) -> Result[VmListing | None, ResultCode]:
        headers = {'If-None-Match': known_version} if known_version else {}
        reply = await self._exchange.call(
            Call(
                kind='vms',
                path='/vms',
                query=tuple(('service', service) for service in services),
                headers=headers,
                timeout_seconds=self._timeout_seconds,
                max_reply_bytes=_MAX_LISTING_BYTES,
            )
        )
        return reply.bind(lambda taken: _read_listing(known_version, taken))


def _batches(services: Sequence[str]) -> list[list[str]]:
    """Divide services so that each query fits into a request line."""
    batches: list[list[str]] = [[]]
    size = 0
    for service in services:
        pair_size = len(quote(service)) + _PAIR_OVERHEAD
        if size + pair_size > _MAX_QUERY_BYTES and batches[-1]:
            batches.append([])
            size = 0
        batches[-1].append(service)
        size += pair_size
    return batches


@attrs.frozen
class _VmRecord:
    """Mirror one VM of the listing's JSON."""

    id: str
    service: str
    address: str
    failure_domain: str
    state: VmState


@attrs.frozen
class _ListingRecord:
    """Mirror the listing's JSON."""

    version: str
    vms: tuple[_VmRecord, ...]


def _read_listing(
    known_version: str, reply: Reply
) -> Result[VmListing | None, ResultCode]:
    if known_version and reply.status == HTTPStatus.NOT_MODIFIED:
        return Success(None)
    if reply.status != HTTPStatus.OK:
        return refuse(reply)
    record = decode_json(reply.body, _ListingRecord)
    return record.lash(lambda _: Failure(ResultCode.bad_reply)).bind(_listing)


def _listing(
    record: _ListingRecord,
) -> Result[VmListing | None, ResultCode]:
    version = record.version
    # The version is sent back in a header.
    is_header = version.isascii() and version.isprintable() and version
    if not is_header or len(version) > _MAX_VERSION_LENGTH:
        return Failure(ResultCode.bad_reply)
    machines = tuple(_machine(vm) for vm in record.vms)
    return Success(VmListing(version=version, machines=machines))


def _machine(record: _VmRecord) -> VirtualMachine:
    return VirtualMachine(
        replica=Replica(
            replica_id=record.id,
            shard=record.service,
            address=record.address,
            failure_domain=record.failure_domain,
        ),
        state=record.state,
    )
