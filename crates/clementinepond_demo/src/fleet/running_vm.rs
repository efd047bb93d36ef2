//! One VM of a deployment.

use super::FleetError;
use clementinepond_daemon::{RunningDaemon, key_digest};
use clementinepond_settings::vm::VmSettings;
use clementinepond_types::{DataCentreId, VmId};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio_util::sync::CancellationToken;

/// Credential of the operators of every deployment that runs here.
pub const OPERATOR_CREDENTIAL: &str = "demo-operator-credential";

/// One VM of a deployment.
#[derive(Debug)]
pub struct RunningVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    daemon: RunningDaemon,
    stopping: CancellationToken,
}

impl RunningVm {
    /// Starts a VM on free ports.
    ///
    /// # Errors
    ///
    /// Fails when the settings are wrong or the VM does not start.
    pub async fn start(
        vm: &VmId,
        data_centre: &DataCentreId,
        platform: SocketAddr,
        extra: Option<&Value>,
    ) -> Result<Self, FleetError> {
        let settings = settings(vm, data_centre, platform, extra)?;
        let stopping = CancellationToken::new();
        let daemon = RunningDaemon::start(settings, stopping.clone()).await?;
        Ok(Self {
            vm: vm.clone(),
            data_centre: data_centre.clone(),
            caller: daemon.caller_address(),
            admin: daemon.admin_address(),
            daemon,
            stopping,
        })
    }

    /// Stops the VM gracefully and waits for its end.
    pub async fn stop(self) {
        self.stopping.cancel();
        self.daemon.wait().await;
    }
}

fn settings(
    vm: &VmId,
    data_centre: &DataCentreId,
    platform: SocketAddr,
    extra: Option<&Value>,
) -> Result<VmSettings, FleetError> {
    let mut value = json!({
        "vm": vm,
        "data_centre": data_centre,
        "caller": {"listen": "127.0.0.1:0"},
        "admin": {
            "listen": "127.0.0.1:0",
            "credential_digest": key_digest(OPERATOR_CREDENTIAL),
        },
        "peer": {"listen": "127.0.0.1:0", "secret": "demo-secret-of-all-vms"},
        "platform": {"address": platform},
        "endpoint": {"report_interval": "100ms"},
        "membership": {
            "heartbeat_period": "250ms",
            "suspicion": "2s",
            "validity": "2s",
            "settle": "2s",
            "list_lag": "1s",
            "loan_span": "1500ms",
            "balance_period": "1s",
        },
        "limit": {"lot_span": "1s", "loan_interval": "300ms"},
    });
    if let Some(extra) = extra {
        merge(&mut value, extra);
    }
    Ok(VmSettings::read_text(vm.as_str(), &value.to_string())?)
}

/// Replaces members of an object, level by level.
fn merge(value: &mut Value, extra: &Value) {
    match (value, extra) {
        (Value::Object(members), Value::Object(extras)) => {
            for (name, extra) in extras {
                merge(members.entry(name).or_insert(Value::Null), extra);
            }
        }
        (value, extra) => *value = extra.clone(),
    }
}
