"""The platform's protocol: a RESP2 server that receives reports from collectors and proxies and sends them tables.

Without I/O:

- `codec`: converts bytes to messages and back.
- `messages`: defines the types of messages; `message_reader` reads inbound messages, `assign_message` writes `assign`.
- `proxy_view`, `update_encoder`: track what each proxy was sent and encode the messages that bring it up to date.

On gevent:

- `connection`, `update_sender`: the state of one connection, and non-blocking writes to it.
- `report_handler`, `rejection_log`: submit reports to the engine, and log rejected messages.
- `server`, `config`: accepts connections, handles joining and dispatches messages.
"""
