"""Sockets only: callers, backend servers, platform and peers."""
