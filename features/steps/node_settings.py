"""Settings of a node whose store and VM list can't be reached."""


def make_settings_data(**overrides):
    """Return the settings as plain data, as in a settings file.

    :param overrides: Values by section; they replace single values only.
    """
    settings = {
        "node": {
            "name": "vm-1",
            "failure_domain": "fd-1",
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
        },
        "platform": {
            "store": "http://127.0.0.1:1",
            "vm_list": "http://127.0.0.1:1",
        },
        "indexes": [{"name": "press-desk"}],
        "log": {"decisions": False},
    }
    for section, values in overrides.items():
        settings.setdefault(section, {}).update(values)
    return settings
