//! What a VM answers to callers and operators.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde_json::json;

use super::entry::answer_query;
use super::shared::Shared;
use super::submit::answer_submission;
use crate::caller::{
    AddressesAnswer, CallerService, QueryAnswer, QueryRequest, RefusalAnswer, RequestContext,
    SubmissionAnswer, SubmissionRequest,
};
use crate::configuration::VmStatus;
use crate::ids::DataCentreName;
use crate::membership::{Member, MemberView};
use crate::observe::{DispatchLevels, SubmissionOutcome};
use crate::operator::{OperatorService, Readiness};
use crate::outcome::{Custody, RefusalReason};
use crate::settings::{AddressSettings, LimitSettings};

/// When to come back to a VM that knows no addresses yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers callers and operators on behalf of the VM.
pub(crate) struct VmService {
    shared: Arc<Shared>,
}

impl VmService {
    /// Answers from what the VM's parts share.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[async_trait]
impl CallerService for VmService {
    async fn query(
        &self,
        request: QueryRequest,
        context: RequestContext,
    ) -> Result<QueryAnswer, RefusalAnswer> {
        let _in_flight = self.shared.metrics.request_started();
        answer_query(&self.shared, request, context).await
    }

    async fn submit(
        &self,
        request: SubmissionRequest,
        context: RequestContext,
    ) -> Result<SubmissionAnswer, RefusalAnswer> {
        let _in_flight = self.shared.metrics.request_started();
        let accepted_at = context.accepted_at;
        let result = answer_submission(&self.shared, request, context).await;
        let outcome = match &result {
            Ok(answer) if answer.repeated => SubmissionOutcome::Repeated,
            Ok(_) => SubmissionOutcome::Done,
            Err(refused) => {
                self.shared.metrics.refused(refused.refusal.reason());
                SubmissionOutcome::of_refusal(&refused.refusal)
            }
        };
        self.shared.metrics.submission_ended(outcome, accepted_at.elapsed());
        result
    }

    async fn addresses(
        &self,
        data_centre: Option<DataCentreName>,
    ) -> Result<AddressesAnswer, RefusalAnswer> {
        let view = Arc::clone(&self.shared.members.borrow());
        let (mut addresses, mut data_centres) = (Vec::new(), Vec::new());
        let near = view.live().filter(|member| Some(&member.data_centre) == data_centre.as_ref());
        let far = view.live().filter(|member| Some(&member.data_centre) != data_centre.as_ref());
        for member in near.chain(far) {
            addresses.push(member.caller_address);
            data_centres.push(member.data_centre.clone());
        }
        if addresses.is_empty() {
            let detail = "no VM takes new callers at the moment";
            let refusal =
                Custody::new().refuse(RefusalReason::NotReady, detail, Some(NOT_READY_RETRY_AFTER));
            return Err(RefusalAnswer { request_id: String::new(), refusal });
        }
        let lifetime_ms = self.shared.address_settings().lifetime_ms;
        Ok(AddressesAnswer { addresses, data_centres, lifetime_ms })
    }

    fn limits(&self) -> LimitSettings {
        let in_force = self.shared.in_force.borrow().clone();
        in_force.map(|current| current.settings.limits.clone()).unwrap_or_default()
    }
}

#[async_trait]
impl OperatorService for VmService {
    fn metrics(&self) -> String {
        let shared = &self.shared;
        let counts = shared.counts();
        shared.metrics.set_dispatch(&DispatchLevels {
            waiting: counts.sub_requests_waiting as u64,
            slots_busy: counts.sub_requests_running as u64,
            ..DispatchLevels::default()
        });
        shared.metrics.set_members(&shared.members.borrow());
        shared.metrics.set_configuration_version(shared.configuration_version());
        shared.metrics.encode()
    }

    async fn status(&self) -> serde_json::Value {
        let view = Arc::clone(&self.shared.members.borrow());
        let Some(own) = view.members.get(&self.shared.identity.address) else {
            return json!({ "counts": self.shared.counts() });
        };
        let mut status = json!(self.shared.vm_status(own, &view));
        status["counts"] = json!(self.shared.counts());
        status
    }

    fn readiness(&self) -> Readiness {
        if *self.shared.leaving.borrow() {
            return Readiness::NotReady { detail: "the VM is leaving".to_owned() };
        }
        match self.shared.in_force.borrow().as_ref() {
            Some(_) => Readiness::Ready,
            None => Readiness::NotReady { detail: "no configuration yet".to_owned() },
        }
    }

    fn drain(&self) {
        self.shared.leaving.send_replace(true);
    }
}

impl Shared {
    fn vm_status(&self, own: &Member, view: &MemberView) -> VmStatus {
        let in_force = self.in_force.borrow().clone();
        let catalogues = in_force.iter().flat_map(|current| &current.catalogues);
        let snapshots = catalogues
            .filter_map(|(service, catalogue)| Some((service.clone(), catalogue.newest()?.0)));
        VmStatus {
            identity: self.identity.clone(),
            site: self.site.clone(),
            data_centre: own.data_centre.clone(),
            caller_address: own.caller_address,
            state: own.state,
            configuration_version: self.configuration_version(),
            snapshots: snapshots.collect(),
            refused: self.configuration_status.borrow().refused.clone(),
            members: view.members.values().cloned().collect(),
        }
    }

    /// Returns the version of the configuration in force; zero before the first.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.in_force.borrow().as_ref().map_or(0, |current| current.configuration_version)
    }

    /// Returns what callers are told about addresses.
    pub(crate) fn address_settings(&self) -> AddressSettings {
        let in_force = self.in_force.borrow().clone();
        in_force.map(|current| current.settings.addresses.clone()).unwrap_or_default()
    }
}
