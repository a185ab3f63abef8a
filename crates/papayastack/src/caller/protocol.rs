//! The messages of the callers' HTTP interface, JSON both ways.
//!
//! | path | body | answer |
//! |---|---|---|
//! | `POST /v1/query` | [`QueryRequest`] | [`QueryAnswer`] or [`RefusalAnswer`] |
//! | `POST /v1/submissions` | [`SubmissionRequest`] | [`SubmissionAnswer`] or [`RefusalAnswer`] |
//! | `GET /v1/addresses?data_centre=` | | [`AddressesAnswer`] |

use std::net::SocketAddr;

use papayastack_macros::message;

use crate::ids::{DataCentreName, ServiceName};
use crate::outcome::{Answer, Refusal};
use crate::settings::QueryClass;
use crate::upstream::Selection;

/// A query for documents of one service.
#[message]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// The service to query.
    pub service: ServiceName,
    /// The query class, which decides priority and hedging.
    pub class: QueryClass,
    /// What to look for.
    pub selection: Selection,
    /// The time that the caller waits, in milliseconds; the class's default where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The most hits to return; 100 where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hits_limit: Option<u32>,
}

/// The answer to a [`QueryRequest`] that ran.
#[message]
pub struct QueryAnswer {
    /// The request's id, also in the `x-request-id` header.
    pub request_id: String,
    /// The answer with its coverage.
    #[serde(flatten)]
    pub answer: Answer,
    /// The time from acceptance to answer, in milliseconds.
    pub elapsed_ms: u64,
}

/// The answer to a request that was refused or failed.
#[message]
pub struct RefusalAnswer {
    /// The request's id, also in the `x-request-id` header.
    pub request_id: String,
    /// The reason, whether the request may have run, and when to retry.
    #[serde(flatten)]
    pub refusal: Refusal,
}

/// A submission, which must run at most once.
#[message]
#[serde(deny_unknown_fields)]
pub struct SubmissionRequest {
    /// The service that takes the submission.
    pub service: ServiceName,
    /// The caller's key: `<unix milliseconds of issue>-<unique text>`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The content of the submission.
    pub body: serde_json::Value,
    /// The time that the caller waits, in milliseconds; a default of the VM where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// The answer to a [`SubmissionRequest`] that ran, now or under an earlier request.
#[message]
pub struct SubmissionAnswer {
    /// The request's id, also in the `x-request-id` header.
    pub request_id: String,
    /// The upstream's receipt.
    pub receipt: String,
    /// Whether the outcome was recorded by an earlier request with the same key.
    pub repeated: bool,
}

/// The VMs that a caller should use.
#[message]
pub struct AddressesAnswer {
    /// The VMs' addresses for callers, in the order of preference.
    pub addresses: Vec<SocketAddr>,
    /// The data centre of each address, in the same order.
    pub data_centres: Vec<DataCentreName>,
    /// How long the caller may keep this answer, in milliseconds.
    pub lifetime_ms: u64,
}
