"""Keep one gRPC channel to each member."""

import asyncio
import collections

import attrs
import grpc

from dragonflyramp.members._channels_grpc import open_call_channel

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
            channel = open_call_channel(address)
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
