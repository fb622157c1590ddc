"""Reach other daemons: who is there, and what they know of the store.

_rosters    the known daemons, their ages, and which of them watch the store
_registry   the daemons' entries in the store
_watches    the task that keeps a view from the store
_books      what daemons tell one another
_members    one link task for each other daemon
_links_grpc the exchange over gRPC
"""

from dragonflyramp.members._books import Book
from dragonflyramp.members._links_grpc import MemberService
from dragonflyramp.members._members import Members
from dragonflyramp.members._registry import Registry
from dragonflyramp.members._rosters import Daemon, Roster
from dragonflyramp.members._watches import Watch

__all__ = (
    'Book',
    'Daemon',
    'MemberService',
    'Members',
    'Registry',
    'Roster',
    'Watch',
)
