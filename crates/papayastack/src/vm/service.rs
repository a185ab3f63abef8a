//! The VM's implementation of the services for callers and operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde_json::json;

use super::entry::answer_query;
use super::shared::Shared;
use super::submit::answer_submission;
use crate::addresses::{AddressQuery, choose_addresses};
use crate::caller::{
    AddressesAnswer, CallerService, QueryAnswer, QueryRequest, RefusalAnswer, RequestContext,
    SubmissionAnswer, SubmissionRequest,
};
use crate::configuration::VmStatus;
use crate::ids::DataCentreName;
use crate::membership::MemberState;
use crate::observe::{DispatchLevels, SubmissionOutcome};
use crate::operator::{OperatorService, Readiness};
use crate::outcome::{DeliveryRecord, RefusalReason};
use crate::settings::LimitSettings;

/// How long a refused caller is told to wait if no VM accepts new callers.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers callers and operators on behalf of the VM.
pub(crate) struct VmService {
    shared: Arc<Shared>,
}

impl VmService {
    /// Creates the service over the shared state of the VM.
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
        let in_force = self.shared.in_force.borrow().clone();
        let data_centres =
            in_force.map(|current| current.settings.data_centres.clone()).unwrap_or_default();
        let query = AddressQuery {
            data_centre: data_centre.as_deref(),
            data_centres: &data_centres,
            loads: &BTreeMap::new(),
            lifetime_max: self.shared.address_lifetime(),
        };
        let answer = choose_addresses(&view, &query, &mut self.shared.decisions().random);
        if answer.addresses.is_empty() {
            let detail = "no VM takes new callers at the moment";
            let retry_after = Some(NOT_READY_RETRY_AFTER);
            let refusal =
                DeliveryRecord::new().refuse(RefusalReason::NotReady, detail, retry_after);
            return Err(RefusalAnswer { request_id: String::new(), refusal });
        }
        Ok(answer)
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
        let dispatch = shared.dispatcher.counts();
        shared.metrics.set_dispatch(&DispatchLevels {
            waiting: dispatch.waiting as u64,
            slots_busy: dispatch.running as u64,
            slots: dispatch.slots,
            connections: dispatch.connections,
        });
        shared.metrics.set_members(&shared.members.borrow());
        shared.metrics.set_configuration_version(shared.configuration_version());
        shared.metrics.encode()
    }

    async fn status(&self) -> serde_json::Value {
        let mut status = json!(self.shared.status());
        status["counts"] = json!(self.shared.counts());
        status
    }

    fn readiness(&self) -> Readiness {
        if *self.shared.drain_requested.borrow() {
            return Readiness::NotReady { detail: "the VM is leaving".to_owned() };
        }
        match self.shared.in_force.borrow().as_ref() {
            Some(_) => Readiness::Ready,
            None => Readiness::NotReady { detail: "no configuration yet".to_owned() },
        }
    }

    fn drain(&self) {
        self.shared.drain_requested.send_replace(true);
    }
}

impl Shared {
    /// Returns the version of the configuration in force; zero before the first.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.in_force.borrow().as_ref().map_or(0, |current| current.configuration_version)
    }

    /// Returns how long callers may keep an address answer.
    pub(crate) fn address_lifetime(&self) -> Duration {
        let in_force = self.in_force.borrow().clone();
        let settings = in_force.map(|current| current.settings.addresses.clone());
        Duration::from_millis(settings.unwrap_or_default().lifetime_ms)
    }

    fn status(&self) -> VmStatus {
        let view = Arc::clone(&self.members.borrow());
        let own = view.members.get(&self.address);
        let in_force = self.in_force.borrow().clone();
        let catalogues = in_force.map(|current| current.catalogues.clone()).unwrap_or_default();
        let newest = catalogues.iter().filter_map(|(service, catalogue)| {
            catalogue.newest().map(|(snapshot, _)| (service.clone(), snapshot))
        });
        VmStatus {
            identity: self.identity.clone(),
            site: self.local.site.clone(),
            data_centre: self.local.data_centre.clone(),
            caller_address: own.map_or(self.local.caller_address, |own| own.caller_address),
            state: own.map_or(MemberState::Live, |own| own.state),
            configuration_version: self.configuration_version(),
            snapshots: newest.collect(),
            refused: self.configuration_status.borrow().refused.clone(),
            members: view.members.values().cloned().collect(),
        }
    }
}
