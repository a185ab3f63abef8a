//! The users' deployments at their current sizes: services, upstreams and settings.

mod publish;
mod shapes;
mod standin;
#[cfg(test)]
mod tests;

pub use publish::{publish_bundle, publish_catalogue};
pub use shapes::{Deployment, ServiceShape};
pub use standin::{DeploymentOptions, DeploymentStandin};
