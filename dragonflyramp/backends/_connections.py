"""Run one task for each connection to a backend server."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs
from loguru import logger

from dragonflyramp.backends._clients import Reply
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._jobs import Send
from dragonflyramp.backends._senders import Sender
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class EndedSend:
    """Report the end of a send to the shard's task."""

    send: Send
    reply: Reply
    latency_seconds: float


class Connection:
    """Take sends from the shard's task and make them one after another."""

    def __init__(
        self,
        sender: Sender,
        context: TierContext,
        on_end: Callable[['Connection', EndedSend], None],
    ) -> None:
        """Wait for the first send."""
        self._sender = sender
        self._clock = context.clock
        self._on_end = on_end
        self._inbox: asyncio.Queue[Send | None] = asyncio.Queue()

    def take(self, send: Send) -> None:
        """Make a send; `on_end` is called once for it."""
        self._inbox.put_nowait(send)

    def retire(self) -> None:
        """End the task after the sends taken so far."""
        self._inbox.put_nowait(None)

    async def run(self) -> None:
        """Make sends until retired; the connection is closed at the end."""
        async with contextlib.aclosing(self._sender):
            await self._serve_inbox()

    async def _serve_inbox(self) -> None:
        send = await self._inbox.get()
        while send is not None:
            reply = await self._serve(send)
            self._on_end(self, self._ended(send, reply))
            send = await self._inbox.get()

    async def _serve(self, send: Send) -> Reply:
        if send.given_up:
            return Reply(code=ResultCode.cancelled, sent=False)
        left_seconds = send.job.deadline_seconds - self._clock()
        try:
            async with asyncio.timeout(left_seconds) as scope:
                send.scope = scope
                return await self._sender.send(send)
        except TimeoutError:
            await self._sender.aclose()
        except Exception:
            logger.exception('A send to {} failed', send.replica.replica)
            counters.add('task_failures', 'connection')
            await self._sender.aclose()
            return Reply(code=ResultCode.internal_error)
        finally:
            send.scope = None
        code = ResultCode.deadline_exceeded
        if send.given_up:
            code = ResultCode.cancelled
        return Reply(code=code, sent=send.called_seconds is not None)

    def _ended(self, send: Send, reply: Reply) -> EndedSend:
        now_seconds = self._clock()
        called_seconds = send.called_seconds
        if called_seconds is None:
            called_seconds = now_seconds
        return EndedSend(
            send=send,
            reply=reply,
            latency_seconds=now_seconds - called_seconds,
        )
