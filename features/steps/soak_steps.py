"""Steps that run a soak."""

import behave
from soak import SoakTest


@behave.then("a soak of {seconds:d} s with seed {seed:d} keeps every promise")
def check_soak(context, seconds, seed):
    soak_test = SoakTest(seed)
    print(soak_test.run(seconds))
    print(soak_test.fault_names)
