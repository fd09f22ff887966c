"""The settings of one process, read from a TOML file and checked."""

import pathlib
import tomllib
import typing

from mulberryway import errors
from mulberryway import options

__all__ = [
    "OPTIONS",
    "Settings",
    "read_bytes",
    "read_port",
    "read_settings",
]

HOUR_S = 3_600
HOUR_MS = HOUR_S * options.MS_IN_S


class Settings:
    """Everything that a process is told, with the defaults in sight.

    Durations are milliseconds, sizes are bytes.
    """

    def __init__(self) -> None:
        # Who this process is.
        self.vm_name: str = ""
        self.vm_address: str = "127.0.0.1"
        self.vm_zone: str = ""
        self.vm_region: str = ""
        # The rate of its network link; 0 if not known.  VMs with faster
        # links relay the hints of others.
        self.vm_link_mbps: int = 0

        # The callers' side.  The backlog takes in a burst of new callers:
        # with cheroot's default of 5 a hundred callers at once lose two
        # seconds to repeated SYNs.
        self.router_port: int = 8080
        self.router_threads: int = 160
        self.router_backlog: int = 1024
        self.router_keep_alive: int = 2048
        self.router_idle_ms: int = 75_000
        self.router_header_bytes: int = 32_768
        self.router_body_bytes: int = 2_097_152
        self.router_body_ms: int = 10_000
        # Callers keep an entry address for this long; a stopping VM serves
        # for at least as long after it has left the answer.
        self.router_entry_ttl_ms: int = 5_000
        # So many of these lifetimes callers may keep an address.
        self.router_entry_lives: int = 1
        self.router_token_gap_ms: int = 10_000
        # ``host:port`` of the callers' side where it is told as one, of
        # where the platform looks whether callers may come, and of where
        # callers ask which VMs to use; empty where ``vm.address`` and
        # ``router.port`` serve all of that.
        self.router_address: str = ""
        self.router_ready_address: str = ""
        self.router_directory_address: str = ""
        # A planned stop has this long from the signal on; a request that
        # is still running shortly before is told so instead of being cut.
        self.router_grace_ms: int = 60_000

        # The other VMs.  All processes of a deployment share the secret.
        self.peers_port: int = 8081
        self.peers_secret: str = ""
        self.peers_seeds: tuple[str, ...] = ()
        self.peers_period_ms: int = 1_000
        self.peers_timeout_ms: int = 500
        # The seeds' peers port, where the list of seeds names another
        # port of theirs; 0 where it names the right one.
        self.peers_seeds_port: int = 0

        # The platform's object API.
        self.platform_url: str = "http://127.0.0.1:8001"
        self.platform_timeout_ms: int = 2_000
        self.platform_silence_ms: int = 3_000

        # Where upstreams tell the platform of themselves: how often they
        # renew their entries, and how long one that leaves serves on.
        self.upstreams_heartbeat_ms: int = 1_000
        self.upstreams_drain_ms: int = 2_000

        # What a client account may get beyond its rate and burst in one
        # window, over all VMs; it covers what VMs have not told yet.
        self.allowances_window_ms: int = 8_000
        self.allowances_over_part: float = 0.0
        self.allowances_over_tokens: int = 0

        # Repeats at other upstreams, over all VMs: in each window at most
        # the part of the requests and the tokens' number together.
        self.retries_part: float = 0.1
        self.retries_window_ms: int = 10_000
        self.retries_slack: int = 40

        # The tables.  A confirmation by the platform is enough for
        # ``fresh_ms``; then a VM goes on only while it reaches most VMs, for
        # ``outage_ms`` at most.  ``watchers`` VMs of each region watch.
        self.configuration_fresh_ms: int = 15_000
        self.configuration_outage_ms: int = 4 * HOUR_MS
        self.configuration_watchers: int = 3

        # The administration API; digests of operators' credentials by name.
        self.admin_port: int = 8082
        self.admin_operators: dict[str, str] = {}

        # What is reported, and where to; empty for no export.
        self.telemetry_log_level: str = "INFO"
        self.telemetry_debug: tuple[str, ...] = ()
        self.telemetry_otlp_url: str = ""
        self.telemetry_export_ms: int = 10_000
        # Where metrics are served as text, as ``host:port``; empty for
        # nowhere.
        self.telemetry_metrics_address: str = ""

        # What is weighed more when not everybody can be served well; see
        # docs/operators/weighing.md.
        self.policy_weighing: str = "worst_served"
        # What a prefill engine takes for a prompt's token, until that was
        # observed; see docs/operators/weighing.md.
        self.policy_prefill_us: int = 100


GIB = 1 << 30

OPTIONS = (
    options.Option("vm.name", "vm_name", "a name", options.is_nonempty_string),
    options.Option("vm.address", "vm_address", "an IP number", options.is_ip),
    options.Option(
        "vm.zone",
        "vm_zone",
        "an availability zone",
        options.is_nonempty_string,
    ),
    options.Option(
        "vm.region", "vm_region", "a region", options.is_nonempty_string
    ),
    options.make_amount("vm.link_mbps", "vm_link_mbps", 1_000_000),
    options.make_port("router.port", "router_port"),
    options.make_number("router.threads", "router_threads", 4, 1024),
    options.make_number("router.backlog", "router_backlog", 16, 65_535),
    options.make_number("router.keep_alive", "router_keep_alive", 0, 65_535),
    options.make_number("router.idle_ms", "router_idle_ms", 100, HOUR_MS),
    options.make_number(
        "router.header_bytes", "router_header_bytes", 1_024, GIB
    ),
    options.make_number("router.body_bytes", "router_body_bytes", 1_024, GIB),
    options.make_number("router.body_ms", "router_body_ms", 100, HOUR_MS),
    options.make_number(
        "router.entry_ttl_ms", "router_entry_ttl_ms", 100, HOUR_MS
    ),
    options.make_number("router.entry_lives", "router_entry_lives", 1, 10),
    options.make_number(
        "router.token_gap_ms", "router_token_gap_ms", 10, HOUR_MS
    ),
    options.make_address("router.address", "router_address"),
    options.make_address("router.ready_address", "router_ready_address"),
    options.make_address(
        "router.directory_address", "router_directory_address"
    ),
    options.make_seconds("router.grace_s", "router_grace_ms", 0.1, HOUR_S),
    options.make_port("peers.port", "peers_port"),
    options.make_number(
        "peers.seeds_port", "peers_seeds_port", 0, options.MOST_PORT
    ),
    options.Option(
        "peers.secret",
        "peers_secret",
        "a secret text",
        options.is_nonempty_string,
    ),
    options.Option(
        "peers.seeds",
        "peers_seeds",
        "a list of host:port",
        options.is_text_list,
    ),
    options.make_number("peers.period_ms", "peers_period_ms", 10, 60_000),
    options.make_number("peers.timeout_ms", "peers_timeout_ms", 10, 60_000),
    options.Option(
        "platform.url", "platform_url", "an http address", options.is_url
    ),
    options.make_number(
        "platform.timeout_ms", "platform_timeout_ms", 10, 60_000
    ),
    options.make_number(
        "platform.silence_ms", "platform_silence_ms", 100, 60_000
    ),
    options.make_number(
        "upstreams.heartbeat_ms", "upstreams_heartbeat_ms", 10, HOUR_MS
    ),
    options.make_number(
        "upstreams.drain_ms", "upstreams_drain_ms", 10, HOUR_MS
    ),
    options.make_seconds(
        "allowances.window_s", "allowances_window_ms", 0.1, HOUR_S
    ),
    options.Option(
        "allowances.over_part",
        "allowances_over_part",
        "a number from 0 to 1",
        options.is_fraction,
    ),
    options.make_amount(
        "allowances.over_tokens", "allowances_over_tokens", GIB
    ),
    options.Option(
        "retries.part",
        "retries_part",
        "a number from 0 to 1",
        options.is_fraction,
    ),
    options.make_seconds("retries.window_s", "retries_window_ms", 0.1, HOUR_S),
    options.make_amount("retries.slack", "retries_slack", 1_000_000),
    options.make_number(
        "configuration.fresh_ms", "configuration_fresh_ms", 1_000, HOUR_MS
    ),
    options.make_number(
        "configuration.outage_ms",
        "configuration_outage_ms",
        1_000,
        168 * HOUR_MS,
    ),
    options.make_number(
        "configuration.watchers", "configuration_watchers", 1, 100
    ),
    options.make_port("admin.port", "admin_port"),
    options.Option(
        "admin.operators",
        "admin_operators",
        "a table of names and SHA-256 digests of credentials",
        options.is_digest_table,
    ),
    options.Option(
        "telemetry.log_level",
        "telemetry_log_level",
        "DEBUG, INFO, WARNING or ERROR",
        options.make_choice_check("DEBUG", "INFO", "WARNING", "ERROR"),
    ),
    options.Option(
        "telemetry.debug",
        "telemetry_debug",
        "a list of report names",
        options.is_text_list,
    ),
    options.Option(
        "telemetry.otlp_url",
        "telemetry_otlp_url",
        "an http address, or empty",
        options.is_optional_url,
    ),
    options.make_address(
        "telemetry.metrics_address", "telemetry_metrics_address"
    ),
    options.make_number(
        "telemetry.export_ms", "telemetry_export_ms", 100, HOUR_MS
    ),
    options.make_number("policy.prefill_us", "policy_prefill_us", 1, 100_000),
    options.Option(
        "policy.weighing",
        "policy_weighing",
        "worst_served or goodput",
        options.make_choice_check("worst_served", "goodput"),
    ),
)

REQUIRED = ("vm.name", "vm.zone", "vm.region", "peers.secret")


def read_settings(file: str) -> Settings:
    """Read and check a settings file; change nothing else.

    :param file: the file's name
    :returns: the settings
    :raises SettingsError: with the file, the key and what was expected
    """
    values = _flatten(file, _load(file))
    missing = next((key for key in REQUIRED if key not in values), None)
    if missing is not None:
        raise errors.SettingsError(file, missing, "a value; it is missing")
    by_key = {option.key: option for option in OPTIONS}
    settings = Settings()
    for key, value in values.items():
        if key not in by_key:
            raise errors.SettingsError(file, key, "a known option")
        _set(settings, file, by_key[key], value)
    if settings.router_address:
        settings.router_port = read_port(settings.router_address)
    return settings


def read_bytes(file: str) -> bytes:
    """Return a file's content, to tell whether it has changed.

    :param file: the file's name
    :returns: its bytes; none of them where it cannot be read now, as while
        it is being replaced
    """
    try:
        return pathlib.Path(file).read_bytes()
    except OSError:
        return b""


def read_port(address: str) -> int:
    """Return the port of an address.

    :param address: ``host:port``
    :returns: the port
    """
    return int(address.rpartition(":")[2])


def _load(file: str) -> dict[str, typing.Any]:
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
        return tomllib.loads(text)
    except OSError as error:
        raise errors.SettingsError(
            file, "file", f"a readable file ({error.strerror})"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            file, "file", f"valid TOML ({error})"
        ) from error


def _flatten(
    file: str, sections: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    loose = next(
        (
            name
            for name, section in sections.items()
            if not isinstance(section, dict)
        ),
        None,
    )
    if loose is not None:
        raise errors.SettingsError(file, loose, "a section, [name]")
    return {
        f"{name}.{key}": value
        for name, section in sections.items()
        for key, value in section.items()
    }


def _set(
    settings: Settings, file: str, option: options.Option, value: typing.Any
) -> None:
    if not option.accepts(value):
        raise errors.SettingsError(file, option.key, option.expected)
    if isinstance(value, list):
        value = tuple(value)
    setattr(settings, option.attribute, option.convert(value))
