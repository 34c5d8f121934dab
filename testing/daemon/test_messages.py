import hypothesis
from hypothesis import strategies as st
import pytest

from cyclamenshelf_daemon import messages

_KEY = b"shared"
_U32 = st.integers(0, 2**32 - 1)
_U64 = st.integers(0, 2**64 - 1)


def _make_values(maximum):
    return st.dictionaries(_U32, _U32, max_size=maximum)


_GOSSIPS = st.builds(
    messages.Gossip,
    st.text(st.characters(codec="utf-8"), min_size=1, max_size=31),
    _U64,
    _U32,
    st.sampled_from(messages.State),
    _U64,
    st.lists(
        st.builds(messages.MemberEntry, _U32, _U64, _U32, st.booleans()),
        max_size=messages.MAX_MEMBERS,
    ).map(lambda members: tuple(sorted(members, key=lambda m: m.leaving))),
    st.lists(
        st.builds(messages.EpochEntry, _U32, _U32, _U64),
        max_size=messages.MAX_EPOCHS,
    ).map(tuple),
    _make_values(messages.MAX_ACCOUNTS),
    _make_values(messages.MAX_LEAVING),
    _make_values(messages.MAX_ACCOUNTS),
)
_HINT = messages.JobHint("e1", 7, "j-0", messages.HintKind.CANCEL)
_FULL = messages.Gossip(
    "e" * 31,
    2**57,
    9,
    messages.State.LEAVING,
    2**40,
    tuple(messages.MemberEntry(i, i, i, i > 3) for i in range(8)),
    tuple(messages.EpochEntry(i, i, i) for i in range(4)),
    {i: i for i in range(8)},
    {i: i for i in range(6)},
    {i: i for i in range(8)},
)


def _sign(body):
    return body + messages._sign(body, _KEY)


def _decode_or_refuse(datagram):
    """Return the decoded message or the InvalidMessageError.

    Any other exception fails the test.
    """
    try:
        return messages.decode_message(datagram, _KEY)
    except messages.InvalidMessageError as error:
        return error


@hypothesis.given(_GOSSIPS | st.just(_HINT))
def test_message_survives_encoding(message):
    datagram = messages.encode_message(message, _KEY)
    assert messages.decode_message(datagram, _KEY) == message


@pytest.mark.parametrize(("members", "maximum"), [(8, 600), (16, 712)])
def test_gossip_with_full_lists_stays_within_its_size_limit(members, maximum):
    # Guards the traffic budget of D9. 8 members are all other hosts in a fleet
    # of 9.
    gossip = _FULL._replace(members=_FULL.members * (members // 8))
    assert len(messages.encode_message(gossip, _KEY)) <= maximum


@hypothesis.given(st.binary(max_size=1_300))
def test_random_bytes_never_crash_the_decoder(body):
    assert isinstance(_decode_or_refuse(body), messages.InvalidMessageError)
    _decode_or_refuse(_sign(body))


@hypothesis.given(
    st.sampled_from([_FULL, _HINT]),
    st.lists(st.tuples(st.integers(0, 599), st.integers(0, 255)), max_size=8),
    st.integers(0, 600),
)
def test_signed_damaged_messages_never_crash_the_decoder(message, edits, end):
    # A peer with another build may sign malformed messages.
    body = bytearray(messages.encode_message(message, _KEY)[:-32])
    for position, value in edits:
        body[position % len(body)] = value
    _decode_or_refuse(_sign(bytes(body[:end])))


@pytest.mark.parametrize(
    ("datagram", "reason"),
    [
        (_sign(b"\0" * 1_169), "oversized"),
        (messages.encode_message(_HINT, b"another key"), "unsigned"),
        (b"", "unsigned"),
        (_sign(b""), "malformed"),
        (_sign(messages._schema.Message.new_message().to_bytes()), "version"),
        (
            messages.encode_message(_HINT._replace(sender=""), _KEY),
            "malformed",
        ),
        (
            messages.encode_message(
                _FULL._replace(members=_FULL.members[:1] * 17), _KEY
            ),
            "malformed",
        ),
    ],
)
def test_invalid_datagram_is_rejected_with_its_reason(datagram, reason):
    error = _decode_or_refuse(datagram)
    assert getattr(error, "reason", None) == reason


def test_list_of_empty_structs_is_rejected_before_it_is_read():
    # 32 bytes can claim 2**29 entries, and reading them would block the receive
    # thread.
    body = messages.encode_message(
        _FULL._replace(epochs=_FULL.epochs[:1]), _KEY
    )[:-32]
    tag = bytes.fromhex("0400000002000000")  # One struct of two words.
    pointer_and_tag = body.index(tag)
    damaged = (
        body[:pointer_and_tag]
        + ((2**29 - 1) << 2).to_bytes(4, "little")
        + bytes(4)
        + body[pointer_and_tag + 8 :]
    )
    error = _decode_or_refuse(_sign(damaged))
    assert getattr(error, "reason", None) == "malformed"


def test_oversized_message_is_not_encoded():
    with pytest.raises(messages.InvalidMessageError):
        messages.encode_message(_HINT._replace(job_id="j" * 1_200), _KEY)
