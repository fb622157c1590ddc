"""Decide which requests run, wait or are refused when capacity is short.

_policies  interface of the decision, and a policy that admits everything
"""

from dragonflyramp.admission._policies import (
    AdmissionPolicy,
    AdmitAll,
    Rejection,
)

__all__ = ('AdmissionPolicy', 'AdmitAll', 'Rejection')
