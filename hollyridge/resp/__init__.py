"""The platform's protocol: RESP2 messages from collectors and proxies in, tables out.

Without I/O:

- `codec`: bytes to messages and back.
- `messages`: the messages as types; `message_reader` reads those that come in, `assign_message` writes `assign`.
- `proxy_view`, `update_encoder`: what each proxy was sent, and the messages that bring it up to date.

On gevent:

- `connection`, `update_sender`: one connection, and orders that never block.
- `report_handler`, `rejection_log`: reports as events, and the log of what was refused.
- `server`, `config`: connections, joining, what is done with each message.
"""
