//! The validation of an experiment file.

use std::collections::BTreeSet;

use papayastack_macros::value;

use super::{Case, Experiment, Fault, Load, LoadClass, Vms};

const DURATION_MAX_S: u64 = 600;
const RATE_MAX_PER_S: u32 = 20_000;
const REQUESTS_MAX: u64 = 2_000_000;
const CASES_MAX: usize = 16;
const VMS_MAX: usize = 32;

/// An error in an experiment file.
#[value]
pub(crate) struct ExperimentError {
    /// The JSON path of the invalid value.
    path: String,
    detail: String,
}

impl std::fmt::Display for ExperimentError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "`{}`: {}", self.path, self.detail)
    }
}

impl std::error::Error for ExperimentError {}

impl Experiment {
    /// Parses and validates an experiment.
    ///
    /// # Errors
    /// Malformed JSON, an unknown field, or a value out of range.
    pub(crate) fn parse(text: &str) -> Result<Self, ExperimentError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let experiment: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| error_at(error.path().to_string(), error.inner().to_string()))?;
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), ExperimentError> {
        ensure(self.duration_s > 0, "duration_s", "must be at least 1")?;
        let run_s = self.duration_s.saturating_add(self.warmup_s);
        ensure(
            run_s <= DURATION_MAX_S,
            "duration_s",
            "together with `warmup_s`, must be at most 600 s",
        )?;
        ensure(!self.policies.is_empty(), "policies", "must name at least one policy")?;
        ensure(self.checked_permille <= 1_000, "checked_permille", "must be at most 1000")?;
        ensure(!self.cases.is_empty(), "cases", "must have at least one case")?;
        ensure(self.cases.len() <= CASES_MAX, "cases", "must have at most 16 cases")?;
        for (index, case) in self.cases.iter().enumerate() {
            case.check(&format!("cases[{index}]"), run_s)?;
        }
        Ok(())
    }
}

impl Case {
    fn check(&self, path: &str, run_s: u64) -> Result<(), ExperimentError> {
        for service in &self.services {
            self.check_service(&format!("{path}.services"), service, &self.all_services())?;
        }
        let services = self.selected_services();
        self.vms.check(&format!("{path}.vms"))?;
        ensure(!self.load.is_empty(), &format!("{path}.load"), "must have at least one load")?;
        let mut requests = 0;
        for (index, load) in self.load.iter().enumerate() {
            let path = format!("{path}.load[{index}]");
            self.check_service(&format!("{path}.service"), &load.service, &services)?;
            load.check(&path)?;
            self.check_submissions(&path, load)?;
            requests += u64::from(load.rate_per_s) * run_s;
        }
        ensure(
            requests <= REQUESTS_MAX,
            &format!("{path}.load"),
            "must add up to at most 2000000 requests per run",
        )?;
        for (index, timed) in self.faults.iter().enumerate() {
            self.check_fault(&format!("{path}.faults[{index}].fault"), &timed.fault, &services)?;
        }
        Ok(())
    }

    fn check_submissions(&self, path: &str, load: &Load) -> Result<(), ExperimentError> {
        let shapes = self.place.services();
        let accepts =
            shapes.iter().any(|shape| shape.name == load.service && shape.accepts_submissions);
        let valid = load.class != LoadClass::Submission || accepts;
        ensure(valid, &format!("{path}.class"), "the service accepts no submissions")
    }

    fn check_fault(
        &self,
        path: &str,
        fault: &Fault,
        services: &BTreeSet<String>,
    ) -> Result<(), ExperimentError> {
        if let Vms::Running { .. } = self.vms {
            let detail =
                "faults need `in_process` VMs; with `running` VMs, use the control of the stand-in";
            return ensure(false, path, detail);
        }
        match fault {
            Fault::Upstreams { service, .. }
            | Fault::Repartition { service, .. }
            | Fault::Retire { service, .. } => self.check_service(path, service, services),
            Fault::KillVm(index) | Fault::StopVm(index) => {
                let count = self.vms.count();
                let detail = format!("no VM {index}; there are {count} VMs, counted from 0");
                ensure(*index < count, path, &detail)
            }
            Fault::Platform(_) => Ok(()),
        }
    }

    fn check_service(
        &self,
        path: &str,
        service: &str,
        services: &BTreeSet<String>,
    ) -> Result<(), ExperimentError> {
        let known: Vec<&str> = services.iter().map(String::as_str).collect();
        let detail = format!("unknown service `{service}`; known services: {}", known.join(", "));
        ensure(services.contains(service), path, &detail)
    }

    fn selected_services(&self) -> BTreeSet<String> {
        let mut services = self.all_services();
        services.retain(|name| self.services.is_empty() || self.services.contains(name));
        services
    }

    fn all_services(&self) -> BTreeSet<String> {
        self.place.services().into_iter().map(|shape| shape.name.to_owned()).collect()
    }
}

impl Vms {
    fn check(&self, path: &str) -> Result<(), ExperimentError> {
        ensure((1..=VMS_MAX).contains(&self.count()), path, "must have between 1 and 32 VMs")?;
        match self {
            Self::InProcess { threads, .. } => ensure(
                (1..=16).contains(threads),
                path,
                "must have between 1 and 16 threads per VM",
            ),
            Self::Running { addresses } => {
                let loopback = addresses.iter().all(|address| address.ip().is_loopback());
                ensure(loopback, path, "must be loopback addresses only")
            }
        }
    }
}

impl Load {
    fn check(&self, path: &str) -> Result<(), ExperimentError> {
        let rates = 1..=RATE_MAX_PER_S;
        ensure(
            rates.contains(&self.rate_per_s),
            &format!("{path}.rate_per_s"),
            "must be between 1 and 20000",
        )?;
        ensure(self.deadline_ms > 0, &format!("{path}.deadline_ms"), "must be at least 1")
    }
}

fn ensure(condition: bool, path: &str, detail: &str) -> Result<(), ExperimentError> {
    if condition { Ok(()) } else { Err(error_at(path.to_owned(), detail.to_owned())) }
}

fn error_at(path: String, detail: String) -> ExperimentError {
    ExperimentError { path, detail }
}
