import pytest

from turmericknot.core.exceptions import MessageError
from turmericknot.node.registration import (
    Registration,
    decode_registration,
    encode_registration,
)


def test_registration_round_trip():
    """With a wrong address an agent would connect to another process."""
    registration = Registration("10.0.0.1:7720", 5.5)
    decoded = decode_registration(encode_registration(registration))
    assert (decoded.address, decoded.time) == ("10.0.0.1:7720", 5.5)


@pytest.mark.parametrize("data", [b"", b"10.0.0.1:7720", b"\xc1", b"\x92\x01\x02"])
def test_malformed_registration(data):
    """A malformed record must raise MessageError, which the agent skips."""
    with pytest.raises(MessageError):
        decode_registration(data)
