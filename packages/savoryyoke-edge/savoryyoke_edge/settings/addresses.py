"""Addresses that a process listens on or advertises."""

import dataclasses
import ipaddress
import urllib.parse

PORT_MAXIMUM = 65_535


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self):
        """Return ``host:port``, with brackets around an IPv6 address."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def is_loopback(self):
        """Return whether the address is reachable only from this VM."""
        return ipaddress.ip_address(self.host).is_loopback

    @property
    def is_wildcard(self):
        """Return whether the address means all interfaces."""
        return ipaddress.ip_address(self.host).is_unspecified


def parse_address(text):
    """Parse ``host:port``; port 0 lets the kernel choose.

    Return an ``Address`` unchanged. Raise ``ValueError`` if ``text`` is not
    an IP address with a port.
    """
    if isinstance(text, Address):
        return text
    host, separator, port_text = str(text).rpartition(':')
    if not separator:
        raise ValueError('has no port')
    if ':' in host and not (host.startswith('[') and host.endswith(']')):
        raise ValueError('needs brackets around an IPv6 address')
    return Address(host=_parse_host(host), port=_parse_port(port_text))


def parse_peer_address(text):
    """Parse an address that other processes connect to.

    Raise ``ValueError`` also for port 0 and for a wildcard address.
    """
    address = parse_address(text)
    if address.port == 0:
        raise ValueError('needs a port other than 0')
    if address.is_wildcard:
        raise ValueError('must not be a wildcard address')
    return address


def parse_url(text):
    """Parse ``http://host:port`` and return it without a trailing slash.

    Raise ``ValueError`` for another scheme, a path, a query, a user or a
    host that is not an IP address.
    """
    url = urllib.parse.urlsplit(str(text))
    if url.scheme != 'http':
        raise ValueError('must start with http://')
    if url.path not in ('', '/') or url.query or url.fragment:
        raise ValueError('must not have a path, query or fragment')
    return f'http://{parse_peer_address(url.netloc)}'


def _parse_host(host):
    try:
        return str(ipaddress.ip_address(host.strip('[]')))
    except ValueError as error:
        raise ValueError('has a host that is not an IP address') from error


def _parse_port(text):
    if not (text.isascii() and text.isdigit()) or int(text) > PORT_MAXIMUM:
        raise ValueError(f'has a port outside 0 to {PORT_MAXIMUM}')
    return int(text)
