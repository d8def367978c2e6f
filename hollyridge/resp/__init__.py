"""The platform's protocol: RESP2 messages from collectors and proxies in, tables out."""
