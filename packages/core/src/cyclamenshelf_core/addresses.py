"""Network addresses as texts of the form HOST:PORT."""

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the host and port of an address, or None if it is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()):
        return None
    if len(port) > _MAX_PORT_DIGITS or not 0 < int(port) <= _MAX_PORT:
        return None
    return host, int(port)
