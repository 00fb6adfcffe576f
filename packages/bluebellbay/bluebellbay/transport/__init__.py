"""Network input and output: callers, backend servers, platform and peers.

The modules translate between sockets and events; decisions are made elsewhere.
"""
