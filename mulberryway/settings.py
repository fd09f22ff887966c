"""The settings of one process, read from a TOML file and checked."""

import collections.abc
import ipaddress
import pathlib
import re
import tomllib
import typing

from mulberryway import errors

__all__ = [
    "OPTIONS",
    "Option",
    "Settings",
    "read_bytes",
    "read_port",
    "read_settings",
]

MOST_PORT = 65_535
DIGEST = re.compile(r"[0-9a-f]{64}")
MS_IN_S = 1_000
HOUR_S = 3_600
HOUR_MS = HOUR_S * MS_IN_S


class Option:
    """How one option of the file becomes one attribute.

    :param key: ``section.option`` in the file
    :param attribute: the attribute of :class:`Settings`
    :param expected: what is accepted, in words for the error
    :param accepts: tells whether a value is accepted
    :param convert: makes the attribute's value of the file's
    """

    __slots__ = ("key", "attribute", "expected", "accepts", "convert")

    def __init__(
        self,
        key: str,
        attribute: str,
        expected: str,
        accepts: collections.abc.Callable[[typing.Any], bool],
        convert: collections.abc.Callable[[typing.Any], typing.Any] = (
            lambda value: value
        ),
    ) -> None:
        self.convert = convert
        self.key = key
        self.attribute = attribute
        self.expected = expected
        self.accepts = accepts


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


def _is_int(
    low: int, high: int
) -> collections.abc.Callable[[typing.Any], bool]:
    def accepts(value: typing.Any) -> bool:
        return type(value) is int and low <= value <= high

    return accepts


def _is_amount(
    low: float, high: float
) -> collections.abc.Callable[[typing.Any], bool]:
    return lambda value: type(value) in (int, float) and low <= value <= high


def _is_part(value: typing.Any) -> bool:
    return type(value) in (int, float) and 0 <= value <= 1


def _is_text(value: typing.Any) -> bool:
    return isinstance(value, str) and bool(value)


def _is_any_text(value: typing.Any) -> bool:
    return isinstance(value, str)


def _is_ip(value: typing.Any) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return isinstance(value, str)


def _is_text_list(value: typing.Any) -> bool:
    return isinstance(value, list) and all(map(_is_text, value))


def _is_digest_table(value: typing.Any) -> bool:
    return isinstance(value, dict) and all(
        isinstance(digest, str) and DIGEST.fullmatch(digest) is not None
        for digest in value.values()
    )


def _is_url(value: typing.Any) -> bool:
    return isinstance(value, str) and value.startswith(("http://", "https://"))


def _is_optional_url(value: typing.Any) -> bool:
    return value == "" or _is_url(value)


def _is_one_of(*choices: str) -> collections.abc.Callable[[typing.Any], bool]:
    return lambda value: value in choices


def _port(key: str, attribute: str) -> Option:
    return Option(
        key, attribute, "a port from 1 to 65535", _is_int(1, MOST_PORT)
    )


def _is_address(value: typing.Any) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    return _is_ip(host) and port.isdecimal() and 0 < int(port) <= MOST_PORT


def _address(key: str, attribute: str) -> Option:
    return Option(
        key,
        attribute,
        "host:port, or empty",
        lambda value: value == "" or _is_address(value),
    )


def _number(key: str, attribute: str, low: int, high: int) -> Option:
    return Option(
        key,
        attribute,
        f"a whole number from {low} to {high}",
        _is_int(low, high),
    )


def _seconds(key: str, attribute: str, low: float, high: float) -> Option:
    """Return an option in seconds, with fractions, for one in ms."""
    return Option(
        key,
        attribute,
        f"seconds from {low} to {high}",
        _is_amount(low, high),
        lambda value: int(value * MS_IN_S),
    )


def _amount(key: str, attribute: str, high: float) -> Option:
    """Return an option whose value may have a fraction, rounded down."""
    return Option(
        key, attribute, f"a number from 0 to {high}", _is_amount(0, high), int
    )


GIB = 1 << 30

OPTIONS = (
    Option("vm.name", "vm_name", "a name", _is_text),
    Option("vm.address", "vm_address", "an IP number", _is_ip),
    Option("vm.zone", "vm_zone", "an availability zone", _is_text),
    Option("vm.region", "vm_region", "a region", _is_text),
    _port("router.port", "router_port"),
    _number("router.threads", "router_threads", 4, 1024),
    _number("router.backlog", "router_backlog", 16, 65_535),
    _number("router.keep_alive", "router_keep_alive", 0, 65_535),
    _number("router.idle_ms", "router_idle_ms", 100, HOUR_MS),
    _number("router.header_bytes", "router_header_bytes", 1_024, GIB),
    _number("router.body_bytes", "router_body_bytes", 1_024, GIB),
    _number("router.body_ms", "router_body_ms", 100, HOUR_MS),
    _number("router.entry_ttl_ms", "router_entry_ttl_ms", 100, HOUR_MS),
    _number("router.entry_lives", "router_entry_lives", 1, 10),
    _number("router.token_gap_ms", "router_token_gap_ms", 10, HOUR_MS),
    _address("router.address", "router_address"),
    _address("router.ready_address", "router_ready_address"),
    _address("router.directory_address", "router_directory_address"),
    _seconds("router.grace_s", "router_grace_ms", 0.1, HOUR_S),
    _port("peers.port", "peers_port"),
    _number("peers.seeds_port", "peers_seeds_port", 0, MOST_PORT),
    Option("peers.secret", "peers_secret", "a secret text", _is_text),
    Option("peers.seeds", "peers_seeds", "a list of host:port", _is_text_list),
    _number("peers.period_ms", "peers_period_ms", 10, 60_000),
    _number("peers.timeout_ms", "peers_timeout_ms", 10, 60_000),
    Option("platform.url", "platform_url", "an http address", _is_url),
    _number("platform.timeout_ms", "platform_timeout_ms", 10, 60_000),
    _number("platform.silence_ms", "platform_silence_ms", 100, 60_000),
    _seconds("allowances.window_s", "allowances_window_ms", 0.1, HOUR_S),
    Option(
        "allowances.over_part",
        "allowances_over_part",
        "a number from 0 to 1",
        _is_part,
    ),
    _amount("allowances.over_tokens", "allowances_over_tokens", GIB),
    Option("retries.part", "retries_part", "a number from 0 to 1", _is_part),
    _seconds("retries.window_s", "retries_window_ms", 0.1, HOUR_S),
    _amount("retries.slack", "retries_slack", 1_000_000),
    _number(
        "configuration.fresh_ms", "configuration_fresh_ms", 1_000, HOUR_MS
    ),
    _number(
        "configuration.outage_ms",
        "configuration_outage_ms",
        1_000,
        168 * HOUR_MS,
    ),
    _number("configuration.watchers", "configuration_watchers", 1, 100),
    _port("admin.port", "admin_port"),
    Option(
        "admin.operators",
        "admin_operators",
        "a table of names and SHA-256 digests of credentials",
        _is_digest_table,
    ),
    Option(
        "telemetry.log_level",
        "telemetry_log_level",
        "DEBUG, INFO, WARNING or ERROR",
        _is_one_of("DEBUG", "INFO", "WARNING", "ERROR"),
    ),
    Option(
        "telemetry.debug",
        "telemetry_debug",
        "a list of report names",
        _is_text_list,
    ),
    Option(
        "telemetry.otlp_url",
        "telemetry_otlp_url",
        "an http address, or empty",
        _is_optional_url,
    ),
    _address("telemetry.metrics_address", "telemetry_metrics_address"),
    _number("telemetry.export_ms", "telemetry_export_ms", 100, HOUR_MS),
    _number("policy.prefill_us", "policy_prefill_us", 1, 100_000),
    Option(
        "policy.weighing",
        "policy_weighing",
        "worst_served or goodput",
        _is_one_of("worst_served", "goodput"),
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
    settings: Settings, file: str, option: Option, value: typing.Any
) -> None:
    if not option.accepts(value):
        raise errors.SettingsError(file, option.key, option.expected)
    if isinstance(value, list):
        value = tuple(value)
    setattr(settings, option.attribute, option.convert(value))
