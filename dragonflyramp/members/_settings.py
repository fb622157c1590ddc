"""Hold the settings of membership and configuration spread."""

import attrs


def _two_periods(settings: 'MembershipSettings') -> float:
    return 2 * settings.renewal_period_seconds


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Set group, periods and bounds; durations are in seconds.

    A lease ends `lease_term_seconds` after the start of the exchange that
    renewed it. `clock_drift` bounds by what fraction two clocks may differ
    in rate.
    """

    group: str = 'group-1'
    renewal_period_seconds: float = 1.0
    lease_term_seconds: float = 3.0
    clock_drift: float = 0.05
    isolation_seconds: float = 3.0
    #: Two calls to the platform fit into the pause between two heartbeats
    #: with room to spare, so that a slow platform isolates no daemon.
    platform_timeout_seconds: float = 0.5
    #: A watch that is not answered in time is replaced by a read. At two
    #: periods, a change behind a silent watch is in force within 5 s today
    #: and 14 s at the design size, where 338 watches make 34 calls a second.
    watch_timeout_seconds: float = attrs.field(
        default=attrs.Factory(_two_periods, takes_self=True)
    )
    #: The list of VMs lags; asking for it more often tells nothing earlier.
    vm_list_period_seconds: float = 5.0
    #: By how much the list of VMs may lag behind a VM that started.
    vm_list_lag_seconds: float = 300.0
    #: Service name under which the platform lists the system's own VMs.
    vm_service: str = 'dragonflyramp'
    leave_timeout_seconds: float = 10.0
    max_members: int = 32
    max_handovers: int = 4

    @property
    def group_object(self) -> str:
        """Name the platform's object that holds the group record."""
        return f'groups/{self.group}'

    @property
    def vm_list_lag_renewals(self) -> float:
        """Give how many renewals fit into the lag of the list of VMs."""
        return self.vm_list_lag_seconds / self.renewal_period_seconds

    def lapse_seconds(self, longest_deadline_seconds: float) -> float:
        """Give how long after a renewal nothing sent under it still runs."""
        term = self.lease_term_seconds * (1 + self.clock_drift)
        return term + longest_deadline_seconds

    def drain_seconds(self, longest_deadline_seconds: float) -> float:
        """Give how long after its last send nothing of a holder runs."""
        return longest_deadline_seconds * (1 + self.clock_drift)

    def settle_seconds(self, longest_deadline_seconds: float) -> float:
        """Give how long a configuration number must be seen to settle."""
        longest = max(self.lease_term_seconds, longest_deadline_seconds)
        return longest * (1 + self.clock_drift)
