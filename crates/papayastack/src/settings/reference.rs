//! The table of all settings with kind, unit and range, for the checks and the reference page.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use serde_json::{Value, json};

const DAY_MS: u64 = 86_400_000;

/// What a setting holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// An object with fixed members.
    Section,
    /// An object whose members are named by the operator; the text names its entries in the plural.
    Map(&'static str),
    /// A whole number within a range, both ends included.
    Number { unit: &'static str, min: u64, max: u64 },
    /// True or false.
    Flag,
    /// One of the listed strings.
    Choice(&'static [&'static str]),
    /// A name.
    Name,
    /// An IP address with a port.
    Address,
}

/// One setting.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setting {
    /// The path as a JSON pointer; `*` stands for a name that the operator chooses.
    pub path: &'static str,
    pub kind: Kind,
    /// The description on the reference page.
    pub description: &'static str,
}

impl Setting {
    const fn new(path: &'static str, kind: Kind, description: &'static str) -> Self {
        Self { path, kind, description }
    }

    const fn number(
        path: &'static str,
        unit: &'static str,
        (min, max): (u64, u64),
        description: &'static str,
    ) -> Self {
        Self::new(path, Kind::Number { unit, min, max }, description)
    }

    /// Returns a valid value, used in place of a faulty one.
    pub(crate) fn sample(&self) -> Value {
        match self.kind {
            Kind::Section | Kind::Map(_) => json!({}),
            Kind::Number { min, .. } => json!(min),
            Kind::Flag => json!(false),
            Kind::Choice(choices) => json!(choices[0]),
            Kind::Name => json!("unknown"),
            Kind::Address => json!("127.0.0.1:1"),
        }
    }

    /// Describes the valid values, to be used in hints.
    pub(crate) fn expectation(&self) -> String {
        match self.kind {
            Kind::Section => "an object".to_owned(),
            Kind::Map(what) => format!("an object of {what}"),
            Kind::Number { unit, min, max } => {
                format!("a whole number of {unit} from {min} to {max}")
            }
            Kind::Flag => "true or false".to_owned(),
            Kind::Choice(choices) => format!("one of {}", quoted(choices)),
            Kind::Name => "a name as text".to_owned(),
            Kind::Address => "an IP address with a port, for example \"10.0.0.1:8080\"".to_owned(),
        }
    }
}

/// Every setting, each after the section that holds it.
pub(crate) const SETTINGS: &[Setting] = &[
    Setting::new("", Kind::Section, "The settings of a site."),
    Setting::new("/data_centres", Kind::Map("data centres"), "The data centres by name."),
    Setting::new("/data_centres/*", Kind::Section, "One data centre."),
    Setting::new("/data_centres/*/region", Kind::Name, "The region of the data centre."),
    Setting::new("/services", Kind::Map("services"), "The services that callers may query."),
    Setting::new("/services/*", Kind::Section, "One service."),
    Setting::number(
        "/services/*/slots_per_upstream",
        "requests",
        (1, 10_000),
        "Requests that one upstream takes at once.",
    ),
    Setting::number(
        "/services/*/connections_per_upstream",
        "connections",
        (1, 100_000),
        "Connections that one upstream takes from all VMs together.",
    ),
    Setting::number(
        "/services/*/new_connection_ms",
        "milliseconds",
        (0, 10_000),
        "The cost of a new connection.",
    ),
    Setting::new(
        "/services/*/accepts_submissions",
        Kind::Flag,
        "Whether the service accepts submissions.",
    ),
    Setting::new("/services/*/upstreams", Kind::Map("upstreams"), "The upstreams by id."),
    Setting::new("/services/*/upstreams/*", Kind::Section, "One upstream."),
    Setting::new(
        "/services/*/upstreams/*/data_centre",
        Kind::Name,
        "The data centre that the upstream runs in; one of `/data_centres`.",
    ),
    Setting::new(
        "/services/*/upstreams/*/address",
        Kind::Address,
        "The HTTP address of the upstream.",
    ),
    Setting::new("/classes", Kind::Section, "The settings of each query class."),
    Setting::new("/classes/*", Kind::Section, "One class: `sweep`, `lookup` or `archive`."),
    Setting::number(
        "/classes/*/deadline_default_ms",
        "milliseconds",
        (1, DAY_MS),
        "The deadline of a query that gives none; at most `deadline_max_ms`.",
    ),
    Setting::number(
        "/classes/*/deadline_max_ms",
        "milliseconds",
        (1, DAY_MS),
        "The longest deadline that a caller may ask for.",
    ),
    Setting::new("/classes/*/hedge", Kind::Flag, "Whether slow shards are hedged."),
    Setting::number(
        "/classes/*/hedge_quantile_permille",
        "thousandths",
        (1, 999),
        "The quantile of shard latency after which a shard is hedged.",
    ),
    Setting::number(
        "/classes/*/in_flight_max",
        "queries",
        (1, 1_000_000),
        "Queries of the class that one VM runs at once.",
    ),
    Setting::new("/routing", Kind::Section, "How queries reach upstreams."),
    Setting::new(
        "/routing/policy",
        Kind::Choice(&["owner", "direct", "naive"]),
        "Which VM sends to an upstream: `owner`, the VM that owns the upstream; `direct`, the \
         entry VM within its share of the slots; `naive`, the entry VM without limits, hedges or \
         retries.",
    ),
    Setting::number(
        "/routing/hedge_budget_permille",
        "thousandths",
        (0, 1_000),
        "Hedges allowed per thousand sub-requests.",
    ),
    Setting::number(
        "/routing/retry_budget_permille",
        "thousandths",
        (0, 1_000),
        "Retries allowed per thousand sub-requests.",
    ),
    Setting::number(
        "/routing/queue_max",
        "sub-requests",
        (1, 1_000_000),
        "Sub-requests that may wait for one upstream.",
    ),
    Setting::number(
        "/routing/hop_margin_ms",
        "milliseconds",
        (0, 1_000),
        "The part of a deadline reserved for returning the answer over one hop. Towards callers a tenth \
         of the deadline, 40 ms at most, is reserved if that is more.",
    ),
    Setting::number(
        "/routing/ejection_ms",
        "milliseconds",
        (1, 600_000),
        "How long an ejected upstream is avoided while another replica is available.",
    ),
    Setting::new("/limits", Kind::Section, "Limits on what a VM accepts from callers."),
    Setting::number(
        "/limits/body_max_bytes",
        "bytes",
        (1_024, 16_777_216),
        "The largest request body.",
    ),
    Setting::number(
        "/limits/header_max_bytes",
        "bytes",
        (1_024, 1_048_576),
        "The largest sum of header names and values.",
    ),
    Setting::number("/limits/terms_max", "terms", (1, 10_000), "The most terms in one query."),
    Setting::number("/limits/term_max_bytes", "bytes", (1, 65_536), "The longest term or key."),
    Setting::number(
        "/limits/hits_max",
        "hits",
        (1, 1_000_000),
        "The most hits that a caller may ask for.",
    ),
    Setting::new("/addresses", Kind::Section, "How address queries from callers are answered."),
    Setting::number(
        "/addresses/lifetime_ms",
        "milliseconds",
        (100, 3_600_000),
        "How long a caller may cache an address answer; a leaving VM keeps serving for that long.",
    ),
    Setting::new("/membership", Kind::Section, "How VMs detect failures of each other."),
    Setting::number(
        "/membership/probe_interval_ms",
        "milliseconds",
        (10, 60_000),
        "The time between two probes by one VM.",
    ),
    Setting::number(
        "/membership/probe_timeout_ms",
        "milliseconds",
        (1, 60_000),
        "How long a probe waits for its acknowledgement; at most `probe_interval_ms`.",
    ),
    Setting::number(
        "/membership/suspicion_ms",
        "milliseconds",
        (10, 600_000),
        "How long a suspected VM has to refute the suspicion before it is declared dead, longer in \
         regions of more than 10 VMs; at least `probe_interval_ms`.",
    ),
    Setting::number(
        "/membership/indirect_probes",
        "VMs",
        (0, 16),
        "VMs that are asked for an indirect probe after a direct probe failed.",
    ),
    Setting::new("/platform", Kind::Section, "How the platform is used."),
    Setting::number(
        "/platform/watchers_per_region",
        "VMs",
        (1, 16),
        "VMs per region that watch the platform's objects.",
    ),
    Setting::number(
        "/platform/watch_wait_ms",
        "milliseconds",
        (100, 600_000),
        "How long the platform holds a watch request without a change.",
    ),
    Setting::number(
        "/platform/backoff_max_ms",
        "milliseconds",
        (100, 600_000),
        "The longest back-off after a failed call.",
    ),
    Setting::new("/submissions", Kind::Section, "How submissions are recorded."),
    Setting::number(
        "/submissions/buckets",
        "buckets",
        (1, 65_536),
        "Buckets that submission keys are spread over.",
    ),
    Setting::number(
        "/submissions/slot_ms",
        "milliseconds",
        (100, 3_600_000),
        "The range of issue times covered by one ledger object; at most `retention_ms`.",
    ),
    Setting::number(
        "/submissions/clock_skew_max_ms",
        "milliseconds",
        (0, 600_000),
        "How far in the future a key's time of issue may lie.",
    ),
    Setting::number(
        "/submissions/retention_ms",
        "milliseconds",
        (60_000, 31 * DAY_MS),
        "How long outcomes are kept after the key's time of issue.",
    ),
    Setting::number(
        "/submissions/group_wait_ms",
        "milliseconds",
        (0, 10_000),
        "The longest time that a submission waits for others to share its platform write.",
    ),
    Setting::number(
        "/submissions/write_interval_ms",
        "milliseconds",
        (0, 10_000),
        "The shortest time between the starts of two writes of one ledger object.",
    ),
    Setting::number(
        "/submissions/outcome_wait_ms",
        "milliseconds",
        (0, 10_000),
        "The longest time that an outcome with no waiting caller waits for others to share its \
         platform write.",
    ),
    Setting::number(
        "/submissions/body_max_bytes",
        "bytes",
        (1, 65_536),
        "The largest submission body.",
    ),
];

/// A node of the tree of settings.
#[derive(Debug)]
pub(crate) struct SettingNode {
    pub setting: &'static Setting,
    members: BTreeMap<&'static str, SettingNode>,
}

impl SettingNode {
    /// Returns the tree of all settings.
    pub(crate) fn root() -> &'static Self {
        static ROOT: LazyLock<SettingNode> =
            LazyLock::new(|| SettingNode::with_members(&SETTINGS[0]));
        &ROOT
    }

    /// Returns the node of the member `key`.
    pub(crate) fn member(&self, key: &str) -> Option<&Self> {
        self.members.get(key).or_else(|| self.members.get("*"))
    }

    fn with_members(setting: &'static Setting) -> Self {
        let members = SETTINGS.iter().filter_map(|member| {
            let (parent, name) = member.path.rsplit_once('/')?;
            (parent == setting.path).then(|| (name, Self::with_members(member)))
        });
        Self { setting, members: members.collect() }
    }
}

/// Returns the setting that describes the value at `pointer`.
pub(crate) fn setting_at(pointer: &str) -> Option<&'static Setting> {
    let mut keys = pointer.split('/').skip(1);
    let node = keys.try_fold(SettingNode::root(), |node, key| node.member(key))?;
    Some(node.setting)
}

/// Joins names for a message, each in quotation marks.
pub(crate) fn quoted(names: &[&str]) -> String {
    let names: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    names.join(", ")
}
