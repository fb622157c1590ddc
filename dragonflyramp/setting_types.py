"""Define the types of values that settings accept."""

import enum
import ipaddress
from typing import Generic, Protocol, TypeVar

import attrs

_MAX_PORT = 65535

_Value_co = TypeVar('_Value_co', covariant=True)
_Choice = TypeVar('_Choice', bound=enum.Enum)


class SettingType(Protocol[_Value_co]):
    """Type of the values that a setting accepts."""

    @property
    def unit(self) -> str:
        """Return the unit; empty for values without one."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values in a few words."""

    def parse(self, text: str) -> _Value_co:
        """Parse a value; raise ValueError unless it is allowed."""


@attrs.frozen
class FloatRange:
    """Numbers within an inclusive range.

    >>> FloatRange(0.5, 60, 's').parse('1.5')
    1.5
    """

    minimum: float
    maximum: float
    unit: str

    @property
    def allowed(self) -> str:
        """Describe the range."""
        return 'a number from {0:g} to {1:g}'.format(self.minimum, self.maximum)

    def parse(self, text: str) -> float:
        """Parse a number; infinity and NaN are outside every range."""
        number = float(text)
        if not self.minimum <= number <= self.maximum:
            raise ValueError(self.allowed)
        return number


@attrs.frozen
class IntRange:
    """Whole numbers within an inclusive range."""

    minimum: int
    maximum: int
    unit: str

    @property
    def allowed(self) -> str:
        """Describe the range."""
        return f'a whole number from {self.minimum} to {self.maximum}'

    def parse(self, text: str) -> int:
        """Parse a whole number."""
        number = int(text)
        if not self.minimum <= number <= self.maximum:
            raise ValueError(self.allowed)
        return number


@attrs.frozen
class Choice(Generic[_Choice]):
    """Names of the members of an enumeration."""

    choices: type[_Choice]
    unit: str = ''

    @property
    def allowed(self) -> str:
        """List the allowed names."""
        names = ', '.join(choice.name for choice in self.choices)
        return f'one of {names}'

    def parse(self, text: str) -> _Choice:
        """Return the member that the text names."""
        by_name = {choice.name: choice for choice in self.choices}
        if text not in by_name:
            raise ValueError(self.allowed)
        return by_name[text]


@attrs.frozen
class Address:
    """Addresses `IP:port`; host names are rejected, as they are not resolved.

    An address to listen on may have port 0, which lets the kernel choose.

    >>> Address().parse('10.0.0.1:8080')
    '10.0.0.1:8080'
    >>> Address().parse('[::1]:8080')
    '[::1]:8080'
    """

    min_port: int = 1
    allow_unspecified: bool = False
    unit: str = ''

    @property
    def allowed(self) -> str:
        """Describe the format."""
        ports = f'{self.min_port} to {_MAX_PORT}'
        host = (
            'an IP address'
            if self.allow_unspecified
            else 'an IP address other than 0.0.0.0 and [::]'
        )
        return f'{host} and a port from {ports}, as in 10.0.0.1:8080'

    def parse(self, text: str) -> str:
        """Check the IP address and the port, and return the text."""
        host, _, port = text.rpartition(':')
        is_bracketed = host.startswith('[') and host.endswith(']')
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
        is_port_decimal = port.isdecimal() and port.isascii()
        is_port_in_range = (
            is_port_decimal and self.min_port <= int(port) <= _MAX_PORT
        )
        is_host_allowed = self.allow_unspecified or not address.is_unspecified
        has_valid_brackets = is_bracketed == (address.version == 6)
        if not (has_valid_brackets and is_host_allowed and is_port_in_range):
            raise ValueError(self.allowed)
        return text


@attrs.frozen
class OptionalAddress:
    """Addresses `IP:port` to listen on, or an empty string.

    >>> OptionalAddress().parse('')
    ''
    """

    unit: str = ''

    @property
    def allowed(self) -> str:
        """Describe the format."""
        return f'{_LISTEN_ADDRESS.allowed}, or an empty value'

    def parse(self, text: str) -> str:
        """Check the address and return the text."""
        return _LISTEN_ADDRESS.parse(text) if text else text


_LISTEN_ADDRESS = Address(min_port=0, allow_unspecified=True)
