"""Steps that run a soak."""

import behave
from soak import Soak


@behave.then("a soak of {seconds:d} s with seed {seed:d} keeps every promise")
def check_soak(context, seconds, seed):
    soak = Soak(seed)
    print(soak.run(seconds))
    print(soak.faults)
