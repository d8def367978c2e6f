"""The log of rejected messages logs a sample of each reason."""

from types import SimpleNamespace

from hollyridge.resp.rejection_log import MAX_REASONS, OTHER_REASONS, RejectionLog


class RecordingLog:
    def __init__(self):
        self.lines = []

    def warning(self, event, **values):
        self.lines.append((event, values["reason"], values["times"]))


CONNECTION = SimpleNamespace(address=("127.0.0.1", 9), node=-1)


def test_a_reason_is_logged_at_its_1st_2nd_4th_and_8th_occurrence():
    log = RecordingLog()
    rejections = RejectionLog(log)
    for _ in range(9):
        rejections.add("hb: names and values do not pair", CONNECTION)
    assert [times for _, _, times in log.lines] == [1, 2, 4, 8]
    assert {event for event, _, _ in log.lines} == {"malformed_message"}


def test_reasons_past_the_limit_are_counted_together():
    rejections = RejectionLog(RecordingLog())
    for number in range(MAX_REASONS + 40):
        rejections.add(f"reason {number}", CONNECTION)
    assert len(rejections.times_by_reason) == MAX_REASONS + 1
    assert rejections.times_by_reason[OTHER_REASONS] == 40
