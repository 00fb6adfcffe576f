"""Benches over the decision core, in virtual time."""
