"""OTLP (OpenTelemetry protocol) over HTTP: a receiver of metrics and a small sender for proxies and tasks."""
