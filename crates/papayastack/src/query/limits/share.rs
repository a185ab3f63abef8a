//! Division of an upstream's limit among the VMs, by their demand and the urgency of their requests.

use crate::settings::QueryClass;

/// The time over which a VM's demand is averaged, in seconds. The fewer requests a VM gets in it, the
/// less the demand says of the next ones.
const DEMAND_AVERAGE_S: f64 = 2.0;
/// The number of classes.
const CLASSES: usize = QueryClass::BY_PRIORITY.len();

/// A rate for each class of requests, in requests per second, most urgent class first.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ClassRates(pub(crate) [f64; CLASSES]);

impl ClassRates {
    /// Returns the sum over all classes.
    pub(crate) fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Returns the sum over the classes that are more urgent than `class`.
    pub(crate) fn more_urgent_than(&self, class: QueryClass) -> f64 {
        self.0[..rank(class)].iter().sum()
    }
}

/// Returns the position of a class in [`ClassRates`].
pub(crate) fn rank(class: QueryClass) -> usize {
    QueryClass::BY_PRIORITY.iter().position(|other| *other == class).unwrap_or(CLASSES - 1)
}

/// The part of a limit that one VM may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Share {
    pub(crate) rates: ClassRates,
    /// The expected requests of the VM per second.
    pub(crate) demand: f64,
}

/// Returns the part of `per_second` that a VM with the demand `own` may use.
///
/// `peers` holds the demand of the other VMs that reported it, out of `vms` in total. Each VM that
/// did not report keeps an equal share, since it may be sending. The rest is divided by demand, the
/// more urgent classes first; where VMs get few requests, more of it is divided equally. If all VMs
/// know the same reports, their shares add up to the limit.
pub(crate) fn own_share(
    per_second: f64,
    own: ClassRates,
    peers: impl Iterator<Item = ClassRates>,
    vms: u32,
) -> Share {
    let mut total = own;
    let mut reported = 1_u32;
    for peer in peers {
        reported += 1;
        total.0.iter_mut().zip(peer.0).for_each(|(sum, rate)| *sum += rate);
    }
    let vms = f64::from(vms.max(reported));
    let reported = f64::from(reported);
    let mean = total.total() / reported;
    let expected_requests = mean * DEMAND_AVERAGE_S;
    let confidence = expected_requests / (expected_requests + 1.0);
    let divided = per_second * reported / vms;
    let equal_part = divided * (1.0 - confidence) / reported;

    let mut left = divided * confidence;
    let mut rates = ClassRates::default();
    for (class, rate) in total.0.iter().enumerate() {
        let granted = left.min(*rate);
        if *rate > 0.0 {
            rates.0[class] = granted * own.0[class] / rate;
        }
        left -= granted;
    }
    let weight = if mean > 0.0 { own.total() / total.total() } else { 1.0 / reported };
    rates.0[CLASSES - 1] += equal_part + left * weight;
    Share { rates, demand: own.total() * confidence + mean * (1.0 - confidence) }
}
