//! The query tier between callers and many search shards.
//!
//! Each [`Answer`] comes from one snapshot and states which shards it lacks; each [`Refusal`]
//! states whether the request may have run.
//!
//! | module | responsibility |
//! |---|---|
//! | `outcome` | answers, coverage, verdicts, refusals |
//! | `settings` | the configuration of a site, and the local settings of a VM |
//! | `platform` | the trait for the platform's object store |
//! | `forward` | forwarding of callers' requests to one upstream, or to one of each shard |
//! | `catalogue` | snapshots and shard maps |
//! | `configuration` | distribution and activation of the configuration |
//! | `membership` | which VMs are live |
//! | `addresses` | selection of VM addresses for callers, and graceful leaving of a VM |
//! | `routing` | owners of upstreams, and the directory of shards and replicas that a query uses |
//! | `admission` | limits on concurrent queries |
//! | `query` | the decision logic of a fan-out, without I/O |
//! | `dispatch` | the queue and the concurrency limit in front of an upstream |
//! | `link` | connections between VMs |
//! | `listen` | HTTP listeners with connection limits and time-outs |
//! | `vm` | one VM, assembled from the other modules |
//! | `seal` | keys, and authentication of datagrams and links between VMs |
//! | `upstream` | the upstreams' protocol and client |
//! | `caller` | the callers' protocol and HTTP server |
//! | `observe` | trace contexts, spans, logs, metrics |
//! | `submission` | submissions that run at most once |
//! | `operator` | the operators' HTTP server |

mod addresses;
mod admission;
mod caller;
mod catalogue;
mod cbor;
mod configuration;
mod dispatch;
mod forward;
mod ids;
mod link;
mod listen;
mod membership;
mod observe;
mod operator;
mod outcome;
mod platform;
mod query;
mod routing;
mod seal;
mod settings;
mod submission;
mod upstream;
mod vm;

pub use addresses::{
    ADDRESSES_MAX, AddressQuery, Leaving, LeavingPhase, LoadPermille, choose_addresses,
};
pub use admission::{Admission, AdmissionResult, QueryEnd};
pub use caller::{
    ADDRESSES_PATH, AddressesAnswer, CallContext, CallError, CallerClient, CallerServer,
    CallerService, QUERY_PATH, QueryAnswer, QueryRequest, REQUEST_ID_HEADER, RefusalAnswer,
    RequestContext, SUBMISSIONS_PATH, SubmissionAnswer, SubmissionRequest, new_submission_key,
};
pub use catalogue::{CATALOGUE_KIND, Catalogue, ShardMap};
pub use configuration::{
    ActiveConfiguration, ApplyInput, ApplyMachine, ApplyOutcome, ApplyOutput, ApplyRequest, Bundle,
    CONFIGURATION_KIND, CONFIGURATION_NAME, ConfigurationCounters, ConfigurationDriver,
    ConfigurationHandle, ConfigurationMachine, ConfigurationMessage, ConfigurationOutput,
    ConfigurationStatus, DocumentContent, DocumentUpdate, EARLIER_CHANGES_MAX, HeldDocument,
    LagReason, LaggingVm, RaceReport, RefusedDocument, Rollout, VmStatus, apply, catalogue_object,
    configuration_object,
};
pub use dispatch::{
    CancelResult, DispatchLimits, DispatchQueue, OfferResult, SubRequest, SubRequestId,
};
pub use forward::{
    CallerLimits, CallerLocation, Change, Changes, EntryFault, FeedStore, Freshness, Gateway,
    GatewayError, GatewaySettings, HeaderNames, IngressFormat, Listing, NamedEntry, PinnedRoute,
    RepeatSettings, RequestKind, Route, RouteDocument, RouteTable, RouteTarget, ServiceEntry,
    ShardTarget, SplitPart, StorePosition, StoreRevision, UpstreamEntry, UpstreamState,
};
pub use ids::{
    AttemptId, DataCentreName, Incarnation, QueryId, RegionName, ServiceName, ShardId, SiteName,
    SnapshotVersion, UpstreamId, VmAddress,
};
pub use link::{
    FRAME_MAX_BYTES, FrameError, LinkEvent, LinkHub, LinkReply, LinkRequest, RelayId, RelayResult,
    SearchBatch, SearchItem, SearchResult, SourceId, SubmissionRelay, decode_frame, encode_frame,
};
pub use listen::BindError;
pub use membership::{
    MEMBERSHIP_TICK, Member, MemberState, MemberView, Membership, MembershipCounts,
    MembershipDatagram, MembershipError, MembershipProtocol, Notice, ViewChange, VmIdentity,
};
pub use observe::{
    ActiveSpan, DecisionEvent, DecisionLog, DispatchLevels, Hop, IdSource, LogError, LogFormat,
    LogSettings, Metrics, PlatformCall, QueryOutcome, RequestGuard, SPAN_TARGET, SpanId, SpanIds,
    SpanRecord, SubmissionOutcome, TraceContext, TraceId, Tracer, open_logs,
};
pub use operator::{
    DRAIN_PATH, HEALTH_PATH, METRICS_PATH, OperatorServer, OperatorService, READY_PATH, Readiness,
    STATUS_PATH,
};
pub use outcome::{
    Answer, Certainty, CompleteCoverage, Coverage, CoverageError, DeliveryRecord, Hit, MergeError,
    MissingReason, Partial, Refusal, RefusalReason, Verdict,
};
pub use platform::{
    ListedState, ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError,
    Precondition, StoreEra, object_version, version_era, version_revision,
};
pub use query::{
    AttemptOutcome, AttemptTrace, Budgets, Command, EarlyFinish, FailureReason, Fanout,
    FanoutContext, FanoutCounts, FanoutSpec, Gather, GatherRules, GatherSpec, GatheredPart,
    NoRetryReason, NotRunReason, Observations, OnExhausted, QuantileTracker, RepeatWindowSettings,
    RepeatWindows, RetryPolicy, SilenceHold, UnneededAttempts, UpstreamLoad,
};
pub use routing::{
    ConnectionShares, DataCentreIndex, Directory, DirectoryResolver, OWNERS_KEPT, OwnerTable,
    Owners, OwnersKey, ResolvedUpstream, ResolvedUpstreams, ShardReplicas, UpstreamIndex,
    direct_share, owner_order,
};
pub use seal::{
    ClientHandshake, DATAGRAM_MAX_BYTES, DatagramOpener, DatagramSealer, FRAME_TAG_BYTES,
    FrameOpener, FrameSealer, HANDSHAKE_MAX_BYTES, Keyring, KeyringError, LinkSession, Nonce,
    OpenedDatagram, SealCounts, SealError, ServerHandshake, new_nonce,
};
pub use settings::{
    AddressSettings, ClassSettings, DataCentreSettings, Fault, LimitSettings, LocalSettings,
    MembershipSettings, PlatformSettings, QueryClass, RoutingPolicy, RoutingSettings,
    ServiceSettings, Settings, SettingsFile, SubmissionSettings, UpstreamSettings, check,
    nearest_name, render, settings_reference,
};
pub use submission::{
    LedgerPruner, RECEIPT_MAX_BYTES, SUBMISSION_KEY_MAX_BYTES, SendOutcome, Submission,
    SubmissionCoordinator, SubmissionDone, SubmissionKey, SubmissionKeyError, SubmissionSender,
    WallClock,
};
pub use upstream::{
    CancelRequest, SearchReply, SearchRequest, Selection, SubmitReply, SubmitRequest,
    UpstreamClient, UpstreamError,
};
pub use vm::{Vm, VmCounts, VmError};
