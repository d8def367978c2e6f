"""The engine's part of the status page. Other programs read its keys, so they must not change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from hollyridge.core.engine import Engine


def percentiles(histogram: HdrHistogram) -> dict[str, int]:
    """Return the median, 99th percentile and maximum of the recorded values, in their unit."""
    return {
        "p50": histogram.get_value_at_percentile(50),
        "p99": histogram.get_value_at_percentile(99),
        "max": histogram.get_max_value(),
    }


def engine_status(engine: Engine) -> dict:
    """Return counts and levels of an engine. The decision module's `counters` are optional: baselines may lack them."""
    module_counters = getattr(engine.assigner, "counters", dict)()
    return {
        "at": engine.ran_at_us,
        "module": module_counters,
        **engine.counts,
        "refused": engine.update_dispatcher.refused_commands,
        "waiting": round(engine.queue.waiting_lines),
        "waiting_most": engine.queue.peak_lines,
        "merged": engine.queue.merged_updates,
        "over_limit": engine.queue.overflows,
        "lost_lines": engine.queue.lost_lines,
        "proxies": len(engine.servers),
        "tasks": len(engine.endpoint_source.entries),
        **engine.endpoint_source.counters(),
        "turned_down": engine.reports.rejected,
        "news_to_frame_us": percentiles(engine.update_dispatcher.latency),
    }
