"""Addresses that a process listens on or advertises."""

import dataclasses
import ipaddress
import urllib.parse

PORT_MAXIMUM = 65_535


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """Name one end of a connection by IP number and port."""

    host: str
    port: int

    def __str__(self):
        """Return ``host:port``, with brackets around an IPv6 number."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def is_loopback(self):
        """Tell whether only this VM reaches the address."""
        return ipaddress.ip_address(self.host).is_loopback

    @property
    def is_wildcard(self):
        """Tell whether the address stands for every interface."""
        return ipaddress.ip_address(self.host).is_unspecified


def parse_address(text):
    """Parse ``host:port``; port 0 lets the kernel choose.

    Raise ``ValueError`` where ``text`` is not an IP number with a port.
    """
    if isinstance(text, Address):
        return text
    host, colon, port_text = str(text).rpartition(':')
    if not colon:
        raise ValueError('has no port')
    if ':' in host and not (host.startswith('[') and host.endswith(']')):
        raise ValueError('needs brackets around an IPv6 number')
    return Address(host=_parse_host(host), port=_parse_port(port_text))


def parse_peer_address(text):
    """Parse an address that others connect to, so port 0 is refused."""
    address = parse_address(text)
    if address.port == 0:
        raise ValueError('needs a port other than 0')
    if address.is_wildcard:
        raise ValueError('must name one interface')
    return address


def parse_url(text):
    """Parse ``http://host:port`` and return it without a trailing slash.

    Raise ``ValueError`` for another scheme, a path, a query, a user or a
    host that is not an IP number.
    """
    parts = urllib.parse.urlsplit(str(text))
    if parts.scheme != 'http':
        raise ValueError('must start with http://')
    if parts.path not in ('', '/') or parts.query or parts.fragment:
        raise ValueError('must end after the port')
    return f'http://{parse_peer_address(parts.netloc)}'


def _parse_host(host):
    try:
        return str(ipaddress.ip_address(host.strip('[]')))
    except ValueError as error:
        raise ValueError('has a host that is not an IP number') from error


def _parse_port(text):
    if not (text.isascii() and text.isdigit()) or int(text) > PORT_MAXIMUM:
        raise ValueError(f'has a port outside 0 to {PORT_MAXIMUM}')
    return int(text)
