//! Checks of settings: ranges, and relations between settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;

use super::fault::Finding;
use super::nearest::nearest_name;
use super::pointer;
use super::reference::{Kind, SettingNode, quoted};
use super::schema::{ClassSettings, QueryClass, Settings};
use crate::ids::DataCentreName;

const NAMES_IN_HINT_MAX: usize = 8;

/// Finds numbers outside their range and empty names.
pub(crate) fn check_ranges(document: &Value) -> Vec<Finding> {
    let mut findings = Vec::new();
    visit(document, SettingNode::root(), &mut Vec::new(), &mut findings);
    findings
}

/// Finds missing entries, dangling references and settings that contradict each other.
pub(crate) fn check_relations(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_presence(settings, &mut findings);
    check_upstreams(settings, &mut findings);
    for (class, class_settings) in &settings.classes {
        check_class(*class, class_settings, &mut findings);
    }
    check_durations(settings, &mut findings);
    findings
}

fn visit<'a>(
    value: &'a Value,
    node: &SettingNode,
    keys: &mut Vec<&'a str>,
    findings: &mut Vec<Finding>,
) {
    let setting = node.setting;
    match (value, setting.kind) {
        (Value::Object(members), Kind::Section | Kind::Map(_)) => {
            for (key, member) in members {
                keys.push(key);
                if key.trim().is_empty() {
                    findings.push(empty_name(keys));
                }
                if let Some(node) = node.member(key) {
                    visit(member, node, keys, findings);
                }
                keys.pop();
            }
        }
        (Value::Number(number), Kind::Number { min, max, .. }) => {
            let in_range = number.as_u64().is_some_and(|number| (min..=max).contains(&number));
            if !in_range {
                let problem = format!("{number} is out of range");
                let hint = format!("write {}", setting.expectation());
                findings.push(Finding::new(pointer::from_keys(keys), problem, hint));
            }
        }
        (Value::String(name), Kind::Name) if name.trim().is_empty() => {
            findings.push(empty_name(keys));
        }
        _ => {}
    }
}

fn empty_name(keys: &[&str]) -> Finding {
    Finding::new(pointer::from_keys(keys), "the name is empty", "write a name")
}

fn check_presence(settings: &Settings, findings: &mut Vec<Finding>) {
    if settings.data_centres.is_empty() {
        let hint = "name at least one data centre with its region";
        findings.push(Finding::new("/data_centres", "there is no data centre", hint));
    }
    if settings.services.is_empty() {
        let hint = "describe at least one service with its upstreams";
        findings.push(Finding::new("/services", "there is no service", hint));
    }
    for (name, service) in &settings.services {
        if service.upstreams.is_empty() {
            let path = pointer::child(&pointer::child("/services", name), "upstreams");
            let hint = "add an upstream or remove the service";
            findings.push(Finding::new(path, "the service has no upstream", hint));
        }
    }
}

fn check_upstreams(settings: &Settings, findings: &mut Vec<Finding>) {
    let mut addresses: BTreeMap<SocketAddr, [&str; 2]> = BTreeMap::new();
    let mut ids: BTreeMap<&str, [&str; 2]> = BTreeMap::new();
    for (service_name, service) in &settings.services {
        for (id, upstream) in &service.upstreams {
            let place = [service_name.as_str(), id.as_str()];
            let address = upstream.address;
            if !settings.data_centres.contains_key(&upstream.data_centre) {
                let path = upstream_path(place);
                findings.push(unknown_data_centre(settings, &path, &upstream.data_centre));
            }
            findings.extend(unusable_address(place, address));
            if let Some(other) = addresses.insert(address, place) {
                let problem = format!("{address} is also the address of {}", upstream_path(other));
                let path = pointer::child(&upstream_path(place), "address");
                findings.push(Finding::new(path, problem, "give each upstream its own address"));
            }
            if let Some(other) = ids.insert(id, place) {
                let problem = format!("`{id}` is also the id of {}", upstream_path(other));
                let path = upstream_path(place);
                findings.push(Finding::new(path, problem, "give each upstream its own id"));
            }
        }
    }
}

fn upstream_path([service, id]: [&str; 2]) -> String {
    pointer::from_keys(&["services", service, "upstreams", id])
}

fn unknown_data_centre(settings: &Settings, upstream: &str, name: &DataCentreName) -> Finding {
    let known: Vec<&str> = settings.data_centres.keys().map(String::as_str).collect();
    let hint = match nearest_name(name, known.iter().copied()) {
        Some(nearest) => format!("did you mean `{nearest}`?"),
        None => {
            let listed = &known[..known.len().min(NAMES_IN_HINT_MAX)];
            format!("add it to /data_centres or use one of {}", quoted(listed))
        }
    };
    let path = pointer::child(upstream, "data_centre");
    Finding::new(path, format!("the data centre `{name}` does not exist"), hint)
}

fn unusable_address(place: [&str; 2], address: SocketAddr) -> Option<Finding> {
    let problem = if address.port() == 0 {
        "the port is 0"
    } else if address.ip().is_unspecified() || address.ip().is_multicast() {
        "the address is unspecified or multicast"
    } else {
        return None;
    };
    let path = pointer::child(&upstream_path(place), "address");
    Some(Finding::new(path, problem, "write the address that the upstream listens on"))
}

fn check_class(class: QueryClass, class_settings: &ClassSettings, findings: &mut Vec<Finding>) {
    if class_settings.deadline_default_ms <= class_settings.deadline_max_ms {
        return;
    }
    let class_path = pointer::child("/classes", class.name());
    let problem = format!(
        "the default deadline of {} ms is longer than deadline_max_ms, {} ms",
        class_settings.deadline_default_ms, class_settings.deadline_max_ms
    );
    let hint = "shorten deadline_default_ms or raise deadline_max_ms";
    findings.push(Finding::new(pointer::child(&class_path, "deadline_default_ms"), problem, hint));
}

fn check_durations(settings: &Settings, findings: &mut Vec<Finding>) {
    let membership = &settings.membership;
    let mut at_most = |path: &str, value: u64, limit_name: &str, limit: u64| {
        if value > limit {
            let problem = format!("{value} ms is longer than {limit_name}, {limit} ms");
            let hint = format!("shorten it or raise {limit_name}");
            findings.push(Finding::new(path, problem, hint));
        }
    };
    at_most(
        "/membership/probe_timeout_ms",
        membership.probe_timeout_ms,
        "probe_interval_ms",
        membership.probe_interval_ms,
    );
    at_most(
        "/membership/probe_interval_ms",
        membership.probe_interval_ms,
        "suspicion_ms",
        membership.suspicion_ms,
    );
    let submissions = &settings.submissions;
    at_most("/submissions/slot_ms", submissions.slot_ms, "retention_ms", submissions.retention_ms);
}
