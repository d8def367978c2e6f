"""The Clustered Hashmap Protocol (ZeroMQ RFC 12), which is pub-sub with snapshots. See docs/clone.md."""
