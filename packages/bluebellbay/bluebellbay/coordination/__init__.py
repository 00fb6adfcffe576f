"""Sans-I/O decision core: events and the time in, typed commands out."""
