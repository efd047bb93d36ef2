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

/// Reason why the configuration was not read or changed.
#[derive(Debug, Display, Error)]
pub(super) enum StoreError {
    /// The change is not valid for the current configuration.
    #[display("{_0}")]
    Change(ChangeError),
    /// The stored configuration is not valid for this version of the daemon.
    #[display("the stored configuration is not valid: {_0}")]
    Stored(#[error(not(source))] FaultList),
    /// The configuration has a version other than the change is based on.
    #[display(
        "the configuration has version {found}, expected {expected}; read it and check the change again"
    )]
    Version {
        /// Version that the change is based on.
        expected: ObjectVersion,
        /// Version that the platform stores.
        found: ObjectVersion,
    },
    /// The platform did not answer, and a read did not show the change.
    #[display(
        "the platform did not answer the update, so the change may have been made; read the configuration before you send the change again"
    )]
    Unknown,
    /// The platform refused the call or could not be reached.
    #[display("{_0}; nothing was changed")]
    Platform(PlatformError),
}

/// Configuration stored on the platform.
#[derive(Debug, Clone)]
pub(super) struct StoredConfiguration {
    pub(super) version: ObjectVersion,
    pub(super) configuration: FleetConfiguration,
}

/// Reads the configuration; a missing one is empty and has version 0.
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

/// Applies a change if the configuration has the expected version, or any version if none is given.
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

/// Returns the stored configuration if an update without an answer took effect.
async fn find_own_update(
    platform: &PlatformClient,
    base: ObjectVersion,
    configuration: FleetConfiguration,
) -> Option<StoredConfiguration> {
    let current = read(platform).await.ok()?;
    let is_own = current.version > base && current.configuration == configuration;
    is_own.then_some(current)
}
