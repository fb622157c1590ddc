"""Keep one gRPC channel to each member."""

import asyncio
import collections

import attrs
import grpc

#: A record fills at most 1 MB and a fetch reply little more.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_SIZES = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
)

CHANNEL_OPTIONS = (
    *_SIZES,
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    # A new channel must not share the connection of one that went silent.
    ('grpc.use_local_subchannel_pool', 1),
)

SERVER_OPTIONS = (
    *_SIZES,
    # A newer member at an address proves that the older process ended,
    # which is wrong if two processes can listen there.
    ('grpc.so_reuseport', 0),
)

#: Two channels for each member of a full group; the oldest is closed.
_MAX_CHANNELS = 64

#: Longer than any call, so that closing a channel cuts off no other call.
_CLOSE_GRACE_SECONDS = 30.0


@attrs.define
class MemberChannels:
    """Open channels to members and replace those that failed."""

    _channels: collections.OrderedDict[str, grpc.aio.Channel] = attrs.field(
        factory=collections.OrderedDict
    )
    _closing: set[asyncio.Task[None]] = attrs.field(factory=set)

    def get(self, address: str) -> grpc.aio.Channel:
        """Return the channel to an address."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(
                address, options=CHANNEL_OPTIONS
            )
            self._channels[address] = channel
        self._channels.move_to_end(address)
        if len(self._channels) > _MAX_CHANNELS:
            self._retire(self._channels.popitem(last=False)[1])
        return channel

    def replace(self, address: str, failed: grpc.aio.Channel) -> None:
        """Open a new connection for the next call.

        An open connection can go silent for good while new ones work.
        """
        if self._channels.get(address) is failed:
            self._retire(self._channels.pop(address))

    async def close(self) -> None:
        """Close all channels at once."""
        channels = list(self._channels.values())
        self._channels.clear()
        for task in self._closing:
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
        for channel in channels:
            await channel.close(None)

    def _retire(self, channel: grpc.aio.Channel) -> None:
        task = asyncio.create_task(channel.close(_CLOSE_GRACE_SECONDS))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
