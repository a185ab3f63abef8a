//! Budgets that bound the extra load of hedges and retries over all queries of a VM.

use super::windows::RepeatWindows;
use crate::settings::RoutingSettings;

/// Token buckets for hedges and for retries; each first attempt adds tokens to both.
#[derive(Debug)]
pub struct Budgets {
    hedge_tokens_permille: u64,
    retry_tokens_permille: u64,
    overload_share_ppm: u64,
    /// The bounds on hedges and retries of each service.
    pub windows: RepeatWindows,
}

/// The price of one hedge or retry in thousandths of a token.
const PRICE_PERMILLE: u64 = 1_000;
/// The maximum of unused tokens, in thousandths: a burst of 100 hedges or retries.
const TOKENS_MAX_PERMILLE: u64 = 100 * PRICE_PERMILLE;
/// The share of overload among recent outcomes above which no hedges are sent, in millionths.
const OVERLOAD_SHARE_MAX_PPM: u64 = 50_000;
/// The window of the overload share: a new outcome weighs one part in this many.
const OVERLOAD_WINDOW: u64 = 256;

impl Budgets {
    /// Starts with a tenth of the largest burst, so that a new VM can retry a few failures.
    pub fn new() -> Self {
        Self {
            hedge_tokens_permille: TOKENS_MAX_PERMILLE / 10,
            retry_tokens_permille: TOKENS_MAX_PERMILLE / 10,
            overload_share_ppm: 0,
            windows: RepeatWindows::default(),
        }
    }

    /// Adds the tokens of `attempts` first attempts.
    pub fn add_tokens(&mut self, attempts: u64, settings: &RoutingSettings) {
        let refilled = |tokens: u64, permille: u32| {
            (tokens + attempts * u64::from(permille)).min(TOKENS_MAX_PERMILLE)
        };
        self.hedge_tokens_permille =
            refilled(self.hedge_tokens_permille, settings.hedge_budget_permille);
        self.retry_tokens_permille =
            refilled(self.retry_tokens_permille, settings.retry_budget_permille);
    }

    /// Takes the tokens of one hedge; refuses while recent outcomes show overload.
    pub fn take_hedge(&mut self) -> bool {
        if self.is_overloaded() {
            return false;
        }
        take(&mut self.hedge_tokens_permille)
    }

    /// Takes the tokens of one retry.
    pub fn take_retry(&mut self) -> bool {
        take(&mut self.retry_tokens_permille)
    }

    /// Returns the used share of the retry tokens, from 0 to 1.
    pub(crate) fn retries_used_share(&self) -> f64 {
        1.0 - self.retry_tokens_permille as f64 / TOKENS_MAX_PERMILLE as f64
    }

    /// Refunds the tokens of a retry that was not sent.
    pub fn refund_retry(&mut self) {
        self.retry_tokens_permille =
            (self.retry_tokens_permille + PRICE_PERMILLE).min(TOKENS_MAX_PERMILLE);
    }

    /// Records whether an outcome was caused by overload.
    pub fn record_outcome(&mut self, overloaded: bool) {
        let sample = if overloaded { 1_000_000 } else { 0 };
        self.overload_share_ppm =
            (self.overload_share_ppm * (OVERLOAD_WINDOW - 1) + sample) / OVERLOAD_WINDOW;
    }

    /// Tells whether recent outcomes show overload.
    pub fn is_overloaded(&self) -> bool {
        self.overload_share_ppm > OVERLOAD_SHARE_MAX_PPM
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
