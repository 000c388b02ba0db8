//! Parses and validates the daemon's settings.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::process::setting_fields::SETTING_FIELDS;
use crate::process::setting_fields::SettingDefault;
use crate::process::settings::DaemonSettings;
use crate::process::settings::TlsFiles;
use crate::version::config_fault::ConfigFault;
use crate::version::fault_list::FaultList;
use crate::version::fault_list::TextPosition;
use crate::version::ids::IdError;
use crate::version::ids::SignerId;
use crate::version::secret_text::SecretText;
use crate::version::signer_key::SignerKey;
use crate::version::yaml_node::YamlNode;
use crate::version::yaml_node::parse_yaml;
use crate::version::yaml_reader::Located;
use crate::version::yaml_reader::MapReader;

const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_CONNECTIONS: u64 = 1_000_000;
const MESSAGE_BYTES: (u64, u64) = (1024, 1 << 30);
const CALLER_MEMORY_BYTES: (u64, u64) = (1 << 20, 1 << 40);
const MAX_SIGNERS: u64 = 100;

/// Reads a file to which the settings refer.
pub type ReadFile<'a> = &'a dyn Fn(&Path) -> io::Result<String>;

/// Parses and validates settings; the error lists every fault with its line and column.
pub fn parse_settings(text: &str, read_file: ReadFile<'_>) -> Result<DaemonSettings, FaultList> {
    let given = parse_yaml(text)?;
    let defaults = parse_yaml(&default_text())?;
    let known: Vec<&str> = SETTING_FIELDS.iter().map(|field| field.name).collect();
    let mut faults = FaultList::default();
    let Some(given) = MapReader::read_map(&given, "", &known, &mut faults) else {
        return faults.into_result(None);
    };
    let Some(defaults) = MapReader::read_map(&defaults, "", &known, &mut faults) else {
        return faults.into_result(None);
    };
    let mut parser = SettingsParser {
        given,
        defaults,
        read_file,
        faults,
    };
    let settings = parser.read_settings();
    parser.faults.into_result(settings)
}

fn default_text() -> String {
    let line = |(name, default)| format!("{name}: {default}\n");
    SETTING_FIELDS
        .iter()
        .filter_map(|field| match field.default {
            SettingDefault::Value(default) => Some((field.name, default)),
            _ => None,
        })
        .map(line)
        .collect()
}

struct SettingsParser<'a> {
    given: MapReader<'a>,
    defaults: MapReader<'a>,
    read_file: ReadFile<'a>,
    faults: FaultList,
}

impl<'a> SettingsParser<'a> {
    fn read_settings(&mut self) -> Option<DaemonSettings> {
        let instance_id = self.id("instance_id");
        let availability_zone = self.id("availability_zone");
        let caller_address = self.address("caller_address");
        let peer_address = self.peer_address();
        let http_address = self.address("http_address");
        self.check_listeners(caller_address.as_ref(), http_address.as_ref());
        let operator_token = self.secret("operator_token");
        let caller_tls_required = self.boolean("caller_tls_required");
        let caller_tls = self.caller_tls(caller_tls_required);
        let peer_certificate = self.required_path("peer_tls_certificate_file");
        let peer_key = self.required_path("peer_tls_key_file");
        let peer_tls_authority = self.required_path("peer_tls_authority_file");
        let peer_addresses = self.addresses("peer_addresses");
        let store_addresses = self.addresses("store_addresses");
        let bundle_file = self.path("bundle_file");
        self.check_bundle_source(store_addresses.as_deref());
        let signers = self.signers();
        let required_signatures = self.required_signatures(signers.as_deref());
        let endpoint_user = self.text("endpoint_user");
        let endpoint_password = self.endpoint_password();
        let timeouts = self.timeouts();
        let connections = self.integer("max_caller_connections", 1, MAX_CONNECTIONS, "connections");
        let (low, high) = MESSAGE_BYTES;
        let message_bytes = self.integer("max_message_bytes", low, high, "bytes");
        let message_timeout = self.milliseconds("message_timeout_ms");
        let caller_memory_bytes = self.caller_memory_bytes();
        let log_format = self.choice("log_format", "text, json");
        let log_level = self.choice("log_level", "error, warn, info, debug, trace");
        let timeouts = timeouts?;
        Some(DaemonSettings {
            instance_id: instance_id?,
            availability_zone: availability_zone?,
            caller_address: caller_address?.value,
            peer_address: peer_address?,
            http_address: http_address?.value,
            operator_token: operator_token?,
            caller_tls: caller_tls?,
            caller_tls_required: caller_tls_required?,
            peer_tls: TlsFiles {
                certificate: peer_certificate?,
                key: peer_key?,
            },
            peer_tls_authority: peer_tls_authority?,
            peer_addresses: peer_addresses?,
            store_addresses: store_addresses?,
            store_timeout: timeouts.store,
            bundle_file: bundle_file?,
            signers: signers?,
            required_signatures: required_signatures?,
            endpoint_user: endpoint_user?,
            endpoint_password: endpoint_password?,
            connect_timeout: timeouts.connect,
            startup_timeout: timeouts.startup,
            queue_timeout: timeouts.queue,
            transaction_timeout: timeouts.transaction,
            confirm_timeout: timeouts.confirm,
            drain_timeout: timeouts.drain,
            max_caller_connections: usize::try_from(connections?).ok()?,
            max_message_bytes: usize::try_from(message_bytes?).ok()?,
            message_timeout: message_timeout?,
            caller_memory_bytes: caller_memory_bytes?,
            log_format: log_format?,
            log_level: log_level?,
        })
    }

    /// Returns a field or its default; records a fault if it has neither.
    fn field(&mut self, name: &'static str) -> Option<Located<&'a YamlNode>> {
        let found = self.given.optional(name);
        match found.or_else(|| self.defaults.optional(name)) {
            Some(node) => Some(node),
            None => self.given.required(name, &mut self.faults),
        }
    }

    fn id<T: FromStr<Err = IdError>>(&mut self, name: &'static str) -> Option<T> {
        let id = self.field(name)?.id(&mut self.faults)?;
        Some(id.value)
    }

    fn text(&mut self, name: &'static str) -> Option<String> {
        let text = self.field(name)?.non_blank_text(&mut self.faults)?;
        Some(text.value.to_owned())
    }

    fn boolean(&mut self, name: &'static str) -> Option<bool> {
        self.field(name)?.boolean(&mut self.faults)
    }

    fn integer(
        &mut self,
        name: &'static str,
        low: u64,
        high: u64,
        unit: &'static str,
    ) -> Option<u64> {
        self.field(name)?.integer(low, high, unit, &mut self.faults)
    }

    /// Returns the field in bytes; `Some(None)` if it is absent.
    fn caller_memory_bytes(&mut self) -> Option<Option<usize>> {
        let (low, high) = CALLER_MEMORY_BYTES;
        match self.given.optional("caller_memory_bytes") {
            Some(node) => {
                let bytes = node.integer(low, high, "bytes", &mut self.faults)?;
                usize::try_from(bytes).ok().map(Some)
            }
            None => Some(None),
        }
    }

    fn milliseconds(&mut self, name: &'static str) -> Option<Duration> {
        self.integer(name, 1, MAX_TIMEOUT_MS, "ms")
            .map(Duration::from_millis)
    }

    fn choice<T: FromStr>(&mut self, name: &'static str, allowed: &'static str) -> Option<T> {
        let text = self.field(name)?.text(&mut self.faults)?;
        // Only the listed spellings are valid; tracing's `Level` parses others as well.
        let listed = allowed.split(", ").any(|choice| choice == text.value);
        match text.value.parse() {
            Ok(value) if listed => Some(value),
            _ => {
                text.reject(ConfigFault::BadChoice { allowed }, &mut self.faults);
                None
            }
        }
    }

    fn address(&mut self, name: &'static str) -> Option<Located<SocketAddr>> {
        self.field(name)?.address(&mut self.faults)
    }

    fn peer_address(&mut self) -> Option<SocketAddr> {
        let node = self.field("peer_address")?;
        self.reachable_address(&node)
    }

    fn addresses(&mut self, name: &'static str) -> Option<Vec<SocketAddr>> {
        let elements = self.field(name)?.list(&mut self.faults)?;
        let values: Vec<Option<SocketAddr>> = elements
            .iter()
            .map(|element| self.reachable_address(element))
            .collect();
        values.into_iter().collect()
    }

    /// Reads an address to which others connect, which must not be unspecified, such as 0.0.0.0.
    fn reachable_address(&mut self, node: &Located<&YamlNode>) -> Option<SocketAddr> {
        let address = node.address(&mut self.faults)?;
        if address.value.ip().is_unspecified() {
            let text = address.value.to_string();
            address.reject(ConfigFault::BadAddress { text }, &mut self.faults);
            return None;
        }
        Some(address.value)
    }

    fn check_listeners(
        &mut self,
        caller: Option<&Located<SocketAddr>>,
        http: Option<&Located<SocketAddr>>,
    ) {
        let (Some(caller), Some(http)) = (caller, http) else {
            return;
        };
        if caller.value == http.value {
            let fault = ConfigFault::Duplicate {
                what: "address",
                name: http.value.to_string(),
                first_line: caller.position.line,
            };
            http.reject(fault, &mut self.faults);
        }
    }

    /// Returns the path of a readable file; `Some(None)` if the field is absent.
    fn path(&mut self, name: &'static str) -> Option<Option<PathBuf>> {
        match self.given.optional(name) {
            Some(node) => self.readable(&node).map(|(path, _)| Some(path)),
            None => Some(None),
        }
    }

    fn required_path(&mut self, name: &'static str) -> Option<PathBuf> {
        let node = self.field(name)?;
        self.readable(&node).map(|(path, _)| path)
    }

    fn readable(&mut self, node: &Located<&YamlNode>) -> Option<(PathBuf, String)> {
        let text = node.non_blank_text(&mut self.faults)?;
        let path = PathBuf::from(text.value);
        match (self.read_file)(&path) {
            Ok(content) => Some((path, content)),
            Err(error) => {
                let (path, reason) = (text.value.to_owned(), error.to_string());
                text.reject(
                    ConfigFault::UnreadableFile { path, reason },
                    &mut self.faults,
                );
                None
            }
        }
    }

    fn secret(&mut self, name: &'static str) -> Option<Option<SecretText>> {
        let Some(node) = self.given.optional(name) else {
            return Some(None);
        };
        let text = node.non_blank_text(&mut self.faults)?;
        Some(Some(SecretText::new(text.value.to_owned())))
    }

    fn caller_tls(&mut self, tls_required: Option<bool>) -> Option<Option<TlsFiles>> {
        let (first, second) = ("caller_tls_certificate_file", "caller_tls_key_file");
        self.check_pair(first, second);
        self.check_pair(second, first);
        if tls_required == Some(true) {
            self.check_pair("caller_tls_required", first);
        }
        let certificate = self.path(first)?;
        let key = self.path(second)?;
        match (certificate, key) {
            (Some(certificate), Some(key)) => Some(Some(TlsFiles { certificate, key })),
            _ => Some(None),
        }
    }

    /// Records a fault if the first field is given and the second is not.
    fn check_pair(&mut self, name: &'static str, pair: &'static str) {
        if let Some(node) = self.given.optional(name)
            && self.given.optional(pair).is_none()
        {
            node.reject(ConfigFault::MissingPair { name, pair }, &mut self.faults);
        }
    }

    fn check_bundle_source(&mut self, store_addresses: Option<&[SocketAddr]>) {
        let without_store = store_addresses.is_some_and(|addresses| addresses.is_empty());
        if without_store && self.given.optional("bundle_file").is_none() {
            let names = "store_addresses, bundle_file";
            self.reject_whole(ConfigFault::MissingOneOf { names });
        }
    }

    fn reject_whole(&mut self, fault: ConfigFault) {
        self.faults
            .push(self.given.position(), self.given.path(), fault);
    }

    fn signers(&mut self) -> Option<Vec<SignerKey>> {
        let node = self.field("signers")?;
        let elements = node.non_empty_list("signer", &mut self.faults)?;
        let mut lines = HashMap::new();
        let values: Vec<Option<SignerKey>> = elements
            .iter()
            .map(|element| read_signer(element, &mut lines, &mut self.faults))
            .collect();
        values.into_iter().collect()
    }

    fn required_signatures(&mut self, signers: Option<&[SignerKey]>) -> Option<usize> {
        let high = signers.map_or(MAX_SIGNERS, |signers| signers.len() as u64);
        let count = self.integer("required_signatures", 1, high.max(1), "signers")?;
        usize::try_from(count).ok()
    }

    fn endpoint_password(&mut self) -> Option<SecretText> {
        let (name, pair) = ("endpoint_password", "endpoint_password_file");
        let file = self.given.optional(pair);
        let direct = self.given.optional(name);
        match (direct, file) {
            (Some(_), Some(file)) => {
                file.reject(ConfigFault::ExcludedPair { name, pair }, &mut self.faults);
                None
            }
            (Some(_), None) => self.secret(name)?,
            (None, Some(file)) => {
                let (_, content) = self.readable(&file)?;
                let password = content.trim_end_matches(['\r', '\n']);
                if password.is_empty() {
                    file.reject(ConfigFault::EmptyText, &mut self.faults);
                    return None;
                }
                Some(SecretText::new(password.to_owned()))
            }
            (None, None) => {
                let names = "endpoint_password, endpoint_password_file";
                self.reject_whole(ConfigFault::MissingOneOf { names });
                None
            }
        }
    }

    fn timeouts(&mut self) -> Option<Timeouts> {
        let store = self.milliseconds("store_timeout_ms");
        let connect = self.milliseconds("connect_timeout_ms");
        let startup = self.milliseconds("startup_timeout_ms");
        let queue = self.milliseconds("queue_timeout_ms");
        let transaction = self.milliseconds("transaction_timeout_ms");
        let confirm = self.milliseconds("confirm_timeout_ms");
        let drain = self.milliseconds("drain_timeout_ms");
        Some(Timeouts {
            store: store?,
            connect: connect?,
            startup: startup?,
            queue: queue?,
            transaction: transaction?,
            confirm: confirm?,
            drain: drain?,
        })
    }
}

struct Timeouts {
    store: Duration,
    connect: Duration,
    startup: Duration,
    queue: Duration,
    transaction: Duration,
    confirm: Duration,
    drain: Duration,
}

fn read_signer(
    node: &Located<&YamlNode>,
    lines: &mut HashMap<String, TextPosition>,
    faults: &mut FaultList,
) -> Option<SignerKey> {
    let map = node.read_map(&["id", "public_key"], faults)?;
    let id = map
        .required("id", faults)
        .and_then(|node| node.id::<SignerId>(faults));
    let text = map
        .required("public_key", faults)
        .and_then(|node| node.text(faults));
    let (id, text) = (id?, text?);
    let Ok(signer) = SignerKey::from_base64(id.value.clone(), text.value) else {
        let expected = "an ed25519 public key of 32 bytes";
        text.reject(ConfigFault::BadBytes { expected }, faults);
        return None;
    };
    check_unique(lines, "signer", &id.map(|id| id.to_string()), faults);
    // The same key under two names would let one person provide two signatures.
    let key = text.map(|_| signer.to_base64());
    check_unique(lines, "public key", &key, faults);
    Some(signer)
}

fn check_unique(
    lines: &mut HashMap<String, TextPosition>,
    what: &'static str,
    name: &Located<String>,
    faults: &mut FaultList,
) {
    let key = format!("{what} {}", name.value);
    match lines.get(&key) {
        Some(first) => {
            let (first_line, name_text) = (first.line, name.value.clone());
            let fault = ConfigFault::Duplicate {
                what,
                name: name_text,
                first_line,
            };
            name.reject(fault, faults);
        }
        None => {
            lines.insert(key, name.position);
        }
    }
}
