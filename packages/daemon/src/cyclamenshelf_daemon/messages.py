"""Encoding and decoding of the messages between entry hosts.

A datagram is a Cap'n Proto message followed by its HMAC-SHA256 under the key
that all entry hosts share.
"""

import enum
import hashlib
import hmac
import pathlib
from typing import Any
from typing import NamedTuple

import capnp

from cyclamenshelf_core import errors

VERSION = 1
MAX_DATAGRAM_BYTES = 1_200
# With 8, hosts in a simulated fleet of 30 were occasionally marked dead without
# any fault; with 16 none were.
MAX_MEMBERS = 16
MAX_EPOCHS = 4
MAX_ACCOUNTS = 8
MAX_LEAVING = 6
_MAX_ID_CHARACTERS = 100
_SIGNATURE_BYTES = hashlib.sha256().digest_size

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))


class InvalidMessageError(errors.CyclamenshelfError):
    """A datagram is unsigned, oversized, malformed or of another version.

    Attributes:
        reason: One-word reason, used in the name of a counter.
    """

    code = "invalid_message"

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail:.200}")
        self.reason = reason


class State(enum.IntEnum):
    """State that a host reports about itself."""

    LIVE = 0
    LEAVING = 1


class HintKind(enum.IntEnum):
    """Kind of event that a job hint reports."""

    ACCEPTED = 0
    ENDED = 1
    CANCEL = 2


class MemberEntry(NamedTuple):
    """The newest recorded heartbeat of a host."""

    host: int
    incarnation: int
    counter: int
    leaving: bool


class EpochEntry(NamedTuple):
    """The newest recorded epoch of a cell and the key of its owner."""

    cell: int
    owner: int
    epoch: int


class Gossip(NamedTuple):
    """A heartbeat of a host and its recorded state of the fleet.

    Attributes:
        demand: Thousandths of a request per second by account key.
        leaving: Age in milliseconds of the report that a backend server is
            leaving, by server key.
        queue_depths: Queued jobs by account key.
    """

    sender: str
    incarnation: int
    counter: int
    state: State
    config_version: int
    members: tuple[MemberEntry, ...] = ()
    epochs: tuple[EpochEntry, ...] = ()
    demand: dict[int, int] = {}
    leaving: dict[int, int] = {}
    queue_depths: dict[int, int] = {}


class JobHint(NamedTuple):
    """Notification of an event of a job; its loss only delays work."""

    sender: str
    cell: int
    job_id: str
    kind: HintKind


Message = Gossip | JobHint


def encode_message(message: Message, key: bytes) -> bytes:
    """Return a message as a signed datagram.

    Raises:
        InvalidMessageError: The datagram would be oversized.
    """
    if isinstance(message, Gossip):
        content = {"gossip": _encode_gossip(message)}
    else:
        content = {"jobHint": _encode_hint(message)}
    root = _schema.Message.new_message(
        version=VERSION, sender=message.sender, **content
    )
    body = root.to_bytes()
    datagram = body + _sign(body, key)
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("oversized", f"{len(datagram)} bytes")
    return datagram


def decode_message(datagram: bytes, key: bytes) -> Message:
    """Verify a datagram and return its message.

    Raises:
        InvalidMessageError: The datagram is not authentic or not valid.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("oversized", f"{len(datagram)} bytes")
    body, signature = datagram[:-_SIGNATURE_BYTES], datagram[-_SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(body, key)):
        raise InvalidMessageError("unsigned", f"{len(datagram)} bytes")
    try:
        with _schema.Message.from_bytes(body) as root:
            return _decode_root(root)
    except (capnp.KjException, ValueError) as error:
        raise InvalidMessageError("malformed", str(error)) from error


def _sign(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, "sha256")


def _encode_gossip(gossip: Gossip) -> dict[str, Any]:
    members = sorted(gossip.members, key=lambda member: member.leaving)
    return {
        "incarnation": gossip.incarnation,
        "counter": gossip.counter,
        "state": gossip.state.value,
        "configVersion": gossip.config_version,
        "memberHosts": [member.host for member in members],
        "memberCounters": [member.counter for member in members],
        "memberIncarnations": [member.incarnation for member in members],
        "liveMembers": sum(not member.leaving for member in members),
        "epochs": [epoch._asdict() for epoch in gossip.epochs],
        "demand": _encode_values(gossip.demand),
        "leaving": _encode_values(gossip.leaving),
        "queueDepths": _encode_values(gossip.queue_depths),
    }


def _encode_hint(hint: JobHint) -> dict[str, Any]:
    return {"cell": hint.cell, "jobId": hint.job_id, "kind": hint.kind.value}


def _encode_values(values: dict[int, int]) -> list[dict[str, int]]:
    return [{"key": key, "value": value} for key, value in values.items()]


def _decode_root(root: Any) -> Message:
    if root.version != VERSION:
        raise InvalidMessageError("version", str(root.version))
    sender = _decode_id(root.sender)
    kind = str(root.which())
    if kind == "gossip":
        return _decode_gossip(sender, root.gossip)
    if kind == "jobHint":
        hint = root.jobHint
        return JobHint(
            sender, hint.cell, _decode_id(hint.jobId), HintKind(hint.kind)
        )
    raise InvalidMessageError("malformed", f"kind {kind}")


def _decode_gossip(sender: str, gossip: Any) -> Gossip:
    return Gossip(
        sender,
        gossip.incarnation,
        gossip.counter,
        State(gossip.state),
        gossip.configVersion,
        _decode_members(gossip),
        tuple(
            EpochEntry(entry.cell, entry.owner, entry.epoch)
            for entry in _check_length(gossip.epochs, MAX_EPOCHS)
        ),
        _decode_values(gossip.demand, MAX_ACCOUNTS),
        _decode_values(gossip.leaving, MAX_LEAVING),
        _decode_values(gossip.queueDepths, MAX_ACCOUNTS),
    )


def _decode_members(gossip: Any) -> tuple[MemberEntry, ...]:
    lists = [
        list(_check_length(entries, MAX_MEMBERS))
        for entries in (
            gossip.memberHosts,
            gossip.memberIncarnations,
            gossip.memberCounters,
        )
    ]
    live = gossip.liveMembers
    # Lists of unequal length raise ValueError, which `decode_message` reports
    # as malformed.
    return tuple(
        MemberEntry(host, incarnation, counter, index >= live)
        for index, (host, incarnation, counter) in enumerate(
            zip(*lists, strict=True)
        )
    )


def _decode_values(entries: Any, maximum: int) -> dict[int, int]:
    return {entry.key: entry.value for entry in _check_length(entries, maximum)}


def _check_length(entries: Any, maximum: int) -> Any:
    """Return a list after checking its length.

    A small list of empty structs can claim millions of entries, so the length
    is checked before the entries are read.
    """
    if len(entries) > maximum:
        raise InvalidMessageError("malformed", f"{len(entries)} list entries")
    return entries


def _decode_id(text: str) -> str:
    if not 0 < len(text) <= _MAX_ID_CHARACTERS:
        raise InvalidMessageError("malformed", f"id of {len(text)} characters")
    return text
