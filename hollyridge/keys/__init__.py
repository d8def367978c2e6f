"""Keys of the servers: TLS with client certificates for SASP and OTLP, CURVE for CHP.

Keys are loaded at start and again on SIGHUP. New connections use the new keys; open streams go on unless their
principal was removed.
"""
