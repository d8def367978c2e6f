"""OTLP (OpenTelemetry protocol) over HTTP: metrics in, and a small sender for those who report."""
