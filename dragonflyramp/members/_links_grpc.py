"""Request changes from other daemons, and serve their requests, over gRPC."""

import asyncio
import contextlib
import functools
import json
import math
import zlib
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
from grpc import (
    StatusCode,
    aio,
    method_handlers_generic_handler,
    unary_unary_rpc_method_handler,
)
from loguru import logger

from dragonflyramp.members._grants_grpc import (
    GRANT_METHOD,
    LinkGrantClient,
    answer_grant_request,
)
from dragonflyramp.members._memberships import Daemon
from dragonflyramp.members._sync_messages import (
    SyncRequest,
    SyncResponse,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)
from dragonflyramp.members._synchronizers import (
    NO_PROGRESS,
    LinkProgress,
    ViewSynchronizer,
    lacks_changes,
)
from dragonflyramp.members._view_updates import UpdateEncoder, encode_json
from dragonflyramp.metrics import counters
from dragonflyramp.object_limits import DECODE_ERRORS, has_few_values
from dragonflyramp.runtime import TaskSet
from dragonflyramp.views import Fields

_Message = TypeVar('_Message', SyncRequest, SyncResponse)

_SERVICE = 'dragonflyramp.Members'
_METHOD = 'Ask'
#: How long a backup hub delays its response after a change. By then the primary
#: hub has usually sent the change, and the request to the backup hub has been
#: replaced.
_BACKUP_RESPONSE_DELAY_SECONDS = 0.3
#: A response that takes longer than the requested wait plus this margin
#: indicates a network partition or a frozen daemon.
_RESPONSE_MARGIN_SECONDS = 0.6
#: A daemon whose requests have failed for this long is not used as a hub until
#: it responds again.
_UNREACHABLE_AFTER_SECONDS = 1.0
#: Delays after a failed request, to a reachable and to an unreachable daemon.
_RETRY_DELAY_SECONDS = 0.2
_PROBE_DELAY_SECONDS = 1.0
#: A request is not replaced sooner than this after it was sent. Responses that
#: are under way would be lost and sent again each time: with 60 fronts and many
#: ends of replicas, hubs with links of 10 Mbit/s answered nothing for seconds.
_MIN_RENEWAL_SECONDS = 0.3
#: Pause between requests, which limits their rate while changes follow each
#: other quickly.
_REQUEST_PAUSE_SECONDS = 0.02
#: Enough for the entries of about ten thousand replicas.
_MAX_MESSAGE_BYTES = 10 * 1024 * 1024
#: Smaller messages gain nothing from compression.
_COMPRESSION_THRESHOLD_BYTES = 512
#: Bounds the memory that a message takes. A longer one is cut off here and
#: then rejected, because it is no longer valid JSON.
_MAX_DECOMPRESSED_BYTES = 16_777_216
#: Requests have samples, notices and suspicions, but no objects.
_MAX_REQUEST_BYTES = 1_048_576
#: Metadata of a request of a daemon has about 200 bytes.
_MAX_METADATA_BYTES = 8192
#: A daemon sends its HTTP/2 settings with its connection.
_HANDSHAKE_TIMEOUT_MS = 3000
#: A daemon has one request on a connection, and one that it has cancelled.
_MAX_CONCURRENT_STREAMS = 16
#: `max_fds` of the smallest VM in force; used where the settings have none.
_DEFAULT_MAX_DESCRIPTORS = 4100
#: An eighth of the descriptors that are not reserved for files is for other
#: daemons.
_FILE_DESCRIPTORS = 200
_DESCRIPTOR_DIVISOR = 8
_MIN_CONNECTIONS = 16
#: The fastest level of zlib.
_COMPRESSION_LEVEL = 1

_OPTIONS = (
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.min_reconnect_backoff_ms', 500),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_http_proxy', 0),
    ('grpc.so_reuseport', 0),
)
_CLIENT_OPTIONS = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    *_OPTIONS,
)
_SERVER_OPTIONS = (
    ('grpc.max_receive_message_length', _MAX_REQUEST_BYTES),
    ('grpc.max_metadata_size', _MAX_METADATA_BYTES),
    ('grpc.absolute_max_metadata_size', _MAX_METADATA_BYTES),
    ('grpc.server_handshake_timeout_ms', _HANDSHAKE_TIMEOUT_MS),
    ('grpc.max_concurrent_streams', _MAX_CONCURRENT_STREAMS),
    *_OPTIONS,
)


@attrs.define(eq=False)
class SyncServer:
    """Respond to other daemons' requests for changes over gRPC."""

    _synchronizer: ViewSynchronizer
    _clock: Callable[[], float]
    #: `max_fds` of the VM; 0 if unknown.
    _max_descriptors: int = 0
    _server: aio.Server | None = None
    _encoder: UpdateEncoder = attrs.field(factory=UpdateEncoder)

    async def start(self, address: str) -> int:
        """Listen on an address and return the port.

        Raise RuntimeError if the address cannot be bound.
        """
        max_connections = _connection_limit(self._max_descriptors)
        server = aio.server(
            options=(
                *_SERVER_OPTIONS,
                ('grpc.max_allowed_incoming_connections', max_connections),
            )
        )
        methods = {
            _METHOD: unary_unary_rpc_method_handler(self._handle_request),
            GRANT_METHOD: unary_unary_rpc_method_handler(
                functools.partial(
                    answer_grant_request, self._synchronizer.quota_leasing
                )
            ),
        }
        server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(_SERVICE, methods),)
        )
        port = server.add_insecure_port(address)
        await server.start()
        self._server = server
        return port

    async def stop(self) -> None:
        """Close the port and cancel open requests."""
        if self._server is not None:
            await self._server.stop(None)

    async def _handle_request(
        self, body: bytes, context: aio.ServicerContext[Any, Any]
    ) -> bytes:
        request = _decode_message(body, decode_request)
        if request is None:
            await context.abort(StatusCode.INVALID_ARGUMENT)
        now_seconds = self._clock()
        self._synchronizer.store_era.observe(request.store_era, now_seconds)
        self._synchronizer.cluster.membership.record_contact(
            request.sender, now_seconds
        )
        self._synchronizer.slow_replica_detector.add_peer_samples(
            request.samples, now_seconds
        )
        self._synchronizer.replica_notices.record_reported(
            request.leaving, now_seconds
        )
        self._synchronizer.crash_suspects.apply_report(
            request.suspicions, now_seconds
        )
        self._synchronizer.rollout_answers.apply_report(
            request.sender.name, request.rollout_report
        )
        self._synchronizer.quota_leasing.accept_offer(request.quota_offer)
        await self._synchronizer.wait_for_changes(request)
        response = self._synchronizer.build_response(request, self._clock())
        return serialize_response(response, self._encoder)


@attrs.define(eq=False)
class Link:
    """Long-poll one other daemon for changes."""

    address: str
    #: The daemon at the address; None for a seed until its first response.
    daemon: Daemon | None
    _synchronizer: ViewSynchronizer
    _clock: Callable[[], float]
    #: Returns whether the other daemon is this daemon's primary hub.
    _is_primary: Callable[[], bool]
    #: Connection to the other daemon, while it works.
    channel: aio.Channel | None = None
    _pending_request: asyncio.Task[bytes] | None = None
    _sent_at_seconds: float = -math.inf
    #: Timer that replaces the open request.
    _renewal: asyncio.TimerHandle | None = None
    _failing_since_seconds: float | None = None
    _progress: LinkProgress = NO_PROGRESS
    _is_connected: bool = False

    def renew_request(self) -> None:
        """Replace the open request with one that has the current revisions.

        A request that was sent a moment ago is replaced later, unless it is
        answered before.
        """
        pending = self._pending_request
        if pending is None or pending.done() or self._renewal is not None:
            return
        delay_seconds = (
            self._sent_at_seconds + _MIN_RENEWAL_SECONDS - self._clock()
        )
        if delay_seconds <= 0:
            pending.cancel()
            return
        self._renewal = asyncio.get_running_loop().call_later(
            delay_seconds, pending.cancel
        )

    async def run(self) -> None:
        """Send one request after another until cancelled."""
        while True:  # noqa: WPS457 - ends when cancelled
            async with _open_channel(self.address) as channel:
                # A failed request closes the channel, because a dead
                # connection does not always report an error.
                self.channel = channel
                while await self._poll(channel):
                    await asyncio.sleep(_pause_seconds(self._synchronizer))
                self.channel = None
            is_unreachable = self._is_unreachable(self._clock())
            await asyncio.sleep(
                _PROBE_DELAY_SECONDS if is_unreachable else _RETRY_DELAY_SECONDS
            )

    async def _poll(self, channel: aio.Channel) -> bool:
        """Send one request; return whether the channel can be used again."""
        started_at_seconds = self._clock()
        is_primary = self._is_primary()
        request = self._synchronizer.build_request(
            wait_seconds=self._synchronizer.cluster.poll_wait_seconds(
                is_primary=is_primary
            ),
            response_delay_seconds=0
            if is_primary
            else _BACKUP_RESPONSE_DELAY_SECONDS,
            includes_samples=is_primary,
            progress=self._progress,
            daemon_name=self.daemon.name if self.daemon else '',
            now_seconds=started_at_seconds,
        )
        pending = asyncio.create_task(_send_request(channel, request))
        self._pending_request = pending
        self._sent_at_seconds = started_at_seconds
        with contextlib.ExitStack() as cleanup:
            # Cancels the request when the link is closed.
            cleanup.callback(pending.cancel)
            cleanup.callback(self._drop_renewal)
            await asyncio.wait((pending,))
        if pending.cancelled():
            return True
        failure = pending.exception()
        if failure is not None:
            self._record_failure(failure, started_at_seconds)
            return False
        response = _decode_message(pending.result(), decode_response)
        if response is None:
            return False
        self._record_response(request, response)
        return True

    def _drop_renewal(self) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
            self._renewal = None

    def _record_response(
        self, request: SyncRequest, response: SyncResponse
    ) -> None:
        self.daemon = response.sender
        self._failing_since_seconds = None
        if not self._is_connected:
            self._is_connected = True
            logger.bind(peer=response.sender.name).info('member reached')
        now_seconds = self._clock()
        self._progress = LinkProgress(
            last_response_at_seconds=now_seconds,
            sent_suspicions_version=request.suspicions.version,
            known_suspicions_version=response.suspicions.version,
        )
        self._synchronizer.apply_response(response, now_seconds)

    def _record_failure(
        self, failure: BaseException, started_at_seconds: float
    ) -> None:
        reason = _failure_reason(failure)
        counters.add('member_failures', reason)
        if self._failing_since_seconds is None:
            self._failing_since_seconds = started_at_seconds
        if self.daemon is not None and self._is_unreachable(self._clock()):
            self._synchronizer.cluster.daemon_health.mark_unreachable(
                self.daemon.name
            )
        if self._is_connected:
            self._is_connected = False
            name = self.daemon.name if self.daemon else ''
            logger.bind(peer=name, reason=reason).warning('member lost')

    def _is_unreachable(self, now_seconds: float) -> bool:
        since_seconds = self._failing_since_seconds
        if since_seconds is None:
            return False
        return now_seconds - since_seconds >= _UNREACHABLE_AFTER_SECONDS


@attrs.define(eq=False)
class LinkSet:
    """Links to other daemons by address, each with a task of its own."""

    _synchronizer: ViewSynchronizer
    _clock: Callable[[], float]
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _links: dict[str, Link] = attrs.field(factory=dict)
    _link_tasks: dict[str, asyncio.Task[object]] = attrs.field(factory=dict)
    #: Address of this daemon's primary hub; empty without one.
    _primary_address: str = ''

    def renew_requests(self) -> None:
        """Replace the open requests of all links after a change."""
        for link in self._links.values():
            link.renew_request()

    def create_grant_client(self) -> LinkGrantClient:
        """Return a client for grants over the channels of the links."""
        return LinkGrantClient(
            self._find_channel, f'/{_SERVICE}/{GRANT_METHOD}'
        )

    def reconcile(
        self, targets: dict[str, Daemon | None], primary_address: str
    ) -> None:
        """Open and close links until there is exactly one for each target.

        The link to `primary_address` polls as the link to the primary hub.
        """
        for closed_address in self._links.keys() - targets.keys():
            self._links.pop(closed_address)
            self._link_tasks.pop(closed_address).cancel()
        self._primary_address = primary_address
        for address in targets.keys() - self._links.keys():
            self._open(address, targets[address])

    async def close(self) -> None:
        """Close all links."""
        await self._tasks.cancel()

    def _find_channel(self, daemon_name: str) -> aio.Channel | None:
        """Return the connection to a daemon, if there is one."""
        for link in self._links.values():
            if link.daemon is not None and link.daemon.name == daemon_name:
                return link.channel
        return None

    def _open(self, address: str, daemon: Daemon | None) -> None:
        link = Link(
            address,
            daemon,
            self._synchronizer,
            self._clock,
            lambda: self._primary_address == address,
        )
        self._links[address] = link
        self._link_tasks[address] = self._tasks.start(link.run(), 'link')
        logger.bind(address=address).debug('link opened')


def _pause_seconds(synchronizer: ViewSynchronizer) -> float:
    # Other daemons respond at once to one that has not listed yet.
    if lacks_changes(synchronizer):
        return _MIN_RENEWAL_SECONDS
    return _REQUEST_PAUSE_SECONDS


def _connection_limit(max_descriptors: int) -> int:
    usable = (max_descriptors or _DEFAULT_MAX_DESCRIPTORS) - _FILE_DESCRIPTORS
    return max(_MIN_CONNECTIONS, usable // _DESCRIPTOR_DIVISOR)


async def _send_request(channel: aio.Channel, request: SyncRequest) -> bytes:
    """Send a request and return the encoded response.

    Raise AioRpcError if it fails.
    """
    call = channel.unary_unary(
        f'/{_SERVICE}/{_METHOD}',
        request_serializer=None,
        response_deserializer=None,
    )
    body: bytes = await call(
        _serialize(encode_request(request)),
        timeout=request.wait_seconds + _RESPONSE_MARGIN_SECONDS,
    )
    return body


def _failure_reason(failure: BaseException) -> str:
    if isinstance(failure, aio.AioRpcError):
        return str(failure.code().name.lower())
    return type(failure).__name__


def _open_channel(address: str) -> aio.Channel:
    return aio.insecure_channel(f'ipv4:{address}', options=_CLIENT_OPTIONS)


def serialize_response(response: SyncResponse, encoder: UpdateEncoder) -> bytes:
    """Serialize a response, without changes if they have no room."""
    body = encode_response(response, encoder).encode()
    if len(body) > _MAX_MESSAGE_BYTES or not has_few_values(body):
        counters.add('member_failures', 'changes_too_large')
        without_changes = tuple(
            attrs.evolve(update, changes=None) for update in response.updates
        )
        without = attrs.evolve(response, updates=without_changes)
        body = encode_response(without, encoder).encode()
    return _compress(body)


def _serialize(fields: Fields) -> bytes:
    return _compress(encode_json(fields).encode())


def _compress(body: bytes) -> bytes:
    if len(body) < _COMPRESSION_THRESHOLD_BYTES:
        return body
    return zlib.compress(body, _COMPRESSION_LEVEL)


def _deserialize(body: bytes) -> Any:
    """Decompress and parse a message.

    Raise ValueError or zlib.error if it is malformed.
    """
    # An uncompressed message is a JSON object.
    if not body.startswith(b'{'):
        decompressor = zlib.decompressobj()
        body = decompressor.decompress(body, _MAX_DECOMPRESSED_BYTES)
    if not has_few_values(body):
        raise ValueError('too many values')
    return json.loads(body)


def _decode_message(
    body: bytes, decode_fields: Callable[[Any], _Message]
) -> _Message | None:
    """Decode a message; return None and count it if it is malformed."""
    try:
        return decode_fields(_deserialize(body))
    except _DECODE_ERRORS:
        counters.add('member_failures', 'bad_message')
        return None


#: Exceptions that a malformed message can raise.
_DECODE_ERRORS = (*DECODE_ERRORS, RecursionError, zlib.error)
