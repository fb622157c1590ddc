"""Reach the platform: its object API and its list of VMs."""

from dragonflyramp.platform._http import (
    HttpObjectStore,
    Platform,
    open_platform,
)
from dragonflyramp.platform._objects import (
    ABSENT,
    MAX_OBJECT_BYTES,
    ObjectStore,
    VersionedObject,
)
from dragonflyramp.platform._vms import VirtualMachine, VmList, VmListing
from dragonflyramp.platform._vms_http import HttpVmList

__all__ = (
    'ABSENT',
    'MAX_OBJECT_BYTES',
    'HttpObjectStore',
    'HttpVmList',
    'ObjectStore',
    'Platform',
    'VersionedObject',
    'VirtualMachine',
    'VmList',
    'VmListing',
    'open_platform',
)
