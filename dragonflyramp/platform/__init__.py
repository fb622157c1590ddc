"""Reach the platform: its object API and its list of VMs."""

from dragonflyramp.platform._objects import (
    ABSENT,
    ObjectStore,
    VersionedObject,
)
from dragonflyramp.platform._vms import VirtualMachine, VmList, VmListing

__all__ = (
    'ABSENT',
    'ObjectStore',
    'VersionedObject',
    'VirtualMachine',
    'VmList',
    'VmListing',
)
