"""Client accounts of a soak test: keys that callers use, and what must hold.

A key belongs to one account for ever. Some keys are always listed, some are
added and withdrawn by new versions of the configuration, some were withdrawn
before the programs started, and some were never listed.
"""

import bisect
import collections

# Longest time until a new version is in force, and after an outage.
SETTLING_S = 9.0
QUOTA_WINDOW_S = 5.0
# As the settings of the programs say.
QUOTA_OVERAGE = 0.0
QUOTA_SLACK = 20
LIMITED = "limited"
LIMITED_BURST = 2
FORGED = {"Bluebellbay-Tenant-Id": "forged"}
# Ways to write a key that count as the key.
VALUE_FORMS = ("Bearer {}", "bearer {}", "BEARER   {}  ")
NEVER_RUN = ("unknown", "withdrawn", "scheme", "none")
NO_KEY_STATUSES = (0, 401, 408, 503)


class AccountBook:
    """Writes the accounts of each version and chooses keys for callers.

    :param rate_per_s: Rate of the account with a limit.
    """

    def __init__(self, rate_per_s):
        self._rate_per_s = rate_per_s
        self._owner_by_key = {}
        self._kept = {
            name: [self._make_key(name, number) for number in range(2)]
            for name in ("large", "small", LIMITED)
        }
        self._changing = [self._make_key("small", n) for n in range(10, 16)]
        self._listed_changing = set(self._changing[:3])
        self._withdrawn = [self._make_key("large", 20)]
        self._unknown = ["unknown-key-0", "unknown-key-1"]

    @property
    def keys(self):
        """All keys that callers may send."""
        return (*self._owner_by_key, *self._unknown)

    @property
    def kept_key(self):
        """A key that is always listed, of an account without a limit."""
        return self._kept["large"][0]

    @property
    def withdrawn_keys(self):
        """Keys that the last version doesn't list."""
        changing = set(self._changing) - self._listed_changing
        return (*self._withdrawn, *sorted(changing))

    def _make_key(self, name, number):
        key = f"secret-{name}-{number}"
        self._owner_by_key[key] = name
        return key

    def change(self, rng):
        """List other keys of those that come and go."""
        count = rng.randrange(len(self._changing) + 1)
        self._listed_changing = set(rng.sample(self._changing, count))

    def build_tenants(self):
        """Write the accounts as the configuration holds them."""
        small_keys = [*self._kept["small"], *sorted(self._listed_changing)]
        return [
            {"name": "large", "api-keys": self._kept["large"], "priority": 1},
            {"name": "small", "api-keys": small_keys},
            {
                "name": LIMITED,
                "api-keys": self._kept[LIMITED],
                "rate-per-s": self._rate_per_s,
                "burst": LIMITED_BURST,
            },
        ]

    def choose_headers(self, rng):
        """Choose the headers of a call.

        :returns: The kind of its key, the account if it has one, and headers.
        """
        kind = rng.choice(("kept",) * 6 + ("changing",) + NEVER_RUN)
        if kind == "none":
            return kind, None, dict(rng.choice(({}, FORGED)))
        keys = {
            "kept": [key for keys in self._kept.values() for key in keys],
            "changing": self._changing,
            "withdrawn": self._withdrawn,
            "unknown": self._unknown,
            "scheme": [self.kept_key],
        }[kind]
        key = rng.choice(keys)
        form = "Basic {}" if kind == "scheme" else rng.choice(VALUE_FORMS)
        headers = {"Authorization": form.format(key)}
        account = self._owner_by_key.get(key)
        return kind, account, {**headers, **rng.choice(({}, FORGED))}

    def check_runs(self, calls, replicas):
        """Check what reached the replicas, and the statuses of the calls.

        :param calls: Kind, account and status of each call, by path.
        :param replicas: All replicas.
        """
        for replica in replicas:
            for receipt in replica.receipts:
                if receipt.path not in calls:
                    continue
                kind, account, _ = calls[receipt.path]
                self._check_receipt(receipt, kind, account)
        for path, (kind, _, status) in calls.items():
            is_public = path.startswith("/open/")
            assert kind != "kept" or status != 401, (
                f"{path} was answered with status 401 although its key was "
                "listed all the time"
            )
            if kind in NEVER_RUN and not is_public:
                assert status in NO_KEY_STATUSES, (
                    f"{path} with the key {kind} was answered with {status}"
                )

    def _check_receipt(self, receipt, kind, account):
        path = receipt.path
        assert not receipt.has_credentials, f"{path}: a replica got a key"
        assert "forged" not in receipt.accounts, f"{path}: forged account"
        if path.startswith("/open/") and kind != "kept":
            # A key that is not listed gives no account on a public route.
            assert receipt.accounts in ((), (account,)), (path, receipt)
            assert not (kind in NEVER_RUN and receipt.accounts), path
            return
        assert kind not in NEVER_RUN, (
            f"{path} with the key {kind} reached a replica"
        )
        assert receipt.accounts == (account,), (
            f"{path} of {account} reached a replica as {receipt.accounts}"
        )

    def check_refusals(self, program, wait_for):
        """Check that a program refuses all keys that are not listed now."""
        for key in (*self.withdrawn_keys, *self._unknown):
            headers = {"Authorization": f"Bearer {key}"}
            assert wait_for(
                lambda headers=headers: (
                    program.call("/query/end", headers=headers)[0].status
                    == 401
                ),
                SETTLING_S,
            ), f"{program.name} lets a key in that is not listed"

    def check_quota(self, replicas):
        """Check that the limited account ran no more than it may."""
        limit = self._rate_per_s * QUOTA_WINDOW_S + LIMITED_BURST
        limit = limit * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        count = count_most_in_window(
            list_first_runs(replicas, LIMITED), QUOTA_WINDOW_S
        )
        assert count <= limit, (
            f"{count} requests of an account ran in {QUOTA_WINDOW_S} s, "
            f"above {limit}"
        )


def check_forwarding(calls, replicas):
    """Check the headers at the replicas while no accounts are configured.

    :param calls: Kind, account and status of each call, by path.
    :param replicas: All replicas.
    """
    for replica in replicas:
        for receipt in replica.receipts:
            if receipt.path not in calls:
                continue
            kind, _, _ = calls[receipt.path]
            assert not receipt.accounts, f"{receipt.path}: forged account"
            assert receipt.has_credentials == (kind != "none"), (
                f"{receipt.path}: credentials were not forwarded as sent"
            )


def list_first_runs(replicas, account):
    """List when each call of an account first arrived where it ran."""
    first_by_path = collections.defaultdict(list)
    for replica in replicas:
        for receipt in replica.receipts:
            if receipt.ran and account in receipt.accounts:
                first_by_path[receipt.path].append(receipt.at)
    return sorted(min(times) for times in first_by_path.values())


def count_most_in_window(times, window_s):
    """Count the most of sorted times that lie in any window."""
    return max(
        (
            bisect.bisect_left(times, start + window_s) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )
