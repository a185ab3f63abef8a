//! The behaviour of the stand-in platform, which can be changed while the platform runs.

use papayastack_macros::message;

/// The behaviour of the stand-in platform; the default has no faults.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct PlatformBehaviour {
    /// Connections are closed and new ones refused.
    pub unreachable: bool,
    /// Every call is answered with status 503 and changes nothing.
    pub unavailable: bool,
    /// Calls get no answer, and neither do watches that wait; their connections stay open.
    pub silent: bool,
    /// The delay before a call is carried out, in milliseconds.
    pub slow_ms: u64,
    /// The share of updates and deletions, in thousandths, that take effect but whose answer is
    /// lost.
    pub lost_after_permille: u32,
    /// The share of updates and deletions, in thousandths, that are lost before they take effect.
    pub lost_before_permille: u32,
    /// The share of updates and deletions, in thousandths, that take effect late and get no answer.
    pub late_permille: u32,
    /// The delay of late updates and deletions, in milliseconds.
    pub late_ms: u64,
    /// The share of reads, in thousandths, that a stale replica answers.
    pub stale_permille: u32,
    /// The lag of the stale replica, in milliseconds.
    pub stale_ms: u64,
    /// Updates and deletions allowed per second.
    pub writes_per_s: u32,
    /// Reads, watches and lists allowed per second.
    pub reads_per_s: u32,
    /// The maximum size of a value in bytes; larger ones are refused.
    pub value_max_bytes: u64,
    /// The lag of lists that are read with `allow_stale=1`, in milliseconds.
    pub list_lag_ms: u64,
    /// The maximum number of objects on one page of a list.
    pub page_max: usize,
}

impl Default for PlatformBehaviour {
    fn default() -> Self {
        Self {
            unreachable: false,
            unavailable: false,
            silent: false,
            slow_ms: 0,
            lost_after_permille: 0,
            lost_before_permille: 0,
            late_permille: 0,
            late_ms: 2_000,
            stale_permille: 0,
            stale_ms: 2_000,
            writes_per_s: 400,
            reads_per_s: 2_000,
            value_max_bytes: 1_000_000,
            list_lag_ms: 0,
            page_max: 500,
        }
    }
}
