"""Test that a send is checked again immediately before it is written."""

from collections.abc import Callable
from unittest import mock

import attrs
import pytest

from dragonflyramp.backends._admissions import Admission, Permit
from dragonflyramp.backends._jobs import Send
from dragonflyramp.results import ResultCode
from tests.backend_harness import Harness
from tests.test_backends import warm


@attrs.frozen
class Pause:
    """Permit a send, and let something change before it is written."""

    harness: Harness
    change: str
    permit: Callable[..., Permit | None] = Admission.permit

    def permit_send(
        self,
        admission: Admission,
        send: Send,
        now_seconds: float,
        *,
        again: bool,
    ) -> Permit | None:
        """Permit as the admission does, and change."""
        permitted = self.permit(admission, send, now_seconds, again=again)
        send.replica.leaving.held = self.change == 'hold'
        self.harness.source.isolated = self.change == 'isolated'
        return permitted


@pytest.mark.parametrize(
    ('change', 'code'),
    [('isolated', ResultCode.isolated), ('hold', ResultCode.no_replica)],
)
async def test_paused_send(change: str, code: ResultCode) -> None:
    """A process paused between check and write must not send on resuming."""
    async with warm('x-1') as harness:
        records = harness.fleet['x-1'].records
        received = records.received
        pause = Pause(harness, change)
        with mock.patch.object(
            Admission, 'permit', autospec=True, side_effect=pause.permit_send
        ):
            assert await harness.codes(1) == {code}
        assert records.received == received
