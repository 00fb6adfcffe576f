"""Claims and runs that execute non-repeatable requests at most once."""
