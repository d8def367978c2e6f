"""Choice of the page for a source: a recorded day or the kept results of a comparison."""

from __future__ import annotations

from pathlib import Path

from hollyridge.lab.reports.comparison_plots import write_comparison_page
from hollyridge.lab.reports.day_plots import write_day_page
from hollyridge.lab.reports.errors import ReportError
from hollyridge.lab.reports.record import decode_lines, read_all


def write_plot_page(source: Path, folder: Path) -> Path:
    """Write the page of a source into a folder.

    Args:
        source: A recording, a folder with a day's recordings, or the file in which a comparison keeps its results.
        folder: Folder for the page; created if missing.

    Returns:
        The path of the page.

    Raises:
        ReportError: If the source is none of these, or holds nothing to show.
    """
    if source.is_dir():
        return write_day_page(read_all(source), folder, source.name)
    rows = decode_lines(source.read_bytes())
    if rows and "variant" in rows[0]:
        return write_comparison_page(rows, folder, source.stem)
    if rows and "k" in rows[0]:
        return write_day_page(sorted(rows, key=lambda row: row["t"]), folder, source.stem)
    raise ReportError(
        "expected a first record with key 'k' of a recording or key 'variant' of a kept comparison, found none"
    )
