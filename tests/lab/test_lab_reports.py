import pytest

from hollyridge.errors import HollyridgeError
from hollyridge.lab.experiments import sweep
from hollyridge.lab.reports.errors import ReportError
from hollyridge.lab.reports.plot_page import PlotPage
from hollyridge.lab.reports.plots import write_plot_page
from hollyridge.lab.reports.record import Recorder, decode_lines, read_all


def test_a_recorder_without_a_path_collects_records():
    recorder = Recorder(None, clock=lambda: 5)
    recorder.frame("heard", "gw-1", 2, b"\x00")
    recorder.parts("told", "gw-1", 2, [b"a", b""])
    recorder.flush()
    assert recorder.rows == [
        {"k": "heard", "t": 5, "who": "gw-1", "stream": 2, "frame": "AA=="},
        {"k": "told", "t": 5, "who": "gw-1", "stream": 2, "parts": ["YQ==", ""]},
    ]


def test_truncated_lines_are_omitted():
    assert decode_lines(b'{"t":1}\n{"t"\n{"t":2}\n') == [{"t": 1}, {"t": 2}]


def test_records_of_equal_time_keep_the_order_of_files_and_lines(tmp_path):
    (tmp_path / "b.jsonl").write_bytes(b'{"t":2,"n":3}\n{"t":1,"n":1}\n')
    (tmp_path / "a.jsonl").write_bytes(b'{"t":2,"n":2}\n')
    assert [row["n"] for row in read_all(tmp_path)] == [1, 2, 3]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "expected a first record with key 'k' of a recording or key 'variant' of a kept comparison, found none"),
        (
            '{"x":1}',
            "expected a first record with key 'k' of a recording or key 'variant' of a kept comparison, found none",
        ),
        ('{"k":"state","t":1}', "the recording holds no record of a finished RPC"),
        ('{"variant":"even","failed":"no"}', "no day of the comparison could be run, 1 failed"),
    ],
)
def test_a_source_with_nothing_to_show_is_rejected_with_the_reason(tmp_path, text, message):
    (tmp_path / "source").write_text(text)
    with pytest.raises(ReportError, match=f"^{message}$") as caught:
        write_plot_page(tmp_path / "source", tmp_path / "out")
    assert isinstance(caught.value, HollyridgeError)
    assert isinstance(caught.value, ValueError)
    assert not (tmp_path / "out").exists()


def test_a_sweep_without_a_successful_size_is_rejected_with_all_reasons(tmp_path):
    rows = [{"times": 1.0, "assigners": 1, "failed": "first"}, {"times": 9.0, "assigners": 1, "failed": "second"}]
    with pytest.raises(ReportError, match=r"^no size could be run: first; second$"):
        sweep.page(rows, tmp_path, "x")


def test_a_page_escapes_its_text(tmp_path):
    page = PlotPage("a<b", ["1 & 2"], [{"key": "<i>"}], []).write(tmp_path / "new")
    text = page.read_text()
    assert page == tmp_path / "new" / "index.html"
    assert "<h1>a&lt;b</h1><p>1 &amp; 2</p>" in text
    assert "<td>&lt;i&gt;" in text
