//! Runs an [`ApplyMachine`] against the platform.

use rand::RngCore;

use super::apply::{ApplyInput, ApplyMachine, ApplyOutcome, ApplyOutput, ApplyRequest};
use super::bundle::Bundle;
use super::store::configuration_object;
use crate::platform::{ObjectVersion, Platform, PlatformError, Precondition};

/// Applies a bundle by a conditional update and resolves a lost answer by reading the object back.
pub async fn apply(platform: &dyn Platform, request: ApplyRequest) -> ApplyOutcome {
    let mut machine = ApplyMachine::open(request, rand::rng().next_u64());
    let mut output = machine.begin();
    loop {
        let input = match output {
            ApplyOutput::Read => ApplyInput::Read(platform.read(&configuration_object()).await),
            ApplyOutput::Update { precondition, bundle } => {
                ApplyInput::Updated(update(platform, precondition, &bundle).await)
            }
            ApplyOutput::Pause(pause) => {
                tokio::time::sleep(pause).await;
                ApplyInput::Resumed
            }
            ApplyOutput::End(outcome) => return outcome,
        };
        output = machine.on_input(input);
    }
}

async fn update(
    platform: &dyn Platform,
    precondition: Precondition,
    bundle: &Bundle,
) -> Result<ObjectVersion, PlatformError> {
    let value = serde_json::to_value(bundle)
        .map_err(|error| PlatformError::Rejected { detail: error.to_string() })?;
    platform.update(&configuration_object(), precondition, value).await
}
