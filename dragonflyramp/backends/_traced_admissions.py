"""Trace whether a lease lets a send start."""

from dragonflyramp import traces
from dragonflyramp.backends._admissions import Admission, Permit
from dragonflyramp.backends._jobs import Send


class TracedAdmission(Admission):
    """Decide as an admission does and trace each decision."""

    def permit(
        self, send: Send, now_seconds: float, *, again: bool
    ) -> Permit | None:
        """Allow a send that starts now; None when it must not start."""
        is_warm = send.replica.is_warm
        permit = super().permit(send, now_seconds, again=again)
        table = self._context.lease_table
        traces.decisions.write(
            'lease',
            now_seconds,
            {
                'replica': send.replica.replica.replica_id,
                'warm': is_warm,
                'is_sent': permit is not None,
                'lease': table.lease(self._terms.slice_id, now_seconds),
                'ownership': {
                    'gained_number': self._terms.gained_number,
                    'settled_number': table.settled_number(now_seconds),
                },
                'margin_seconds': self._context.settings.lease_margin_seconds,
            },
        )
        return permit
