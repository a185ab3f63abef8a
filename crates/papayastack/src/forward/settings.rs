//! The settings of one forwarding VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::ids::{DataCentreName, RegionName};
use crate::query::RepeatWindowSettings;
use crate::settings::{Fault, SettingsFile, nearest_name};

/// The settings that a forwarding VM reads at its start.
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
    /// The address of the readiness check.
    pub ready_address: SocketAddr,
    /// The address at which callers ask for VM addresses.
    pub directory_address: SocketAddr,
    /// The address for datagrams between VMs.
    pub link_address: SocketAddr,
    /// The address for operators: metrics, status, drain.
    pub operator_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The keys shared by all VMs; the first one signs, all of them are accepted.
    pub system_keys: Vec<String>,
    /// The longest time that callers may use an answer with addresses, in seconds.
    pub address_lifetime_max_s: u64,
    /// The grace period between the signal to stop and the kill, in seconds.
    pub stop_grace_s: u64,
    /// The bound on hedges and retries to a service from all VMs together.
    pub repeats: RepeatSettings,
}

/// The bound on repeats (hedges and retries) to a service from all VMs together, within a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatSettings {
    /// The length of the window in seconds.
    pub window_s: u64,
    /// The repeats allowed for each request in the window.
    pub per_request: f64,
    /// The repeats allowed in a window in addition to those allowed for each request.
    pub extra: u32,
}

impl GatewaySettings {
    /// Parses and checks the settings.
    ///
    /// # Errors
    /// Returns every fault, with its position as a JSON pointer and [`SettingsFile::Document`] as
    /// its file.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let value: Value = serde_json::from_str(text)
            .map_err(|error| vec![fault("", error.to_string(), "write one JSON object")])?;
        let Value::Object(fields) = &value else {
            return Err(vec![fault("", "the text is not a JSON object", "write one JSON object")]);
        };
        let mut faults = schema_faults(fields);
        if faults.is_empty() {
            match serde_json::from_value::<Self>(value) {
                Ok(settings) => {
                    faults = settings.value_faults();
                    if faults.is_empty() {
                        return Ok(settings);
                    }
                }
                Err(error) => faults.push(fault("", error.to_string(), "see docs/PLATFORM.md")),
            }
        }
        Err(faults)
    }

    /// Returns a fault for each value that has the right type but is out of range.
    fn value_faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut report_if = |invalid: bool, path: &str, problem: &str, hint: &str| {
            if invalid {
                faults.push(fault(path, problem, hint));
            }
        };
        let known = self.data_centres.contains_key(&self.data_centre);
        report_if(
            !known,
            "/data_centre",
            "the value is not one of `data_centres`",
            "add the data centre with its region there",
        );
        let keyless = self.system_keys.iter().all(String::is_empty);
        report_if(keyless, "/system_keys", "the list has no key", "give at least one text");
        let zero_lifetime = self.address_lifetime_max_s == 0;
        report_if(
            zero_lifetime,
            "/address_lifetime_max_s",
            "the value is zero",
            "give at least one second",
        );
        report_if(
            self.stop_grace_s == 0,
            "/stop_grace_s",
            "the value is zero",
            "give at least one second",
        );
        let zero_window = self.repeats.window_s == 0;
        report_if(
            zero_window,
            "/repeats/window_s",
            "the value is zero",
            "give at least one second",
        );
        let out_of_range = !(0.0..=1.0).contains(&self.repeats.per_request);
        report_if(
            out_of_range,
            "/repeats/per_request",
            "the value is out of range",
            "give a number from 0 to 1",
        );
        faults
    }
}

/// Returns a fault for each field that is missing, unknown or of the wrong type.
fn schema_faults(fields: &Map<String, Value>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, check) in FIELDS {
        match fields.get(*name) {
            None => faults.push(fault(&format!("/{name}"), "the field is missing", "add it")),
            Some(value) => {
                if let Err(error) = check(value) {
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
        faults.push(fault(&format!("/{name}"), "the field is unknown", hint));
    }
    faults
}

/// Checks that a value has the type of a field.
type TypeCheck = fn(&Value) -> Result<(), serde_json::Error>;

/// The name of each field and the check of its type.
const FIELDS: &[(&str, TypeCheck)] = &[
    ("vm", check_type::<String>),
    ("data_centre", check_type::<String>),
    ("data_centres", check_type::<BTreeMap<DataCentreName, RegionName>>),
    ("caller_address", check_type::<SocketAddr>),
    ("ready_address", check_type::<SocketAddr>),
    ("directory_address", check_type::<SocketAddr>),
    ("link_address", check_type::<SocketAddr>),
    ("operator_address", check_type::<SocketAddr>),
    ("store_address", check_type::<SocketAddr>),
    ("system_keys", check_type::<Vec<String>>),
    ("address_lifetime_max_s", check_type::<u64>),
    ("stop_grace_s", check_type::<u64>),
    ("repeats", check_type::<RepeatSettings>),
];

fn check_type<T: DeserializeOwned>(value: &Value) -> Result<(), serde_json::Error> {
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
    /// Converts the bound to the settings of the repeat windows.
    pub(crate) fn window_settings(&self) -> RepeatWindowSettings {
        RepeatWindowSettings {
            window: Duration::from_secs(self.window_s),
            repeats_permille: (self.per_request * 1_000.0) as u32,
            repeats_extra: self.extra,
        }
    }
}
