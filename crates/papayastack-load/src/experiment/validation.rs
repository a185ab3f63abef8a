//! The validation of an experiment file.

use std::collections::BTreeSet;

use papayastack_macros::value;

use super::{Case, Experiment, Fault, Load, LoadClass, Vms};

const DURATION_MAX_S: u64 = 600;
const RATE_MAX_PER_S: u32 = 20_000;
const REQUESTS_MAX: u64 = 2_000_000;
const CASES_MAX: usize = 16;
const VMS_MAX: usize = 32;

/// Says what is wrong with an experiment.
#[value]
pub(crate) struct ExperimentError {
    /// The JSON path of the fault.
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
    /// Reads and checks an experiment.
    ///
    /// # Errors
    /// Malformed JSON, an unknown field, or a value that breaks a bound.
    pub(crate) fn parse(text: &str) -> Result<Self, ExperimentError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let experiment: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| fault(error.path().to_string(), error.inner().to_string()))?;
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), ExperimentError> {
        check(self.duration_s > 0, "duration_s", "must be at least 1")?;
        let run_s = self.duration_s.saturating_add(self.warmup_s);
        check(run_s <= DURATION_MAX_S, "duration_s", "with `warmup_s`, at most 600 s")?;
        check(!self.policies.is_empty(), "policies", "name at least one policy")?;
        check(self.checked_permille <= 1_000, "checked_permille", "at most 1000")?;
        check(!self.cases.is_empty(), "cases", "give at least one case")?;
        check(self.cases.len() <= CASES_MAX, "cases", "at most 16 cases")?;
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
        let services = self.running_services();
        self.vms.check(&format!("{path}.vms"))?;
        check(!self.load.is_empty(), &format!("{path}.load"), "give at least one load")?;
        let mut requests = 0;
        for (index, load) in self.load.iter().enumerate() {
            let path = format!("{path}.load[{index}]");
            self.check_service(&format!("{path}.service"), &load.service, &services)?;
            load.check(&path)?;
            self.check_submissions(&path, load)?;
            requests += u64::from(load.rate_per_s) * run_s;
        }
        check(requests <= REQUESTS_MAX, &format!("{path}.load"), "at most 2000000 requests a run")?;
        for (index, timed) in self.faults.iter().enumerate() {
            self.check_fault(&format!("{path}.faults[{index}].fault"), &timed.fault, &services)?;
        }
        Ok(())
    }

    fn check_submissions(&self, path: &str, load: &Load) -> Result<(), ExperimentError> {
        let shapes = self.place.services();
        let accepts =
            shapes.iter().any(|shape| shape.name == load.service && shape.accepts_submissions);
        let fits = load.class != LoadClass::Submission || accepts;
        check(fits, &format!("{path}.class"), "this service accepts no submissions")
    }

    fn check_fault(
        &self,
        path: &str,
        fault: &Fault,
        services: &BTreeSet<String>,
    ) -> Result<(), ExperimentError> {
        if let Vms::Running { .. } = self.vms {
            let detail = "with `running` VMs, switch faults through the stand-in's control";
            return check(false, path, detail);
        }
        match fault {
            Fault::Upstreams { service, .. }
            | Fault::Repartition { service, .. }
            | Fault::Retire { service, .. } => self.check_service(path, service, services),
            Fault::KillVm(index) | Fault::StopVm(index) => {
                check(*index < self.vms.count(), path, "there are fewer VMs; they count from 0")
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
        let detail = format!("no service `{service}` here; there are {}", known.join(", "));
        check(services.contains(service), path, &detail)
    }

    fn running_services(&self) -> BTreeSet<String> {
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
        check((1..=VMS_MAX).contains(&self.count()), path, "between 1 and 32 VMs")?;
        match self {
            Self::InProcess { threads, .. } => {
                check((1..=16).contains(threads), path, "between 1 and 16 threads")
            }
            Self::Running { addresses } => {
                let loopback = addresses.iter().all(|address| address.ip().is_loopback());
                check(loopback, path, "load goes to loopback addresses only")
            }
        }
    }
}

impl Load {
    fn check(&self, path: &str) -> Result<(), ExperimentError> {
        let rates = 1..=RATE_MAX_PER_S;
        check(rates.contains(&self.rate_per_s), &format!("{path}.rate_per_s"), "1 to 20000")?;
        check(self.deadline_ms > 0, &format!("{path}.deadline_ms"), "must be at least 1")
    }
}

fn check(holds: bool, path: &str, detail: &str) -> Result<(), ExperimentError> {
    if holds { Ok(()) } else { Err(fault(path.to_owned(), detail.to_owned())) }
}

fn fault(path: String, detail: String) -> ExperimentError {
    ExperimentError { path, detail }
}
