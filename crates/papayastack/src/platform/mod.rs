//! The platform's object API: versioned objects, conditional updates, watches, the list of VMs.
//!
//! The published interface is HTTP/1.1 with JSON bodies. An object's version travels as its
//! `ETag`, a decimal number in quotes. Versions count the updates of the whole store, so that an
//! object that is deleted and made again never repeats one.
//!
//! | call | condition | success |
//! |---|---|---|
//! | `GET /objects/{kind}` | | 200, a list of names |
//! | `GET /objects/{kind}/{name}` | | 200, the value, `ETag` |
//! | `GET /objects/{kind}/{name}?after=V&wait_ms=N` | waits for a version above V | 200, or 304 after N ms |
//! | `PUT /objects/{kind}/{name}` | `If-None-Match: *` or `If-Match: "V"` | 200 or 201, `ETag` |
//! | `DELETE /objects/{kind}/{name}` | `If-Match: "V"` | 204 |
//! | `GET /vms` | | 200, a list of [`ListedVm`] |
//!
//! | status | meaning |
//! |---|---|
//! | 400, 413, 428 | rejected: malformed, too large, condition missing; nothing was changed |
//! | 404 | the object does not exist |
//! | 412 | the condition does not hold; nothing was changed |
//! | 429 | rate limit, with `Retry-After` (seconds) and `retry-after-ms`; nothing was changed |
//! | 503 | outage; nothing was changed |
//! | other 5xx, or no answer | an update may have taken effect |

mod api;
mod http;

pub use api::{
    ListedState, ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError, Precondition,
};
pub use http::{HttpPlatform, RETRY_AFTER_MS_HEADER};
