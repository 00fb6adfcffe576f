"""Steps that run a soak test."""

import behave
from soak import SoakTest


@behave.then(
    "a soak test of {seconds:d} s with seed {seed:d} violates no guarantee"
)
def check_soak(context, seconds, seed):
    soak_test = SoakTest(seed)
    print(soak_test.run(seconds))
    print(soak_test.fault_names)
