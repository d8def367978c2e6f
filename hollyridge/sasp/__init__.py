"""The Server/Application State Protocol (RFC 4678): codec, server and client library."""
