"""Decide which requests run, wait or are refused when capacity is short.

_policies           interface of the decision, and a policy that admits all
_priority_admission policy that holds back less urgent requests
_shortages          inputs of the decision on one request
_contentions        kinds of requests that share services
_route_groups       routes with the same services and priority
_service_loads      expected waits for a slot, from reports of replicas
_tenant_shares      how much each tenant has used lately
_waiting_requests   requests that wait for capacity, and their order
"""

from dragonflyramp.admission._policies import (
    AdmissionPolicy,
    AdmitAll,
    Rejection,
)
from dragonflyramp.admission._priority_admission import (
    PriorityAdmission,
    create_priority_admission,
)

__all__ = (
    'AdmissionPolicy',
    'AdmitAll',
    'PriorityAdmission',
    'Rejection',
    'create_priority_admission',
)
