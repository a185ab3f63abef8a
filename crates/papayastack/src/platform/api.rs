//! The [`Platform`] trait with its types and errors.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use papayastack_macros::{closed_set, message, value};
use tokio::sync::watch;

use crate::ids::DataCentreName;

/// The version of an object; every accepted update of the object raises it.
///
/// The upper bits hold the store's era, so that a version from before the store came back from an
/// older copy is below every version after that, and equal to none.
pub type ObjectVersion = u64;

/// The number of times that the store came back from an older copy; zero if it does not say.
///
/// Revisions of one era are not comparable with those of another: the store gives them out again.
pub type StoreEra = u64;

/// The bits of an [`ObjectVersion`] that hold the revision; the rest holds the era.
const REVISION_BITS: u32 = 48;

/// Returns the version of an object at a revision of an era.
pub fn object_version(era: StoreEra, revision: u64) -> ObjectVersion {
    era << REVISION_BITS | revision
}

/// Returns the era of an object's version.
pub fn version_era(version: ObjectVersion) -> StoreEra {
    version >> REVISION_BITS
}

/// Returns the revision of an object's version within its era.
pub fn version_revision(version: ObjectVersion) -> u64 {
    version & ((1 << REVISION_BITS) - 1)
}

/// The name of an object in the platform's store.
#[message]
#[derive(PartialOrd, Ord)]
pub struct ObjectName {
    /// The kind, for example `configuration` or `ledger`.
    pub kind: String,
    /// The name within the kind.
    pub name: String,
}

impl ObjectName {
    /// Names the object `name` of `kind`.
    pub fn new(kind: impl Into<String>, name: impl Into<String>) -> Self {
        Self { kind: kind.into(), name: name.into() }
    }
}

/// An object as read from the platform.
#[message]
pub struct Object {
    /// The version that was read.
    pub version: ObjectVersion,
    /// The content, at most one megabyte.
    pub value: serde_json::Value,
}

/// What must hold for an update to be accepted.
#[value]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object still has this version.
    Version(ObjectVersion),
}

/// Whether a listed VM or upstream is in use.
#[closed_set]
pub enum ListedState {
    /// The VM or upstream is in use.
    Live,
    /// The VM or upstream is about to be removed.
    Leaving,
}

/// One entry of the platform's list of VMs, which lags behind the actual state.
#[message]
pub struct ListedVm {
    /// The link address of an entry VM, or the address of an upstream.
    pub address: SocketAddr,
    /// The data centre that the VM or upstream runs in.
    pub data_centre: DataCentreName,
    /// Whether the entry is an entry VM of this system rather than an upstream.
    pub entry_vm: bool,
    /// Whether the VM or upstream is in use.
    pub state: ListedState,
}

/// Says why a call to the platform gave no result.
#[value]
pub enum PlatformError {
    /// The object does not exist.
    NotFound,
    /// The precondition does not hold; nothing was changed.
    Conflict,
    /// The platform refused the call because of a rate limit; nothing was changed.
    RateLimited {
        /// How long to wait before the next call.
        retry_after: Duration,
    },
    /// The platform refused the call during an outage; nothing was changed.
    Unavailable,
    /// The call was sent but no answer came; an update may have taken effect.
    AnswerLost,
    /// The platform no longer has the changes after the requested revision; the caller must read
    /// all objects again.
    HistoryGone,
    /// The platform rejected the request as invalid, for example too large; nothing was changed.
    Rejected {
        /// The platform's explanation.
        detail: String,
    },
}

impl std::fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotFound => write!(formatter, "the object does not exist"),
            Self::Conflict => write!(formatter, "precondition failed: the object has been changed"),
            Self::RateLimited { retry_after } => {
                write!(
                    formatter,
                    "the platform limits the call rate: retry after {} ms",
                    retry_after.as_millis()
                )
            }
            Self::Unavailable => write!(formatter, "the platform is not available"),
            Self::AnswerLost => write!(formatter, "the platform's answer was lost"),
            Self::HistoryGone => write!(formatter, "the platform no longer keeps these changes"),
            Self::Rejected { detail } => write!(formatter, "the platform rejected this: {detail}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// The platform's object store; every call counts against the platform's rate limits.
#[async_trait]
pub trait Platform: Send + Sync + 'static {
    /// Returns a receiver of the newest era that any answer named, `None` before the first one; a
    /// platform without eras has no receiver.
    fn eras(&self) -> Option<watch::Receiver<Option<StoreEra>>> {
        None
    }

    /// Reads an object.
    async fn read(&self, name: &ObjectName) -> Result<Object, PlatformError>;

    /// Waits up to `wait` for a version of the object above `after`; `None` if none appears.
    async fn watch(
        &self,
        name: &ObjectName,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError>;

    /// Writes an object if `precondition` holds and returns the new version.
    async fn update(
        &self,
        name: &ObjectName,
        precondition: Precondition,
        value: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Deletes an object if it still has `version`.
    async fn delete(&self, name: &ObjectName, version: ObjectVersion) -> Result<(), PlatformError>;

    /// Lists the names of the objects of one kind.
    async fn list(&self, kind: &str) -> Result<Vec<ObjectName>, PlatformError>;

    /// Lists live and leaving VMs and upstreams; the list lags behind the actual state.
    async fn vms(&self) -> Result<Vec<ListedVm>, PlatformError>;
}
