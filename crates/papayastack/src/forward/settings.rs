//! The settings of one VM that forwards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::ids::{DataCentreName, RegionName};
use crate::query::RepeatWindowSettings;
use crate::settings::{Fault, SettingsFile, nearest_name};

/// What one forwarding VM is told when it starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the VM, for logs.
    pub vm: String,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentreName,
    /// The region of each data centre.
    pub data_centres: BTreeMap<DataCentreName, RegionName>,
    /// The address for callers' requests.
    pub caller_address: SocketAddr,
    /// The address that tells whether callers are served.
    pub ready_address: SocketAddr,
    /// The address that answers which addresses callers may use.
    pub directory_address: SocketAddr,
    /// The address for datagrams between VMs.
    pub link_address: SocketAddr,
    /// The address for operators: metrics, status, drain.
    pub operator_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The keys of the system as text; the first one signs, all are accepted.
    pub system_keys: Vec<String>,
    /// How long callers may keep an answer about addresses at most, in seconds.
    pub address_lifetime_max_s: u64,
    /// The time between the order to stop and the kill, in seconds.
    pub stop_grace_s: u64,
    /// How many repeats a service may get from the whole system.
    pub repeats: RepeatSettings,
}

/// How many repeats a service may get from the whole system within a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatSettings {
    /// The length of the window in seconds.
    pub window_s: u64,
    /// Repeats for each request.
    pub per_request: f64,
    /// Repeats beside those.
    pub extra: u32,
}

impl GatewaySettings {
    /// Reads settings and names everything in them that cannot be used.
    ///
    /// # Errors
    /// Each fault with its place as a JSON pointer; the file is [`SettingsFile::Document`].
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let value: Value = serde_json::from_str(text)
            .map_err(|error| vec![fault("", error.to_string(), "write one JSON object")])?;
        let Value::Object(fields) = &value else {
            return Err(vec![fault("", "this is no JSON object", "write one JSON object")]);
        };
        let mut faults = unreadable_fields(fields);
        if faults.is_empty() {
            match serde_json::from_value::<Self>(value) {
                Ok(settings) => {
                    faults = settings.unusable_fields();
                    if faults.is_empty() {
                        return Ok(settings);
                    }
                }
                Err(error) => faults.push(fault("", error.to_string(), "see docs/PLATFORM.md")),
            }
        }
        Err(faults)
    }

    /// Returns the faults of values that can be read but not used.
    fn unusable_fields(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut refuse = |wrong: bool, path: &str, problem: &str, hint: &str| {
            if wrong {
                faults.push(fault(path, problem, hint));
            }
        };
        let known = self.data_centres.contains_key(&self.data_centre);
        refuse(!known, "/data_centre", "it is not one of `data_centres`", "name its region there");
        let keyless = self.system_keys.iter().all(String::is_empty);
        refuse(keyless, "/system_keys", "there is no key", "give at least one text");
        let zero = self.address_lifetime_max_s == 0;
        refuse(zero, "/address_lifetime_max_s", "it is zero", "give at least one second");
        refuse(self.stop_grace_s == 0, "/stop_grace_s", "it is zero", "give at least one second");
        let window = self.repeats.window_s == 0;
        refuse(window, "/repeats/window_s", "it is zero", "give at least one second");
        let share = !(0.0..=1.0).contains(&self.repeats.per_request);
        refuse(share, "/repeats/per_request", "it is not a share", "give a number from 0 to 1");
        faults
    }
}

/// Returns the fields that are missing, unknown or of another type.
fn unreadable_fields(fields: &Map<String, Value>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, reads) in FIELDS {
        match fields.get(*name) {
            None => faults.push(fault(&format!("/{name}"), "it is missing", "add it")),
            Some(value) => {
                if let Err(error) = reads(value) {
                    let problem = format!("{value} cannot be used: {error}");
                    faults.push(fault(&format!("/{name}"), problem, "give the documented type"));
                }
            }
        }
    }
    let known = || FIELDS.iter().map(|(name, _)| *name);
    for name in fields.keys().filter(|name| !known().any(|known| known == name.as_str())) {
        let hint = match nearest_name(name, known()) {
            Some(nearest) => format!("did you mean `{nearest}`?"),
            None => "remove it".to_owned(),
        };
        faults.push(fault(&format!("/{name}"), "it is unknown", hint));
    }
    faults
}

/// Tries to read a field.
type Reads = fn(&Value) -> Result<(), serde_json::Error>;

/// The fields with what each must be.
const FIELDS: &[(&str, Reads)] = &[
    ("vm", reads::<String>),
    ("data_centre", reads::<String>),
    ("data_centres", reads::<BTreeMap<DataCentreName, RegionName>>),
    ("caller_address", reads::<SocketAddr>),
    ("ready_address", reads::<SocketAddr>),
    ("directory_address", reads::<SocketAddr>),
    ("link_address", reads::<SocketAddr>),
    ("operator_address", reads::<SocketAddr>),
    ("store_address", reads::<SocketAddr>),
    ("system_keys", reads::<Vec<String>>),
    ("address_lifetime_max_s", reads::<u64>),
    ("stop_grace_s", reads::<u64>),
    ("repeats", reads::<RepeatSettings>),
];

fn reads<T: DeserializeOwned>(value: &Value) -> Result<(), serde_json::Error> {
    T::deserialize(value).map(|_| ())
}

fn fault(path: &str, problem: impl Into<String>, hint: impl Into<String>) -> Fault {
    Fault {
        file: SettingsFile::Document,
        path: path.to_owned(),
        problem: problem.into(),
        hint: hint.into(),
    }
}

impl RepeatSettings {
    /// Returns the bound in the types of the decisions.
    pub(crate) fn window_settings(&self) -> RepeatWindowSettings {
        RepeatWindowSettings {
            window: Duration::from_secs(self.window_s),
            repeats_permille: (self.per_request * 1_000.0) as u32,
            repeats_extra: self.extra,
        }
    }
}
