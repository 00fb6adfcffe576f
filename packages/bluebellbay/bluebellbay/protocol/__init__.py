"""Typed messages, codecs and error kinds; no sockets, no decisions."""
