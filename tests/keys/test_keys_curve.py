"""Loading of CURVE keys."""

import pytest
import zmq.green as zmq
from zmq import auth

from hollyridge.errors import HollyridgeError
from hollyridge.keys.curve import Curve


def test_a_key_file_without_a_secret_key_is_an_error(tmp_path):
    public, _ = auth.create_certificates(tmp_path, "pubsub")
    with pytest.raises(ValueError, match="contains no secret key") as error:
        Curve(zmq.Context(), public, bool, str)
    assert isinstance(error.value, HollyridgeError)
