"""Message types, codecs and error kinds, without I/O or decision logic."""
