//! Sizes and workloads of the users' deployments.

use crate::fleet::{FleetError, FleetPlan};
use clementinepond_daemon::key_digest;
use clementinepond_settings::fleet::FleetConfiguration;
use clementinepond_standin::engine::{EngineOptions, StartAdapter, StartModel};
use clementinepond_standin::load::{
    AnswerLength, LengthRange, LoadCaller, LoadForm, LoadOptions, LoadTarget, LoadWorkload,
};
use clementinepond_standin::service::ServiceOptions;
use clementinepond_types::{EndpointId, MemorySize, NameError, TimeSpan};
use derive_more::{Display, Error, FromStr};
use serde_json::{Value, json};

/// Data centres of each deployment.
const DATA_CENTRES: [&str; 3] = ["dc-1", "dc-2", "dc-3"];
/// Model runners of each deployment.
const ENGINE_COUNT: usize = 9;
/// Copies of each model at the start.
const COPIES: usize = 3;
/// VMs in each data centre.
const VMS_PER_DATA_CENTRE: usize = 2;
/// Memory of one copy of a model.
const MODEL_MEMORY: MemorySize = MemorySize::new(8 * 1024);
/// Memory of one copy of an adapter.
const ADAPTER_MEMORY: MemorySize = MemorySize::new(64);
/// Seed of answer lengths.
const ENGINE_SEED: u64 = 1;
/// Shortest answer, in tokens.
const SHORTEST_ANSWER: u32 = 8;
/// Longest answer, in tokens.
const LONGEST_ANSWER: u32 = 48;
/// Time of one token.
const TOKEN_TIME: TimeSpan = TimeSpan::from_millis(15);
/// Time to read one prompt token.
const PREFILL_TIME: TimeSpan = TimeSpan::from_micros(40);

/// One of the users' deployments.
#[derive(Debug, Display, FromStr, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Deployment {
    /// Rebate reviews in Kyushu.
    Mizuhara,
    /// Classroom screens in southern Iceland.
    Skjabord,
}

/// Reason for which the shape cannot be made; a fault of the program.
#[derive(Debug, Display, Error)]
#[display("{_0}; report this as a fault")]
pub(super) struct ShapeError(#[error(not(source))] NameError);

impl Deployment {
    const fn model_count(self) -> usize {
        match self {
            Self::Mizuhara => 15,
            Self::Skjabord => 17,
        }
    }

    const fn adapter_count(self) -> usize {
        match self {
            Self::Mizuhara => 40,
            Self::Skjabord => 55,
        }
    }

    /// Accounts with their share of the requests; a few are large.
    const fn accounts(self) -> [(&'static str, u32); 5] {
        match self {
            Self::Mizuhara => [
                ("claim-reviews", 5),
                ("cooperatives", 4),
                ("field-queries", 2),
                ("deferred-reviews", 1),
                ("clerks", 1),
            ],
            Self::Skjabord => [
                ("selfoss", 5),
                ("hella", 4),
                ("vik", 2),
                ("hvolsvollur", 1),
                ("summaries", 1),
            ],
        }
    }

    /// Returns the deployment on loopback.
    ///
    /// # Errors
    ///
    /// Fails when the shape itself is faulty.
    pub fn plan(self) -> Result<FleetPlan, FleetError> {
        let shape = || -> Result<FleetPlan, NameError> {
            let mut plan = FleetPlan::default();
            for data_centre in DATA_CENTRES {
                plan.vms.insert(data_centre.parse()?, VMS_PER_DATA_CENTRE);
            }
            for index in 0..ENGINE_COUNT {
                let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()].parse()?;
                plan.engines.push((data_centre, self.engine(index)?));
            }
            for (index, data_centre) in DATA_CENTRES.iter().enumerate() {
                let options = ServiceOptions {
                    endpoint: format!("filing-{}", index + 1).parse()?,
                    ..ServiceOptions::default()
                };
                plan.services
                    .push((data_centre.parse()?, "filing".parse()?, options));
            }
            Ok(plan)
        };
        let mut plan = shape().map_err(|error| FleetError::Call {
            problem: ShapeError(error).to_string().into(),
        })?;
        plan.configuration = FleetConfiguration::read(self.configuration())?;
        Ok(plan)
    }

    fn engine(self, index: usize) -> Result<EngineOptions, NameError> {
        let endpoint: EndpointId = format!("engine-{}", index + 1).parse()?;
        let held: Vec<usize> = (0..self.model_count())
            .filter(|model| (0..COPIES).any(|copy| (model + copy * 3) % ENGINE_COUNT == index))
            .collect();
        let mut models = Vec::new();
        for model in &held {
            models.push(StartModel {
                model: model_name(*model).parse()?,
                version: "1".into(),
                memory_mib: MODEL_MEMORY,
            });
        }
        let mut adapters = Vec::new();
        for adapter in 0..self.adapter_count() {
            let model = adapter % self.model_count();
            if held.contains(&model) {
                adapters.push(StartAdapter {
                    adapter: adapter_name(adapter).parse()?,
                    model: model_name(model).parse()?,
                    memory_mib: ADAPTER_MEMORY,
                });
            }
        }
        Ok(EngineOptions {
            endpoint,
            seed: ENGINE_SEED,
            token_time: TOKEN_TIME,
            prefill_time: PREFILL_TIME,
            shortest_answer: SHORTEST_ANSWER,
            longest_answer: LONGEST_ANSWER,
            load_time: TimeSpan::from_secs(1),
            adapter_load_time: TimeSpan::from_millis(10),
            models,
            adapters,
            ..EngineOptions::default()
        })
    }

    fn configuration(self) -> Value {
        let mut accounts = json!({});
        let mut keys = json!({});
        for (name, weight) in self.accounts() {
            accounts[name] = json!({
                "rate": format!("{}tok/s", weight * 16_000),
                "burst": format!("{}tok", weight * 60_000),
            });
            keys[key_digest(&key(name)).to_string()] = json!({"account": name});
        }
        let mut models = json!({});
        for model in 0..self.model_count() {
            models[model_name(model)] = json!({"version": "1", "memory_mib": MODEL_MEMORY});
        }
        let mut adapters = json!({});
        for adapter in 0..self.adapter_count() {
            adapters[adapter_name(adapter)] = json!({
                "model": model_name(adapter % self.model_count()),
                "memory_mib": ADAPTER_MEMORY,
            });
        }
        json!({"accounts": accounts, "keys": keys, "models": models, "adapters": adapters})
    }

    /// Returns the load of the deployment's callers.
    #[must_use]
    pub fn load(self, rate: f64, duration: TimeSpan, seed: u64) -> LoadOptions {
        let models = (0..self.model_count()).map(|model| LoadTarget {
            model: model_name(model).into(),
            versions: vec!["1".into()],
            // A few models take most of the requests.
            weight: u32::try_from(40 / (model + 1)).unwrap_or(1).max(1),
        });
        LoadOptions {
            callers: self
                .accounts()
                .iter()
                .map(|(name, weight)| LoadCaller {
                    name: (*name).into(),
                    key: key(name).into(),
                    weight: *weight,
                })
                .collect(),
            models: models.collect(),
            workloads: workloads(),
            rate,
            duration,
            seed,
            answer_length: Some(AnswerLength {
                seed: ENGINE_SEED,
                shortest: SHORTEST_ANSWER,
                longest: LONGEST_ANSWER,
            }),
            ..LoadOptions::default()
        }
    }
}

/// Long reviews, short questions and filings that may run only once.
fn workloads() -> Vec<LoadWorkload> {
    let review = LoadWorkload {
        form: LoadForm::Chat,
        weight: 3,
        prompt_bytes: LengthRange {
            least: 2_000,
            most: 8_000,
        },
        max_tokens: LengthRange {
            least: 32,
            most: 256,
        },
        stream: true,
        keyed: false,
    };
    let question = LoadWorkload {
        form: LoadForm::Completion,
        weight: 5,
        prompt_bytes: LengthRange {
            least: 40,
            most: 400,
        },
        max_tokens: LengthRange { least: 8, most: 64 },
        stream: false,
        keyed: false,
    };
    let filing = LoadWorkload {
        form: LoadForm::Service {
            path: "/services/filing/claims".into(),
        },
        weight: 1,
        prompt_bytes: LengthRange {
            least: 100,
            most: 400,
        },
        max_tokens: LengthRange { least: 1, most: 1 },
        stream: false,
        keyed: true,
    };
    vec![review, question, filing]
}

fn model_name(model: usize) -> String {
    format!("model-{}", model + 1)
}

fn adapter_name(adapter: usize) -> String {
    format!("adapter-{}", adapter + 1)
}

fn key(account: &str) -> String {
    format!("cp-demo-{account}")
}
