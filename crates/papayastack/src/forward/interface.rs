//! What the platform integration provides: header names, formats and access to the store.

use std::time::Duration;

use async_trait::async_trait;
use axum::http::{HeaderName, Uri};
use bytes::Bytes;
use papayastack_macros::{closed_set, message, value};
use tokio::sync::watch;

use super::registry::UpstreamEntry;
use super::route::RouteDocument;
use crate::caller::AddressesAnswer;
use crate::platform::{ListedVm, PlatformError, StoreEra};

/// A revision of the whole store: a counter that grows with every change.
pub type StoreRevision = u64;

/// A point in the history of the store.
#[message]
#[derive(Copy)]
pub struct StorePosition {
    /// The era of the revision.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: StoreRevision,
}

/// The names of the HTTP headers that forwarding reads and writes.
#[value]
pub struct HeaderNames {
    /// Identifies one request of a caller.
    pub request_id: HeaderName,
    /// How much longer the sender waits for the answer, in milliseconds.
    pub remaining_ms: HeaderName,
    /// The upstream that must run the request; another upstream refuses it with status 421.
    pub target_upstream: HeaderName,
    /// The upstream that answered.
    pub upstream_id: HeaderName,
    /// The seal by which the upstream proves that the answer is its own; passed on to the caller.
    pub seal: HeaderName,
    /// The load of an upstream: its running requests, waiting requests and slots.
    pub load: HeaderName,
    /// Marks, with the value 1, the replies of an upstream that is leaving.
    pub leaving: HeaderName,
    /// The requests a second, as a decimal number, that an upstream in need takes from all VMs
    /// together. The limit holds until a reply lacks the header.
    pub rate_limit: HeaderName,
    /// Marks a reply of an upstream that did not run the request.
    pub not_run: HeaderName,
    /// The seals of all parts of a merged answer.
    pub part_seals: HeaderName,
    /// The number of shards that are missing from a merged answer.
    pub parts_missing: HeaderName,
}

/// The location of a caller that asks for VM addresses.
#[value]
#[derive(Default)]
pub struct CallerLocation {
    /// The caller's data centre; `None` if the caller did not name it.
    pub data_centre: Option<String>,
}

/// The header names, paths and formats that the platform prescribes for callers.
pub trait IngressFormat: Send + Sync + 'static {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// Returns the path at which callers ask for VM addresses.
    fn addresses_path(&self) -> &'static str;

    /// Reads the caller's location from the query of a request for addresses.
    fn caller_location(&self, uri: &Uri) -> CallerLocation;

    /// Encodes the answer to a request for addresses.
    fn encode_addresses(&self, answer: &AddressesAnswer) -> Bytes;
}

/// Access to the platform's store; the platform charges for every call.
#[async_trait]
pub trait FeedStore: Send + Sync + 'static {
    /// Returns a receiver of the newest era that any answer named, `None` before the first one.
    fn eras(&self) -> watch::Receiver<Option<StoreEra>>;

    /// Lists the upstreams.
    async fn list_upstreams(
        &self,
        freshness: Freshness,
    ) -> Result<Listing<UpstreamEntry>, PlatformError>;

    /// Waits up to `wait` for changes of upstreams after a revision.
    async fn watch_upstreams(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<UpstreamEntry>, PlatformError>;

    /// Lists the routes: one document, or none if no routes were ever stored.
    async fn list_routes(&self) -> Result<Listing<RouteDocument>, PlatformError>;

    /// Waits up to `wait` for changes of the routes after a revision.
    async fn watch_routes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<RouteDocument>, PlatformError>;

    /// Records this VM in the store so that other VMs find it; idempotent.
    async fn register_vm(&self, vm: &ListedVm) -> Result<(), PlatformError>;

    /// Tells whether the store has a record of this VM; the answer may be seconds out of date, and
    /// costs less than other calls.
    async fn is_recorded(&self, vm: &ListedVm) -> Result<bool, PlatformError>;

    /// Lists all VMs that were ever recorded, whether they still run or not.
    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError>;
}

/// How up to date a list must be.
#[closed_set]
pub enum Freshness {
    /// The list holds every write that was acknowledged before the call.
    Current,
    /// The list may be seconds out of date, as of [`Listing::position`], and costs less.
    MayLag,
}

/// All entries of a kind at one revision.
#[value]
pub struct Listing<T> {
    /// The entries, including those whose content cannot be used.
    pub entries: Vec<NamedEntry<T>>,
    /// The position of the store that the list shows.
    pub position: StorePosition,
}

/// The changes of a kind up to a revision, oldest first.
#[value]
pub struct Changes<T> {
    /// The changes.
    pub changes: Vec<Change<T>>,
    /// The position up to which the changes are complete.
    pub position: StorePosition,
}

/// One change of an entry in the store.
#[value]
pub enum Change<T> {
    /// An entry was created or changed.
    Put(NamedEntry<T>),
    /// An entry was removed.
    Removed {
        /// The name of the entry.
        name: String,
    },
}

/// An entry with its name; other programs write to the store too, so the content may be invalid.
#[value]
pub struct NamedEntry<T> {
    /// The name, unique within the kind of object.
    pub name: String,
    /// The content, or why it cannot be used.
    pub content: Result<T, EntryFault>,
}

/// Why an entry of the store cannot be used.
#[value]
pub struct EntryFault {
    /// A readable description of the fault.
    pub detail: String,
}
