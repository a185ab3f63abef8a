//! Budgets that bound the extra load of hedges and retries over all queries of a VM.

use super::windows::RepeatWindows;
use crate::settings::RoutingSettings;

/// Tokens for hedges and retries, earned by first attempts.
#[derive(Debug)]
pub struct Budgets {
    hedge_tokens_permille: u64,
    retry_tokens_permille: u64,
    shed_share_ppm: u64,
    /// The bounds on repeats that hold for each service by rule.
    pub windows: RepeatWindows,
}

/// The price of one hedge or retry in thousandths of a first attempt.
const PRICE_PERMILLE: u64 = 1_000;
/// The most unused tokens kept, in thousandths: a burst of 100 hedges or retries.
const TOKENS_MAX_PERMILLE: u64 = 100 * PRICE_PERMILLE;
/// The share of recent outcomes caused by overload above which nothing is hedged, in millionths.
const OVERLOAD_SHED_SHARE_PPM: u64 = 50_000;
/// The number of outcomes over which the share of sheds decays.
const SHED_WINDOW: u64 = 256;

impl Budgets {
    /// Starts with a tenth of the largest burst, so that a fresh VM can mend a few faults.
    pub fn new() -> Self {
        Self {
            hedge_tokens_permille: TOKENS_MAX_PERMILLE / 10,
            retry_tokens_permille: TOKENS_MAX_PERMILLE / 10,
            shed_share_ppm: 0,
            windows: RepeatWindows::default(),
        }
    }

    /// Earns tokens for `attempts` first attempts.
    pub fn earn(&mut self, attempts: u64, settings: &RoutingSettings) {
        let earn = |tokens: u64, permille: u32| {
            (tokens + attempts * u64::from(permille)).min(TOKENS_MAX_PERMILLE)
        };
        self.hedge_tokens_permille =
            earn(self.hedge_tokens_permille, settings.hedge_budget_permille);
        self.retry_tokens_permille =
            earn(self.retry_tokens_permille, settings.retry_budget_permille);
    }

    /// Takes the tokens of one hedge; refuses while the upstreams shed.
    pub fn take_hedge(&mut self) -> bool {
        if self.overloaded() {
            return false;
        }
        take(&mut self.hedge_tokens_permille)
    }

    /// Takes the tokens of one retry.
    pub fn take_retry(&mut self) -> bool {
        take(&mut self.retry_tokens_permille)
    }

    /// Returns how far the tokens of retries are used up, from 0 to 1.
    pub(crate) fn retries_used_share(&self) -> f64 {
        1.0 - self.retry_tokens_permille as f64 / TOKENS_MAX_PERMILLE as f64
    }

    /// Gives back the tokens of a retry that sent nothing to an upstream.
    pub fn refund_retry(&mut self) {
        self.retry_tokens_permille =
            (self.retry_tokens_permille + PRICE_PERMILLE).min(TOKENS_MAX_PERMILLE);
    }

    /// Records whether an outcome was caused by overload.
    pub fn observe(&mut self, overloaded: bool) {
        let sample = if overloaded { 1_000_000 } else { 0 };
        self.shed_share_ppm = (self.shed_share_ppm * (SHED_WINDOW - 1) + sample) / SHED_WINDOW;
    }

    /// Tells whether recent outcomes show overload.
    pub fn overloaded(&self) -> bool {
        self.shed_share_ppm > OVERLOAD_SHED_SHARE_PPM
    }
}

impl Default for Budgets {
    fn default() -> Self {
        Self::new()
    }
}

fn take(tokens_permille: &mut u64) -> bool {
    match tokens_permille.checked_sub(PRICE_PERMILLE) {
        Some(rest) => {
            *tokens_permille = rest;
            true
        }
        None => false,
    }
}
