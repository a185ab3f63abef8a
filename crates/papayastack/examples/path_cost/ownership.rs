//! The cost of computing the owners of all upstreams and of updating them on membership changes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use papayastack::{
    ActiveConfiguration, Catalogue, DataCentreSettings, DirectoryResolver, Member, MemberState,
    MemberView, ServiceSettings, Settings, UpstreamSettings, VmIdentity, owner_order,
};
use serde_json::{Value, json};

use crate::{TARGET_DATA_CENTRES, TARGET_UPSTREAMS, TARGET_VMS, fit, machine};

/// The measured sizes, each as the number of VMs and the number of upstreams.
const SIZES: [(u32, u32); 4] = [(500, 3_125), (1_000, 6_250), (2_000, 12_500), (8_000, 50_000)];
/// The number of members removed and added again for each size.
const CHANGES_PER_SIZE: u32 = 200;
/// The number of upstreams over which the full owner ranking is timed.
const RANKED_UPSTREAMS: u32 = 50;
/// The number of shards of one service.
const SHARDS_PER_SERVICE: u32 = 830;

/// Measures the time of one membership change: incremental in the directory, and with a full owner
/// ranking of every upstream.
pub(crate) fn measure() -> Value {
    let sizes: Vec<Value> =
        SIZES.iter().map(|(vms, upstreams)| measure_size(*vms, *upstreams)).collect();
    let points = |name: &str| -> Vec<(f64, f64)> {
        let value = |it: &Value, key: &str| it[key].as_f64().unwrap_or_default();
        sizes.iter().map(|it| (value(it, "vms"), value(it, name))).collect()
    };
    json!({
        "sizes": sizes,
        "change_microseconds": fit::report(&points("change_microseconds"), TARGET_VMS),
        "whole_rankings_microseconds":
            fit::report(&points("whole_rankings_microseconds"), TARGET_VMS),
    })
}

/// Measures the build time and the memory of a directory at the target size.
pub(crate) fn measure_directory() -> Value {
    let (vms, upstreams) = (TARGET_VMS as u32, TARGET_UPSTREAMS as u32);
    let bytes_before = machine::resident_bytes();
    let configuration = configuration(upstreams);
    let bytes_with_settings = machine::resident_bytes();
    let view = member_view(vms);
    let bytes_with_view = machine::resident_bytes();
    let mut resolver = DirectoryResolver::new();
    resolver.set_members(&view);
    let started = machine::processor_seconds();
    resolver.set_configuration(&configuration);
    let first_seconds = machine::processor_seconds() - started;
    let directory = resolver.directory();
    let bytes_with_directory = machine::resident_bytes();
    let started = machine::processor_seconds();
    resolver.set_configuration(&configuration);
    let again_seconds = machine::processor_seconds() - started;
    json!({
        "upstreams": directory.upstreams.by_index.len(),
        "vms": vms,
        "settings_bytes": bytes_with_settings - bytes_before,
        "members_bytes": bytes_with_view - bytes_with_settings,
        "directory_bytes": bytes_with_directory - bytes_with_view,
        "first_milliseconds": first_seconds * 1e3,
        "configuration_change_milliseconds": again_seconds * 1e3,
    })
}

fn measure_size(vms: u32, upstreams: u32) -> Value {
    let configuration = configuration(upstreams);
    let mut view = member_view(vms);
    let mut resolver = DirectoryResolver::new();
    resolver.set_configuration(&configuration);
    resolver.set_members(&view);
    let started = machine::processor_seconds();
    for number in 0..CHANGES_PER_SIZE {
        let address = address_of(number * 7);
        let member = view.members.remove(&address);
        resolver.set_members(&view);
        std::hint::black_box(resolver.directory());
        view.members.extend(member.map(|member| (address, member)));
        resolver.set_members(&view);
        std::hint::black_box(resolver.directory());
    }
    let change_microseconds =
        (machine::processor_seconds() - started) * 1e6 / f64::from(CHANGES_PER_SIZE * 2);
    let started = machine::processor_seconds();
    for number in 0..RANKED_UPSTREAMS {
        std::hint::black_box(owner_order(&format!("upstream-{number}"), "dc-00", &view));
    }
    let ranking_microseconds =
        (machine::processor_seconds() - started) * 1e6 / f64::from(RANKED_UPSTREAMS);
    json!({
        "vms": vms,
        "upstreams": upstreams,
        "change_microseconds": change_microseconds,
        "whole_rankings_microseconds": ranking_microseconds * f64::from(upstreams),
    })
}

fn member_view(vms: u32) -> MemberView {
    let members = (0..vms).map(|number| {
        let address = address_of(number);
        let member = Member {
            identity: VmIdentity { address, incarnation: 1 },
            data_centre: data_centre_of(number),
            caller_address: address,
            state: MemberState::Live,
            configuration_version: 1,
        };
        (address, member)
    });
    MemberView { members: members.collect(), ..MemberView::default() }
}

fn configuration(upstreams: u32) -> ActiveConfiguration {
    let data_centres = (0..TARGET_DATA_CENTRES as u32).map(|number| {
        (data_centre_of(number), DataCentreSettings { region: format!("region-{}", number % 6) })
    });
    let mut services = BTreeMap::new();
    let mut catalogues = BTreeMap::new();
    let service_size = SHARDS_PER_SERVICE * 3;
    for first in (0..upstreams).step_by(service_size as usize) {
        let name = format!("service-{first:05}");
        let members = first..upstreams.min(first + service_size);
        catalogues.insert(name.clone(), Arc::new(catalogue(members.clone())));
        services.insert(name, service_settings(members));
    }
    let settings = Settings {
        data_centres: data_centres.collect(),
        services,
        classes: BTreeMap::new(),
        routing: Default::default(),
        limits: Default::default(),
        addresses: Default::default(),
        membership: Default::default(),
        platform: Default::default(),
        submissions: Default::default(),
    };
    ActiveConfiguration { configuration_version: 1, settings: Arc::new(settings), catalogues }
}

fn service_settings(members: std::ops::Range<u32>) -> ServiceSettings {
    let upstreams = members.map(|number| {
        let settings =
            UpstreamSettings { data_centre: data_centre_of(number), address: address_of(number) };
        (format!("upstream-{number}"), settings)
    });
    ServiceSettings {
        slots_per_upstream: 5,
        connections_per_upstream: 40,
        new_connection_ms: 6,
        accepts_submissions: false,
        upstreams: upstreams.collect(),
    }
}

fn catalogue(members: std::ops::Range<u32>) -> Catalogue {
    let shards = members.clone().step_by(3).enumerate().map(|(shard, first)| {
        let replicas = (first..members.end.min(first + 3)).map(|it| format!("upstream-{it}"));
        (shard as u32, replicas.collect())
    });
    Catalogue { snapshots: BTreeMap::from([(1, shards.collect())]) }
}

fn data_centre_of(number: u32) -> String {
    format!("dc-{:02}", number % TARGET_DATA_CENTRES as u32)
}

fn address_of(number: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0A00_0000 + number), 7101))
}
