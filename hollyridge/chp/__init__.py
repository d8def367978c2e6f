"""Pub-sub with snapshots: the Clustered Hashmap Protocol (ZeroMQ RFC 12). See docs/clone.md."""
