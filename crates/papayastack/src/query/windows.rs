//! Bounds on the repeats (hedges and retries) of each service as a share of its requests, over a
//! sliding window.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use papayastack_macros::value;

use crate::ids::ServiceName;

/// The number of buckets into which a window is divided.
const BUCKETS_PER_WINDOW: u32 = 20;
/// The usable share of the allowance; the rest covers differences between the counts of the VMs.
const USABLE_SHARE: f64 = 0.85;
/// The share of the usable allowance up to which hedges are sent; the rest is kept for retries.
const HEDGE_SHARE: f64 = 0.6;

/// The bound on the repeats that the whole system may send to a service.
#[value]
#[derive(Copy)]
pub struct RepeatWindowSettings {
    /// The length of the window.
    pub window: Duration,
    /// Repeats allowed per thousand requests in the window.
    pub repeats_permille: u32,
    /// Repeats allowed in addition, shared by all VMs.
    pub repeats_extra: u32,
}

/// Counts the requests and repeats of each service and decides whether another repeat may be sent.
///
/// The bound holds for the whole system without communication between the VMs: each VM uses the
/// share of its own requests and an equal part of the additional repeats.
#[derive(Debug, Default)]
pub struct RepeatWindows {
    settings: Option<RepeatWindowSettings>,
    vms: u32,
    services: BTreeMap<ServiceName, Window>,
}

impl RepeatWindows {
    /// Sets the bound and the number of VMs that share it.
    pub fn configure(&mut self, settings: RepeatWindowSettings, vms: u32) {
        self.settings = Some(settings);
        self.vms = vms.max(1);
    }

    /// Counts one request for a service.
    pub fn count_request(&mut self, service: &ServiceName, now: Instant) {
        if let Some(settings) = self.settings {
            self.window(service).bucket(now, settings.window).requests += 1;
        }
    }

    /// Counts one retry and returns `true` if the bound allows it, or if there is no bound.
    pub fn take_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.take(service, 1.0, now)
    }

    /// Counts one hedge and returns `true` if the hedges' share of the bound allows it, or if there
    /// is no bound.
    pub fn take_hedge(&mut self, service: &ServiceName, now: Instant) -> bool {
        self.take(service, HEDGE_SHARE, now)
    }

    /// Returns the used share of a service's bound, from 0 to 1.
    pub fn used_share(&mut self, service: &ServiceName, now: Instant) -> f64 {
        let Some((allowed, window)) = self.allowance(service, now) else { return 0.0 };
        if allowed > 0.0 { (window.repeats() / allowed).min(1.0) } else { 1.0 }
    }

    fn take(&mut self, service: &ServiceName, share: f64, now: Instant) -> bool {
        let Some((allowed, window)) = self.allowance(service, now) else { return true };
        if window.repeats() + 1.0 > allowed * share {
            return false;
        }
        if let Some(bucket) = window.buckets.back_mut() {
            bucket.repeats += 1;
        }
        true
    }

    /// Returns the repeats that this VM may send to a service, and the service's window at `now`.
    fn allowance(&mut self, service: &ServiceName, now: Instant) -> Option<(f64, &mut Window)> {
        let settings = self.settings?;
        let vms = f64::from(self.vms);
        let window = self.window(service);
        window.bucket(now, settings.window);
        let share = f64::from(settings.repeats_permille) / 1_000.0;
        let allowance = window.requests() * share + f64::from(settings.repeats_extra) / vms;
        Some((allowance * USABLE_SHARE, window))
    }

    /// Uncounts the newest repeat of a service because it was not sent.
    pub fn refund(&mut self, service: &ServiceName) {
        let bucket = self.services.get_mut(service).and_then(|window| window.buckets.back_mut());
        if let Some(bucket) = bucket {
            bucket.repeats = bucket.repeats.saturating_sub(1);
        }
    }

    /// Drops the windows of services for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| keep(service));
    }

    fn window(&mut self, service: &ServiceName) -> &mut Window {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Window::default());
        }
        self.services.get_mut(service).expect("the window was inserted above")
    }
}

/// The requests and repeats of one service within the window, oldest bucket first.
#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    started: Instant,
    requests: u32,
    repeats: u32,
}

impl Window {
    /// Drops expired buckets and returns the bucket of `now`.
    fn bucket(&mut self, now: Instant, window: Duration) -> &mut Bucket {
        let length = window / BUCKETS_PER_WINDOW;
        // A bucket expires only when its last moment has left the window.
        while self.buckets.front().is_some_and(|oldest| now > oldest.started + window + length) {
            self.buckets.pop_front();
        }
        let current = self.buckets.back().is_some_and(|newest| now < newest.started + length);
        if !current {
            self.buckets.push_back(Bucket { started: now, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed above")
    }

    fn requests(&self) -> f64 {
        self.buckets.iter().map(|bucket| f64::from(bucket.requests)).sum()
    }

    fn repeats(&self) -> f64 {
        self.buckets.iter().map(|bucket| f64::from(bucket.repeats)).sum()
    }
}
