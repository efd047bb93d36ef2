//! Conditional updates of the configuration.

use crate::platform::{PlatformClient, PlatformError};
use clementinepond_settings::FaultList;
use clementinepond_settings::fleet::{ChangeError, ConfigurationChange, FleetConfiguration};
use clementinepond_types::ObjectVersion;
use derive_more::{Display, Error};

/// Kind of the configuration object.
const CONFIGURATION_KIND: &str = "configuration";
/// Name of the configuration object.
const CONFIGURATION_NAME: &str = "fleet";

/// Reason for which a change was not stored.
#[derive(Debug, Display, Error)]
pub(super) enum StoreError {
    /// The change itself is refused.
    #[display("{_0}")]
    Change(ChangeError),
    /// The stored configuration does not fit this version of the system.
    #[display("the stored configuration is not valid: {_0}")]
    Stored(#[error(not(source))] FaultList),
    /// The configuration is not at the version that the operator saw.
    #[display("the configuration is at version {found}, not {expected}; read it and decide again")]
    Version {
        /// Version that the operator named.
        expected: ObjectVersion,
        /// Version that the platform holds.
        found: ObjectVersion,
    },
    /// The platform gave no answer, and reading again did not tell either.
    #[display(
        "the platform does not answer, so the change may or may not have been made; read the configuration before you send it again"
    )]
    Unknown,
    /// The platform refuses or cannot be reached and nothing was changed.
    #[display("{_0}; nothing was changed")]
    Platform(PlatformError),
}

/// The configuration as the platform holds it.
#[derive(Debug, Clone)]
pub(super) struct StoredConfiguration {
    pub(super) version: ObjectVersion,
    pub(super) configuration: FleetConfiguration,
}

/// Reads the configuration; an absent one is empty at version 0.
pub(super) async fn read(platform: &PlatformClient) -> Result<StoredConfiguration, StoreError> {
    let object = platform
        .read(CONFIGURATION_KIND, CONFIGURATION_NAME)
        .await
        .map_err(StoreError::Platform)?;
    match object {
        None => Ok(StoredConfiguration {
            version: ObjectVersion::new(0),
            configuration: FleetConfiguration::default(),
        }),
        Some(object) => Ok(StoredConfiguration {
            version: object.version,
            configuration: FleetConfiguration::read(object.value).map_err(StoreError::Stored)?,
        }),
    }
}

/// Makes a change on the version that the operator saw.
pub(super) async fn change(
    platform: &PlatformClient,
    expected: Option<ObjectVersion>,
    change: ConfigurationChange,
) -> Result<StoredConfiguration, StoreError> {
    let current = read(platform).await?;
    if let Some(expected) = expected
        && expected != current.version
    {
        return Err(StoreError::Version {
            expected,
            found: current.version,
        });
    }
    let configuration = current
        .configuration
        .with_change(change)
        .map_err(StoreError::Change)?;
    store(platform, current.version, configuration).await
}

async fn store(
    platform: &PlatformClient,
    base: ObjectVersion,
    configuration: FleetConfiguration,
) -> Result<StoredConfiguration, StoreError> {
    let stored = platform
        .store(CONFIGURATION_KIND, CONFIGURATION_NAME, base, &configuration)
        .await;
    match stored {
        Ok(version) => Ok(StoredConfiguration {
            version,
            configuration,
        }),
        Err(PlatformError::Conflict { .. }) => Err(conflict(platform, base).await),
        Err(PlatformError::Failed(failure)) => find_own_update(platform, base, configuration)
            .await
            .ok_or(match failure {
                crate::http::HttpFailure::NotSent => {
                    StoreError::Platform(PlatformError::Failed(failure))
                }
                _ => StoreError::Unknown,
            }),
        Err(error) => Err(StoreError::Platform(error)),
    }
}

async fn conflict(platform: &PlatformClient, expected: ObjectVersion) -> StoreError {
    match read(platform).await {
        Ok(current) => StoreError::Version {
            expected,
            found: current.version,
        },
        Err(error) => error,
    }
}

/// Finds out whether an update without an answer took effect.
async fn find_own_update(
    platform: &PlatformClient,
    base: ObjectVersion,
    configuration: FleetConfiguration,
) -> Option<StoredConfiguration> {
    let current = read(platform).await.ok()?;
    let is_own = current.version > base && current.configuration == configuration;
    is_own.then_some(current)
}
