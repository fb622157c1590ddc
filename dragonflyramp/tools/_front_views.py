"""Create the views of a front, and apply and pass on their changes."""

import importlib
import random
from collections.abc import Callable

import attrs

from dragonflyramp.machine_settings import MachineSettings
from dragonflyramp.members import (
    DAEMONS_KIND,
    SUSPECTS_KIND,
    Daemon,
    HubLinks,
    Membership,
    SuspectObjects,
    ViewSynchronizer,
    Watcher,
    WatchTiming,
)
from dragonflyramp.platform import StoreDecoder
from dragonflyramp.routing_state import ObjectDecoder, RoutingState
from dragonflyramp.settings import ConfigurationSource, Settings
from dragonflyramp.stored_objects import ObjectRoom
from dragonflyramp.stores import WatchedStore
from dragonflyramp.tools._rollout_components import (
    ROLLOUT_KINDS,
    RolloutComponents,
    rollout_kinds,
)
from dragonflyramp.views import View


@attrs.define(eq=False)
class ChangeDispatcher:
    """Apply changes of the views, and notify other daemons of them."""

    routing_state: RoutingState
    membership: Membership
    #: Set after creation, because both need a synchronizer that calls
    #: `dispatch`; no view changes before.
    hub_links: HubLinks | None = None
    suspect_objects: SuspectObjects | None = None
    #: None if rollouts are not in force.
    rollouts: RolloutComponents | None = None

    def dispatch(self, kind: str, names: set[str]) -> None:
        """Apply the objects that changed in the view of a kind."""
        if self.hub_links is None or self.suspect_objects is None:
            return
        if kind == SUSPECTS_KIND:
            self.suspect_objects.apply_changes(names)
        elif kind == DAEMONS_KIND:
            self.membership.update_registered(
                self.routing_state.views[kind].objects_by_name
            )
        elif self.rollouts is not None and kind in ROLLOUT_KINDS:
            self.rollouts.apply_changes(kind, names)
        else:
            self.routing_state.apply_changes(kind, names)
        self.hub_links.notify_change()

    async def run_rollouts(self) -> None:
        """Run the tasks of rollouts, if they are in force, until cancelled."""
        if self.rollouts is not None:
            await self.rollouts.run()


def create_decoder(settings: Settings) -> ObjectDecoder:
    """Create the decoder of the configuration and the entries."""
    if settings.configuration is ConfigurationSource.text:
        # Imported only here: with the other source, a front does not need the
        # operators' package.
        text_decoders = importlib.import_module(
            'dragonflyramp.tools._text_decoders'
        )
        decoder: ObjectDecoder = text_decoders.TextDecoder()
        return decoder
    return StoreDecoder()


def create_membership(machine: MachineSettings) -> Membership:
    """Create the membership of the daemon on a VM."""
    own_daemon = Daemon(
        name=machine.node,
        address=machine.member_address,
        failure_domain=machine.failure_domain,
    )
    return Membership(own_daemon)


def create_room(decoder: ObjectDecoder, machine: MachineSettings) -> ObjectRoom:
    """Divide the memory of a VM among the kinds of objects."""
    return ObjectRoom(
        machine.vm_limits.memory_bytes,
        {
            decoder.config_kind: _CONFIGURATION_SHARE,
            decoder.entries_kind: _ENTRIES_SHARE,
        },
    )


def create_views(
    decoder: ObjectDecoder, machine: MachineSettings
) -> dict[str, View]:
    """Create a view of each kind of object that a front follows."""
    room = create_room(decoder, machine)
    kinds = (
        *decoder.kinds,
        DAEMONS_KIND,
        SUSPECTS_KIND,
        *rollout_kinds(machine),
    )
    return {kind: View(kind, max_bytes=room.max_bytes(kind)) for kind in kinds}


def create_watchers(
    store: WatchedStore,
    synchronizer: ViewSynchronizer,
    dispatcher: ChangeDispatcher,
    clock: Callable[[], float],
) -> tuple[Watcher, ...]:
    """Create a watcher for each view."""
    entries_kind = dispatcher.routing_state.decoder.entries_kind
    timings = {
        entries_kind: _ENTRIES_WATCH_TIMING,
        DAEMONS_KIND: _DAEMONS_WATCH_TIMING,
        SUSPECTS_KIND: _SUSPECTS_WATCH_TIMING,
        **{kind: _ROLLOUTS_WATCH_TIMING for kind in ROLLOUT_KINDS},
    }
    return tuple(
        Watcher(
            store=store,
            view=view,
            cluster=synchronizer.cluster,
            on_change=dispatcher.dispatch,
            clock=clock,
            rng=random.Random(),
            timing=timings.get(view.kind, WatchTiming()),
            store_era=synchronizer.store_era,
        )
        for view in synchronizer.views.values()
    )


#: Shares of the memory of a VM. Of 200 MB, some 20,000 entries of replicas and
#: a configuration of `value_bytes` fit.
_ENTRIES_SHARE = 0.2
_CONFIGURATION_SHARE = 0.1
#: Collects changes into one batch: starting replicas change their entries every
#: second, many at a time. The delay does no harm, because a draining replica
#: keeps serving for seconds.
_ENTRIES_BATCHING_DELAY_SECONDS = 0.3
_ENTRIES_WATCH_TIMING = WatchTiming(
    batching_delay_seconds=_ENTRIES_BATCHING_DELAY_SECONDS
)
#: Collects the registrations of daemons that start together; nothing depends on
#: learning of a daemon immediately.
_DAEMONS_WATCH_TIMING = WatchTiming(wait_seconds=10, batching_delay_seconds=0.5)
#: Daemons tell each other of changes too. A front that has just started has to
#: know the requests that end replicas before it sends its first one.
_SUSPECTS_WATCH_TIMING = WatchTiming(
    wait_seconds=10, allows_stale_listing=False
)
#: A front that has just started has to know which versions may get requests
#: before it sends its first one.
_ROLLOUTS_WATCH_TIMING = WatchTiming(allows_stale_listing=False)
