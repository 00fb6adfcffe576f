"""Admission, dispatch and merging of queries over key ranges."""
