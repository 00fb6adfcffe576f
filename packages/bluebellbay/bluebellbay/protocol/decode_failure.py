"""What decoders of messages raise."""

import msgspec

# Deep nesting raises an error of its own.
DECODE_EXCEPTIONS = (msgspec.MsgspecError, ValueError, RecursionError)
