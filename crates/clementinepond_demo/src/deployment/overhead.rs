//! What a VM adds to a call of an engine.

use crate::fleet::{FleetError, FleetPlan, RunningFleet};
use clementinepond_daemon::key_digest;
use clementinepond_settings::fleet::FleetConfiguration;
use clementinepond_standin::engine::{EngineOptions, StartModel};
use clementinepond_standin::load::{
    LengthRange, LoadCaller, LoadForm, LoadOptions, LoadReport, LoadTarget, LoadWorkload, run_load,
};
use clementinepond_types::{MemorySize, TimeSpan};
use serde::Serialize;
use serde_json::json;
use std::net::SocketAddr;
use tokio_util::sync::CancellationToken;

const KEY: &str = "cp-overhead";
const MODEL: &str = "model-1";
/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 16;

/// Load on an engine directly and through a VM, in one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OverheadReport {
    /// Requests a second that were sent.
    pub rate: f64,
    /// Answers a second and latencies of direct calls.
    pub direct: LoadReport,
    /// The same through a VM.
    pub through_vm: LoadReport,
    /// Median of a whole answer through the VM over that of a direct call.
    pub whole_ratio: f64,
    /// Answers through the VM over direct answers.
    pub answered_ratio: f64,
}

/// Sends the same load to an engine directly and through a VM.
///
/// # Errors
///
/// Fails when the deployment does not start.
pub async fn run_overhead(
    rate: f64,
    duration: TimeSpan,
    seed: u64,
) -> Result<OverheadReport, FleetError> {
    let fleet = RunningFleet::start(plan()?).await?;
    let direct = send(fleet.engines[0].address(), rate, duration, seed).await;
    let through_vm = send(fleet.vms[0].caller, rate, duration, seed).await;
    fleet.stop().await;
    let median = |report: &LoadReport| report.whole.p50.micros().max(1) as f64;
    Ok(OverheadReport {
        rate,
        whole_ratio: median(&through_vm) / median(&direct),
        answered_ratio: through_vm.answered as f64 / direct.answered.max(1) as f64,
        direct,
        through_vm,
    })
}

fn plan() -> Result<FleetPlan, FleetError> {
    let fault = |error: clementinepond_types::NameError| FleetError::Call {
        problem: error.to_string().into(),
    };
    let configuration = FleetConfiguration::read(json!({
        "accounts": {"overhead": {"rate": "100000000tok/s", "burst": "1000000000tok"}},
        "keys": {key_digest(KEY).to_string(): {"account": "overhead"}},
        "models": {MODEL: {"version": "1", "memory_mib": 1024}},
    }))?;
    let engine = EngineOptions {
        batch_size: 1_000,
        models: vec![StartModel {
            model: MODEL.parse().map_err(fault)?,
            version: "1".into(),
            memory_mib: MemorySize::new(1_024),
        }],
        ..EngineOptions::default()
    };
    let data_centre: clementinepond_types::DataCentreId = "dc-1".parse().map_err(fault)?;
    Ok(FleetPlan {
        vms: [(data_centre.clone(), 1)].into(),
        engines: vec![(data_centre, engine)],
        configuration,
        ..FleetPlan::default()
    })
}

async fn send(target: SocketAddr, rate: f64, duration: TimeSpan, seed: u64) -> LoadReport {
    let length = LengthRange {
        least: ANSWER_TOKENS,
        most: ANSWER_TOKENS,
    };
    let workload = |stream| LoadWorkload {
        form: LoadForm::Completion,
        weight: 1,
        prompt_bytes: LengthRange {
            least: 200,
            most: 200,
        },
        max_tokens: length,
        stream,
        keyed: false,
    };
    let options = LoadOptions {
        targets: vec![target],
        callers: vec![LoadCaller {
            name: "overhead".into(),
            key: KEY.into(),
            weight: 1,
        }],
        models: vec![LoadTarget {
            model: MODEL.into(),
            versions: vec!["1".into()],
            weight: 1,
        }],
        workloads: vec![workload(false), workload(true)],
        rate,
        duration,
        seed,
        ..LoadOptions::default()
    };
    run_load(options, CancellationToken::new()).await
}
