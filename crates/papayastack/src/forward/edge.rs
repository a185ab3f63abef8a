//! What the platform's side provides: header names, formats, the store.

use std::time::Duration;

use async_trait::async_trait;
use axum::http::{HeaderName, Uri};
use bytes::Bytes;
use papayastack_macros::{closed_set, value};

use super::registry::UpstreamEntry;
use super::route::RouteDocument;
use crate::caller::AddressesAnswer;
use crate::platform::{ListedVm, PlatformError};

/// Counts the changes of the whole store.
pub type StoreRevision = u64;

/// The names of the headers that carry what the forwarding needs.
#[value]
pub struct HeaderNames {
    /// Identifies one request of a caller.
    pub request_id: HeaderName,
    /// The time that the sender still waits, in milliseconds.
    pub remaining_ms: HeaderName,
    /// The upstream that must run the request; any other one refuses it.
    pub target_upstream: HeaderName,
    /// The upstream that answered.
    pub upstream_id: HeaderName,
    /// The upstream's proof of its answer.
    pub seal: HeaderName,
    /// Running requests, waiting requests and slots of an upstream.
    pub load: HeaderName,
    /// Says that the upstream did not run the request.
    pub not_run: HeaderName,
    /// The seals of the parts of an answer.
    pub part_seals: HeaderName,
    /// How many shards an answer leaves out.
    pub parts_missing: HeaderName,
}

/// Where a caller that asks for addresses is.
#[value]
#[derive(Default)]
pub struct AddressCaller {
    /// Its data centre.
    pub data_centre: Option<String>,
}

/// The names and formats of what callers send and get beside their own requests.
pub trait IngressFormat: Send + Sync + 'static {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the path that tells whether this VM serves callers.
    fn ready_path(&self) -> &'static str;

    /// Returns the path that answers which addresses to use.
    fn addresses_path(&self) -> &'static str;

    /// Reads the query of a call for addresses.
    fn address_caller(&self, uri: &Uri) -> AddressCaller;

    /// Writes the answer to a call for addresses.
    fn address_answer(&self, answer: &AddressesAnswer) -> Bytes;
}

/// The store as the forwarding follows it; every call is counted by the platform.
#[async_trait]
pub trait FeedStore: Send + Sync + 'static {
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

    /// Lists the routes: one document, or none before the first.
    async fn list_routes(&self) -> Result<Listing<RouteDocument>, PlatformError>;

    /// Waits up to `wait` for changes of the routes after a revision.
    async fn watch_routes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<RouteDocument>, PlatformError>;

    /// Records this VM, so that others find it; again changes nothing.
    async fn register_vm(&self, vm: &ListedVm) -> Result<(), PlatformError>;

    /// Lists the VMs that were ever recorded.
    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError>;
}

/// How current a list must be.
#[closed_set]
pub enum Freshness {
    /// It holds everything that was acknowledged before the call.
    Current,
    /// It may be seconds behind its time, at the revision that it names, and costs less.
    MayLag,
}

/// All entries of a kind at one revision.
#[value]
pub struct Listing<T> {
    /// The entries.
    pub entries: Vec<Named<T>>,
    /// The revision.
    pub revision: StoreRevision,
}

/// The changes of a kind up to a revision, oldest first.
#[value]
pub struct Changes<T> {
    /// The changes.
    pub changes: Vec<Change<T>>,
    /// The revision up to which they are complete.
    pub revision: StoreRevision,
}

/// One change.
#[value]
pub enum Change<T> {
    /// An entry was made or changed.
    Put(Named<T>),
    /// An entry was removed.
    Removed {
        /// Its name.
        name: String,
    },
}

/// An entry with its name; the content may be what no writer of ours writes.
#[value]
pub struct Named<T> {
    /// The name within the kind.
    pub name: String,
    /// The content, or why it cannot be used.
    pub content: Result<T, EntryFault>,
}

/// Says why an entry of the store cannot be used.
#[value]
pub struct EntryFault {
    /// What is wrong, for a person.
    pub detail: String,
}
