//! The fields of the daemon's settings, with their units, defaults and meanings.
//!
//! The parser reads its defaults from this table, and `docs/settings.md` shows the same table.

/// The effect of omitting a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingDefault {
    /// The field is required.
    Required,
    /// The feature is off, or another field is used instead.
    Absent,
    /// This value is used; written as YAML.
    Value(&'static str),
}

/// A field of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingField {
    /// The name.
    pub name: &'static str,
    /// The unit or type of the value.
    pub unit: &'static str,
    /// The default.
    pub default: SettingDefault,
    /// The purpose of the field.
    pub meaning: &'static str,
}

const fn required(name: &'static str, unit: &'static str, meaning: &'static str) -> SettingField {
    let default = SettingDefault::Required;
    SettingField {
        name,
        unit,
        default,
        meaning,
    }
}

const fn absent(name: &'static str, unit: &'static str, meaning: &'static str) -> SettingField {
    let default = SettingDefault::Absent;
    SettingField {
        name,
        unit,
        default,
        meaning,
    }
}

const fn value(
    name: &'static str,
    unit: &'static str,
    default: &'static str,
    meaning: &'static str,
) -> SettingField {
    let default = SettingDefault::Value(default);
    SettingField {
        name,
        unit,
        default,
        meaning,
    }
}

/// All fields, in the order of `docs/settings.md`.
pub const SETTING_FIELDS: &[SettingField] = &[
    required(
        "instance_id",
        "identifier",
        "The name of this instance, unique in the fleet.",
    ),
    required(
        "availability_zone",
        "identifier",
        "The availability zone that this instance runs in.",
    ),
    value(
        "caller_address",
        "IP address and port",
        "0.0.0.0:5432",
        "Where callers connect (TCP).",
    ),
    required(
        "peer_address",
        "IP address and port",
        "Where this instance listens for other instances, and where they reach it (UDP).",
    ),
    value(
        "http_address",
        "IP address and port",
        "127.0.0.1:9432",
        "Where metrics, health, status, journal and report are served (TCP).",
    ),
    absent(
        "operator_token",
        "secret",
        "The bearer token that `POST /drain` requires; without it, only loopback callers may drain.",
    ),
    absent(
        "caller_tls_certificate_file",
        "path",
        "The certificate chain for callers, in PEM.",
    ),
    absent(
        "caller_tls_key_file",
        "path",
        "The private key of that certificate, in PEM.",
    ),
    value(
        "caller_tls_required",
        "boolean",
        "false",
        "Whether callers without TLS are refused.",
    ),
    required(
        "peer_tls_certificate_file",
        "path",
        "The certificate chain for peers, in PEM.",
    ),
    required(
        "peer_tls_key_file",
        "path",
        "The private key of that certificate, in PEM.",
    ),
    required(
        "peer_tls_authority_file",
        "path",
        "The authority that the certificates of all peers must come from, in PEM.",
    ),
    value(
        "peer_addresses",
        "list of IP addresses and ports",
        "[]",
        "Peers to ask first at a start while the store is out.",
    ),
    value(
        "store_addresses",
        "list of IP addresses and ports",
        "[]",
        "The platform's store; required unless `bundle_file` is given.",
    ),
    value(
        "store_timeout_ms",
        "milliseconds",
        "2000",
        "The longest time a store call takes.",
    ),
    absent(
        "bundle_file",
        "path",
        "A signed envelope that is in force until the store or a peer shows a higher version.",
    ),
    required(
        "signers",
        "list of `id` and `public_key`",
        "The ed25519 public keys that may sign bundles.",
    ),
    value(
        "required_signatures",
        "signers",
        "1",
        "How many different signers must have signed a bundle.",
    ),
    required(
        "endpoint_user",
        "text",
        "The user name that this instance presents to endpoints.",
    ),
    absent(
        "endpoint_password",
        "secret",
        "The password for that user; give this or `endpoint_password_file`.",
    ),
    absent(
        "endpoint_password_file",
        "path",
        "A file that holds the password; a line break at its end is ignored.",
    ),
    value(
        "connect_timeout_ms",
        "milliseconds",
        "2000",
        "The longest time to open and authenticate a connection to an endpoint.",
    ),
    value(
        "startup_timeout_ms",
        "milliseconds",
        "10000",
        "The longest time from a caller's connect to its accepted key.",
    ),
    value(
        "queue_timeout_ms",
        "milliseconds",
        "5000",
        "The longest time a request waits for a slot.",
    ),
    value(
        "transaction_timeout_ms",
        "milliseconds",
        "60000",
        "The longest time a transaction holds its slot.",
    ),
    value(
        "confirm_timeout_ms",
        "milliseconds",
        "5000",
        "The longest time to wait for a majority to hold the end of a transaction.",
    ),
    value(
        "drain_timeout_ms",
        "milliseconds",
        "30000",
        "The longest time that open transactions get when the instance stops.",
    ),
    value(
        "max_caller_connections",
        "connections",
        "10000",
        "How many callers may be connected at once.",
    ),
    value(
        "max_message_bytes",
        "bytes",
        "16777216",
        "The largest message that a caller may send.",
    ),
    value(
        "message_timeout_ms",
        "milliseconds",
        "30000",
        "The longest time for the rest of a message that a caller has begun.",
    ),
    absent(
        "caller_memory_bytes",
        "bytes",
        "How much all callers may hold together beyond 64 KiB each; without it, a quarter of the machine's memory.",
    ),
    value(
        "log_format",
        "`text` or `json`",
        "text",
        "The format of log lines.",
    ),
    value(
        "log_level",
        "`error`, `warn`, `info`, `debug` or `trace`",
        "info",
        "The least severe level that is logged; read again on SIGHUP.",
    ),
];
