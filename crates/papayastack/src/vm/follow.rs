//! The task that follows the platform: configuration, catalogues and the list of VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::catalogue::{CATALOGUE_KIND, Catalogue};
use crate::configuration::{Bundle, CONFIGURATION_KIND, CONFIGURATION_NAME, InForce};
use crate::ids::ServiceName;
use crate::membership::{Member, MemberState, MemberView, VmIdentity};
use crate::platform::{ListedState, Object, ObjectName, Platform, PlatformError};
use crate::settings::{LocalSettings, render};

/// The pause between two looks at the platform.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// What a VM follows.
pub(crate) struct Followed {
    pub(crate) in_force: watch::Receiver<Option<Arc<InForce>>>,
    pub(crate) members: watch::Receiver<Arc<MemberView>>,
    pub(crate) task: JoinHandle<()>,
}

/// Spawns the task; the receivers see every change.
pub(crate) fn spawn_follow_task(
    platform: Arc<dyn Platform>,
    local: LocalSettings,
    own: Member,
) -> Followed {
    let (in_force, in_force_seen) = watch::channel(None);
    let members = BTreeMap::from([(own.identity.address, own.clone())]);
    let own_view = MemberView { members, ..MemberView::default() };
    let (members, members_seen) = watch::channel(Arc::new(own_view));
    let task = tokio::spawn(async move {
        loop {
            if let Ok(next) = read_in_force(platform.as_ref(), &local).await {
                in_force.send_replace(Some(Arc::new(next)));
            }
            if let Ok(view) = read_members(platform.as_ref(), &own).await {
                members.send_if_modified(|current| {
                    let changed = **current != view;
                    *current = Arc::new(view);
                    changed
                });
            }
            tokio::time::sleep(FOLLOW_INTERVAL).await;
        }
    });
    Followed { in_force: in_force_seen, members: members_seen, task }
}

async fn read_in_force(
    platform: &dyn Platform,
    local: &LocalSettings,
) -> Result<InForce, PlatformError> {
    let object = platform.read(&ObjectName::new(CONFIGURATION_KIND, CONFIGURATION_NAME)).await?;
    let bundle: Bundle = parse(&object)?;
    let settings = render(&bundle, &local.site)
        .map_err(|faults| PlatformError::Rejected { detail: format!("{faults:?}") })?;
    let mut catalogues: BTreeMap<ServiceName, Arc<Catalogue>> = BTreeMap::new();
    for service in settings.services.keys() {
        let name = ObjectName::new(CATALOGUE_KIND, service.as_str());
        if let Ok(object) = platform.read(&name).await {
            catalogues.insert(service.clone(), Arc::new(parse(&object)?));
        }
    }
    Ok(InForce { configuration_version: object.version, settings: Arc::new(settings), catalogues })
}

async fn read_members(platform: &dyn Platform, own: &Member) -> Result<MemberView, PlatformError> {
    let listed = platform.vms().await?;
    let entries = listed.into_iter().filter(|vm| vm.entry_vm).map(|vm| Member {
        identity: VmIdentity { address: vm.address, incarnation: 0 },
        data_centre: vm.data_centre,
        caller_address: vm.address,
        state: match vm.state {
            ListedState::Live => MemberState::Live,
            ListedState::Leaving => MemberState::Leaving,
        },
        configuration_version: 0,
    });
    let mut members: BTreeMap<_, _> =
        entries.map(|member| (member.identity.address, member)).collect();
    members.insert(own.identity.address, own.clone());
    Ok(MemberView { members, ..MemberView::default() })
}

fn parse<T: serde::de::DeserializeOwned>(object: &Object) -> Result<T, PlatformError> {
    serde_json::from_value(object.value.clone())
        .map_err(|error| PlatformError::Rejected { detail: error.to_string() })
}
