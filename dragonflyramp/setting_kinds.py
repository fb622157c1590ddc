"""Define the kinds of values that settings take."""

import enum
import ipaddress
from typing import Generic, Protocol, TypeVar

import attrs

_LAST_PORT = 65535

_Value_co = TypeVar('_Value_co', covariant=True)
_Choice = TypeVar('_Choice', bound=enum.Enum)


class Kind(Protocol[_Value_co]):
    """Read the text of a setting."""

    @property
    def unit(self) -> str:
        """Name the unit; empty for values without one."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values in a few words."""

    def parse(self, text: str) -> _Value_co:
        """Read a value; raise ValueError unless it is allowed."""


@attrs.frozen
class Number:
    """Accept a number within a range.

    >>> Number(0.5, 60, 's').parse('1.5')
    1.5
    """

    low: float
    high: float
    unit: str

    @property
    def allowed(self) -> str:
        """Describe the range."""
        return 'a number from {0:g} to {1:g}'.format(self.low, self.high)

    def parse(self, text: str) -> float:
        """Read a number; infinity and NaN are outside of every range."""
        number = float(text)
        if not self.low <= number <= self.high:
            raise ValueError(self.allowed)
        return number


@attrs.frozen
class Whole:
    """Accept a whole number within a range."""

    low: int
    high: int
    unit: str

    @property
    def allowed(self) -> str:
        """Describe the range."""
        return f'a whole number from {self.low} to {self.high}'

    def parse(self, text: str) -> int:
        """Read a whole number."""
        number = int(text)
        if not self.low <= number <= self.high:
            raise ValueError(self.allowed)
        return number


@attrs.frozen
class Choice(Generic[_Choice]):
    """Accept the name of one member of an enumeration."""

    choices: type[_Choice]
    unit: str = ''

    @property
    def allowed(self) -> str:
        """List the names."""
        names = ', '.join(choice.name for choice in self.choices)
        return f'one of {names}'

    def parse(self, text: str) -> _Choice:
        """Find the member by its name."""
        by_name = {choice.name: choice for choice in self.choices}
        if text not in by_name:
            raise ValueError(self.allowed)
        return by_name[text]


@attrs.frozen
class Address:
    """Accept IP:port; a host name is refused, because none is resolved.

    An address to listen on may have port 0, for which the kernel chooses.

    >>> Address().parse('10.0.0.1:8080')
    '10.0.0.1:8080'
    >>> Address().parse('[::1]:8080')
    '[::1]:8080'
    """

    first_port: int = 1
    any_interface: bool = False
    unit: str = ''

    @property
    def allowed(self) -> str:
        """Describe the form."""
        ports = f'{self.first_port} to {_LAST_PORT}'
        host = 'an IP address' if self.any_interface else 'one IP address'
        return f'{host} and a port from {ports}, as in 10.0.0.1:8080'

    def parse(self, text: str) -> str:
        """Check both parts and return them unchanged."""
        host, _, port = text.rpartition(':')
        is_version6 = host.startswith('[') and host.endswith(']')
        address = ipaddress.ip_address(host[1:-1] if is_version6 else host)
        is_port = port.isdecimal() and port.isascii()
        is_in_range = is_port and self.first_port <= int(port) <= _LAST_PORT
        is_allowed = self.any_interface or not address.is_unspecified
        is_form = is_version6 == (address.version == 6)
        if not (is_form and is_allowed and is_in_range):
            raise ValueError(self.allowed)
        return text


@attrs.frozen
class OptionalAddress:
    """Accept IP:port to listen on, or nothing.

    >>> OptionalAddress().parse('')
    ''
    """

    unit: str = ''

    @property
    def allowed(self) -> str:
        """Describe the form."""
        return f'{_LISTEN.allowed}, or nothing'

    def parse(self, text: str) -> str:
        """Read the address."""
        return _LISTEN.parse(text) if text else text


_LISTEN = Address(first_port=0, any_interface=True)
