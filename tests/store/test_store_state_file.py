"""The state file is read completely or not at all."""

import pytest

from hollyridge.store import state_file
from hollyridge.store.state_file import SavedState, StateFileError, TaskEstimate

ROWS = [TaskEstimate("127.1.0.1:9000", 20.0, 5.0, 1.2, 0.9), TaskEstimate("127.1.0.2:9000", 40.0, 5.0, 0.8, 1.1)]
WHOLE = state_file.pack(SavedState("f", 1000, ROWS, 0.6))


def test_a_file_truncated_at_any_byte_is_rejected_and_a_complete_one_is_read():
    assert state_file.unpack(WHOLE).estimates == ROWS
    for size in range(len(WHOLE)):
        with pytest.raises(StateFileError):
            state_file.unpack(WHOLE[:size])


def test_a_file_with_any_damaged_byte_is_rejected():
    for offset in range(len(WHOLE)):
        with pytest.raises(StateFileError):
            state_file.unpack(WHOLE[:offset] + bytes([WHOLE[offset] ^ 0x55]) + WHOLE[offset + 1 :])


def test_an_older_layout_is_read_and_a_newer_one_rejected():
    body = state_file._ENCODER.encode({"fleet": "f", "saved": 7, "rows": [["a:1", 2.0, 1.0]], "colour": "red"})
    raw = state_file.HEADER.pack(state_file.MAGIC, len(body), state_file.xxh64_intdigest(body)) + body
    old = state_file.unpack(raw)  # missing fields have their defaults, and unknown ones are ignored
    assert old.push_price == 0.0
    assert old.estimates == [TaskEstimate("a:1", 2.0, 1.0, 1.0, 1.0)]
    with pytest.raises(StateFileError, match="layout 9"):
        state_file.unpack(state_file.pack(SavedState("f", 7, [], 0.0, 9)))


def test_a_write_that_fails_leaves_the_former_file(tmp_path):
    path = tmp_path / "kept.state"
    state_file.write(path, WHOLE)
    (tmp_path / "kept.state.new").mkdir()
    with pytest.raises(OSError):
        state_file.write(path, b"other")
    assert state_file.read(path) == WHOLE
    path.write_bytes(b"x" * (state_file.MAX_FILE_BYTES + 1))
    with pytest.raises(StateFileError, match="over"):
        state_file.read(path)
