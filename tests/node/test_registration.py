import pytest

from turmericknot.core.exceptions import MessageError
from turmericknot.node.registration import (
    Registration,
    decode_registration,
    encode_registration,
)


def test_registration_is_read_back():
    """An agent that reads another address dials a stranger."""
    registration = Registration("10.0.0.1:7720", 5.5)
    read = decode_registration(encode_registration(registration))
    assert (read.address, read.time) == ("10.0.0.1:7720", 5.5)


@pytest.mark.parametrize("data", [b"", b"10.0.0.1:7720", b"\xc1", b"\x92\x01\x02"])
def test_damaged_registration(data):
    """One record that cannot be read must not end the search for entries."""
    with pytest.raises(MessageError):
        decode_registration(data)
