"""The daemon on an entry VM."""
