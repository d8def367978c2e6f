"""OTLP (OpenTelemetry protocol) over HTTP: a receiver of metrics, and a small sender for those who report."""
