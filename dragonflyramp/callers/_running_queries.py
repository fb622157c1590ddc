"""Run queries so that a planned stop ends them with an answer."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from dragonflyramp.callers._answers import Answer, Refusal
from dragonflyramp.callers._queries import Query
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class RunningQueries:
    """Queries in progress, one task for each."""

    _serve: Callable[[Query], Coroutine[Any, Any, Answer]]
    _tasks: set[asyncio.Task[Answer]] = attrs.field(factory=set)

    async def run(self, query: Query) -> Answer:
        """Answer a query.

        Cancelling this coroutine cancels the query.
        """
        task = asyncio.create_task(self._serve(query), name='query')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(task.cancel)
            await asyncio.wait((task,))
        if task.cancelled():
            counters.add('answers', ResultCode.stopped.name)
            return Refusal(code=ResultCode.stopped, may_have_run=True)
        return task.result()

    def end(self) -> None:
        """End the queries in progress; a replica may have run them."""
        for task in self._tasks:
            task.cancel()
