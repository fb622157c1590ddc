"""Create what serves and authenticates the callers of a front."""

import functools
from collections.abc import Callable

from dragonflyramp.callers import (
    Claims,
    Front,
    HeldClaims,
    NativeApi,
    NativeApiServer,
)
from dragonflyramp.machine_settings import RevocationBounds, VmLimits
from dragonflyramp.members import ViewSynchronizer, news_age_seconds
from dragonflyramp.platform import StoreClient, parse_api_key
from dragonflyramp.routes import search_route_name, submit_route_name
from dragonflyramp.tenants import KeyTrust, TrustAlways, TrustWhileInformed


def create_key_trust(
    bounds: RevocationBounds, synchronizer: ViewSynchronizer
) -> KeyTrust:
    """Create the policy for API keys while no changes arrive."""
    if not bounds.is_strict:
        return TrustAlways()
    return TrustWhileInformed(
        max_age_seconds=bounds.max_age_seconds,
        news_age_seconds=functools.partial(news_age_seconds, synchronizer),
    )


def create_native_api_server(
    front: Front,
    store: StoreClient,
    vm_limits: VmLimits,
    clock: Callable[[], float],
) -> NativeApiServer:
    """Create the server of the native API."""
    return NativeApiServer(
        NativeApi(
            front=front,
            claims=Claims(store, HeldClaims(store.era, clock)),
            clock=clock,
            name_search_route=search_route_name,
            name_submit_route=submit_route_name,
            parse_api_key=parse_api_key,
        ),
        vm_limits,
    )
