"""SASP (RFC 4678): codec without sockets, service side, client library. See docs/sasp.md."""
