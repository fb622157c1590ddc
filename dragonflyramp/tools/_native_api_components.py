"""Create the server of the native API of a front."""

from collections.abc import Callable

from dragonflyramp.callers import Claims, Front, NativeApi, NativeApiServer
from dragonflyramp.platform import StoreClient
from dragonflyramp.routes import search_route_name, submit_route_name


def create_native_api_server(
    front: Front, store: StoreClient, clock: Callable[[], float]
) -> NativeApiServer:
    """Create the server; `clock` returns the monotonic time in seconds."""
    return NativeApiServer(
        NativeApi(
            front=front,
            claims=Claims(store),
            clock=clock,
            name_search_route=search_route_name,
            name_submit_route=submit_route_name,
        )
    )
