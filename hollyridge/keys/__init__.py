"""Transport security of the servers: TLS with client certificates for SASP and OTLP, CURVE for CHP.

Keys are loaded at start and again on SIGHUP. New connections use the new keys. Open streams stay open unless their
principal has been removed.
"""
