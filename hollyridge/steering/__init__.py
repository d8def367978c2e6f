"""What the program decides around the module: no sockets, no clock, no gevent; times are whole microseconds.

Each part takes what happened with the moment handed in, and returns what is to be done. `advice`: a table as
SASP weights. `desk`: which message each proxy is owed for the module's orders. `channel`: when each leaves.
`indices`: outer names to dense indices. `members`: who is listed. `news`: what reports count. `presence`: which
load balancers count as joined. `pending`: connections that have not joined. `doorkeeper`: which connections and
requests are taken.
"""
