"""Reads and validates the settings file of a process."""

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
    """All settings of a process, with their defaults.

    Durations are in milliseconds, sizes in bytes.
    """

    def __init__(self) -> None:
        # The identity of this VM.
        self.vm_name: str = ""
        self.vm_address: str = "127.0.0.1"
        self.vm_zone: str = ""
        self.vm_region: str = ""
        # The bandwidth of its network link; 0 if unknown.  VMs with faster
        # links relay the gossip messages of others.
        self.vm_link_mbps: int = 0
        # Whether no VM of the fleet has run before.
        self.vm_is_first_start: bool = True
        # Its memory; 0 if unknown, and then what callers leave unread is
        # bounded for each stream alone.
        self.vm_memory_mb: int = 0
        # How many descriptors its process may open; 0 for what the kernel
        # allows.
        self.vm_descriptors: int = 0

        # The server for callers.  The backlog absorbs bursts of new callers:
        # with cheroot's default of 5, a hundred simultaneous callers lose two
        # seconds to retransmitted SYNs.
        self.router_port: int = 8080
        self.router_threads: int = 160
        self.router_backlog: int = 1024
        self.router_keep_alive: int = 2048
        # How many connections of callers may be open; 0 if the descriptors
        # and the memory of the VM decide.
        self.router_connections: int = 0
        self.router_idle_ms: int = 75_000
        self.router_header_bytes: int = 32_768
        self.router_body_bytes: int = 2_097_152
        self.router_body_ms: int = 10_000
        # Callers cache an entry address for this TTL; a VM that shuts down
        # serves for at least as long after its removal from the responses.
        self.router_entry_ttl_ms: int = 5_000
        # The number of TTLs for which callers may use an address.
        self.router_entry_lives: int = 1
        self.router_token_gap_ms: int = 10_000
        # ``host:port`` of the server for callers if it is configured as one
        # address, of the platform's readiness checks, and of discovery; empty
        # if ``vm.address`` and ``router.port`` are used for all of them.
        self.router_address: str = ""
        self.router_ready_address: str = ""
        self.router_directory_address: str = ""
        # The maximum duration of a graceful shutdown, from the signal on; a
        # request that is still running shortly before its end gets an error
        # reply instead of being cut off.
        self.router_grace_ms: int = 60_000

        # The other VMs.  All processes of a deployment share the secret.
        self.peers_port: int = 8081
        self.peers_secret: str = ""
        self.peers_seeds: tuple[str, ...] = ()
        self.peers_period_ms: int = 1_000
        self.peers_timeout_ms: int = 500
        # The port of the seeds' peer servers if the list of seeds gives their
        # port for something else; 0 if the listed ports are correct.
        self.peers_seeds_port: int = 0

        # The platform's object API.
        self.platform_url: str = "http://127.0.0.1:8001"
        self.platform_timeout_ms: int = 2_000
        self.platform_silence_ms: int = 3_000

        # For upstreams that register at the platform: how often they renew
        # their entries, and how long a draining one still serves.
        self.upstreams_heartbeat_ms: int = 1_000
        self.upstreams_drain_ms: int = 2_000

        # Additional round-trip time to another availability zone; 0 if
        # unknown.  The margin is how much sooner, beyond the round trip,
        # another zone has to serve a request before it leaves its zone.
        self.zones_round_trip_ms: float = 0.0
        self.zones_margin_ms: float = 3.0

        # What a cold upstream may get over all VMs, in each second: its rate
        # times the factor, plus the slack in requests.
        self.cold_start_over_part: float = 1.0
        self.cold_start_slack: int = 0

        # The tokens that a client account may get beyond its rate and burst
        # in one window, over all VMs; they cover usage that VMs have not
        # reported to one another yet.
        self.allowances_window_ms: int = 8_000
        self.allowances_over_part: float = 0.0
        self.allowances_over_tokens: int = 0

        # Retries at other upstreams, over all VMs: the maximum in a window is
        # this fraction of the requests plus the slack.
        self.retries_part: float = 0.1
        self.retries_window_ms: int = 10_000
        self.retries_slack: int = 40

        # The tables.  They stay valid for ``fresh_ms`` after the platform
        # confirmed them, and then for up to ``outage_ms`` while the VM reaches
        # a majority of VMs.  ``watchers`` VMs of each region watch them.
        self.configuration_fresh_ms: int = 15_000
        self.configuration_outage_ms: int = 4 * HOUR_MS
        self.configuration_watchers: int = 3

        # The administration API; digests of operators' credentials by name.
        self.admin_port: int = 8082
        self.admin_operators: dict[str, str] = {}

        # Logs, traces and metrics; an empty URL disables the export.
        self.telemetry_log_level: str = "INFO"
        self.telemetry_debug: tuple[str, ...] = ()
        self.telemetry_otlp_url: str = ""
        self.telemetry_export_ms: int = 10_000
        # ``host:port`` of the metrics in text format; empty for none.
        self.telemetry_metrics_address: str = ""

        # The priority when not all requests can be served well; see
        # docs/operators/weighing.md.
        self.policy_weighing: str = "worst_served"
        # The assumed prefill time per prompt token until it is measured; see
        # docs/operators/weighing.md.
        self.policy_prefill_us: int = 100


GIB = 1 << 30

OPTIONS = (
    options.Option("vm.name", "vm_name", "a name", options.is_nonempty_string),
    options.Option("vm.address", "vm_address", "an IP address", options.is_ip),
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
    options.Option(
        "vm.is_first_start",
        "vm_is_first_start",
        "true or false",
        options.is_flag,
    ),
    options.make_amount("vm.memory_mb", "vm_memory_mb", 100_000_000),
    options.make_amount("vm.descriptors", "vm_descriptors", 1_000_000),
    options.make_port("router.port", "router_port"),
    options.make_number("router.threads", "router_threads", 4, 1024),
    options.make_number("router.backlog", "router_backlog", 16, 65_535),
    options.make_number("router.keep_alive", "router_keep_alive", 0, 65_535),
    options.make_amount("router.connections", "router_connections", 1_000_000),
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
        "a non-empty string",
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
        "platform.url", "platform_url", "an HTTP URL", options.is_url
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
    options.make_duration("zones.round_trip_ms", "zones_round_trip_ms", 1_000),
    options.make_duration("zones.margin_ms", "zones_margin_ms", 60_000),
    options.Option(
        "cold_start.over_part",
        "cold_start_over_part",
        "a number from 1 to 100",
        options.is_factor,
    ),
    options.make_amount("cold_start.slack", "cold_start_slack", 1_000_000),
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
        "an HTTP URL, or empty",
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
    """Read and validate a settings file.

    :param file: the name of the file
    :returns: the settings
    :raises SettingsError: if the file or one of its options is invalid
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
    """Return a file's content, by which changes are detected.

    :param file: the name of the file
    :returns: the content; empty if the file cannot be read, for example
        while it is being replaced
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
    invalid_section = next(
        (
            name
            for name, section in sections.items()
            if not isinstance(section, dict)
        ),
        None,
    )
    if invalid_section is not None:
        raise errors.SettingsError(file, invalid_section, "a section, [name]")
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
