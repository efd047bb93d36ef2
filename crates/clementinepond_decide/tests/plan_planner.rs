//! Tests of the planner as a pure function.

#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "helpers of a test fail by panicking"
)]

use clementinepond_decide::plan::planner::{
    AdapterNeed, CopyState, EndpointView, HoldingView, ModelNeed, MoveBudget, PlanOutcome,
    PlanProblem, PlannedMove, PlannerTuning, UnplacedReason, plan,
};
use clementinepond_decide::plan::{
    EndpointAction, ExceptionRule, HoldingKey, ModelVersion, PlacementException,
};
use clementinepond_types::{EndpointId, MemorySize, ModelId, PriorityClass};
use std::collections::BTreeMap;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// Builder of a planner problem; every endpoint has one accelerator.
struct Fleet {
    problem: PlanProblem,
}

impl Fleet {
    fn new() -> Self {
        Self {
            problem: PlanProblem {
                endpoints: BTreeMap::new(),
                models: BTreeMap::new(),
                adapters: BTreeMap::new(),
                exceptions: Vec::new(),
                budget: MoveBudget {
                    loads: 4,
                    adapters: 4,
                },
                tuning: PlannerTuning::default(),
                arriving_counts_as_ready: false,
                last_copy_unprotected: false,
            },
        }
    }

    fn endpoint(mut self, id: &str, memory: u64, held: &[(&str, u64)]) -> Self {
        let holdings: Vec<HoldingView> = held
            .iter()
            .map(|(model, memory)| HoldingView {
                model: name(model),
                version: ModelVersion::from("v1"),
                state: CopyState::Ready,
                memory: MemorySize::new(*memory),
            })
            .collect();
        let view = EndpointView {
            memory: MemorySize::new(memory),
            possible: holdings.iter().map(|holding| holding.memory).sum(),
            accelerators: 1,
            accepting: true,
            holdings,
            adapters: BTreeMap::new(),
        };
        self.problem.endpoints.insert(name(id), view);
        self
    }

    fn model(mut self, id: &str, memory: u64, load: f64) -> Self {
        let need = ModelNeed {
            version: ModelVersion::from("v1"),
            memory: MemorySize::new(memory),
            priority: PriorityClass::new(0),
            replica_limit: 1_000.0,
            min_copies: 1,
            rendezvous_rank: 0,
            load,
            recent_peak: load,
        };
        self.problem.models.insert(name(id), need);
        self
    }

    fn version(mut self, id: &str, version: &str) -> Self {
        let model: ModelId = name(id);
        self.problem.models.get_mut(&model).unwrap().version = ModelVersion::from(version);
        self
    }

    fn except(mut self, model: &str, rule: ExceptionRule) -> Self {
        self.problem.exceptions.push(PlacementException {
            model: name(model),
            rule,
            reason: "licence bound to one rack".into(),
        });
        self
    }

    fn plan(&self) -> PlanOutcome {
        plan(&self.problem)
    }

    /// Applies the moves of a plan at once, so that every load is ready; returns
    /// the moves.
    fn apply_plan(&mut self) -> Vec<String> {
        let outcome = self.plan();
        let lines = describe(&outcome.moves);
        for planned in outcome.moves {
            let view = self.problem.endpoints.get_mut(&planned.endpoint).unwrap();
            if let Some(HoldingKey::Model(model, version)) = planned.action.unloaded() {
                view.holdings
                    .retain(|held| held.model != model || held.version != version);
            }
            if let Some((HoldingKey::Model(model, version), memory)) = planned.action.loaded() {
                view.holdings.push(HoldingView {
                    model,
                    version,
                    state: CopyState::Ready,
                    memory,
                });
            }
            view.possible = view.holdings.iter().map(|holding| holding.memory).sum();
            assert!(
                view.possible <= view.memory,
                "endpoint memory is overcommitted"
            );
        }
        lines
    }

    fn copies(&self, model: &str) -> usize {
        let model: ModelId = name(model);
        self.problem
            .endpoints
            .values()
            .flat_map(|view| &view.holdings)
            .filter(|held| held.model == model)
            .count()
    }
}

fn describe(moves: &[PlannedMove]) -> Vec<String> {
    moves
        .iter()
        .map(|planned| {
            let (sign, what) = match &planned.action {
                EndpointAction::LoadModel { model, .. } => ("+", model.to_string()),
                EndpointAction::UnloadModel { model, .. } => ("-", model.to_string()),
                EndpointAction::LoadAdapter { adapter, .. } => ("+", adapter.to_string()),
                EndpointAction::UnloadAdapter { adapter } => ("-", adapter.to_string()),
                EndpointAction::SetRole { .. } => panic!("the planner returned a SetRole action"),
            };
            format!("{sign}{what}@{}", planned.endpoint)
        })
        .collect()
}

#[test]
fn every_model_gets_one_copy_and_stays() {
    let mut fleet = Fleet::new()
        .endpoint("r1", 100, &[])
        .endpoint("r2", 100, &[])
        .model("a", 60, 100.0)
        .model("b", 60, 100.0);
    fleet.apply_plan();
    assert_eq!((fleet.copies("a"), fleet.copies("b")), (1, 1));
    assert_eq!(fleet.apply_plan(), Vec::<String>::new());
}

#[test]
fn load_above_one_copy_adds_a_copy() {
    let fleet = Fleet::new()
        .endpoint("r1", 100, &[("a", 60)])
        .endpoint("r2", 100, &[])
        .model("a", 60, 1_500.0);
    assert_eq!(describe(&fleet.plan().moves), ["+a@r2"]);
}

#[test]
fn small_gain_adds_no_copy() {
    let fleet = Fleet::new()
        .endpoint("r1", 100, &[("a", 60)])
        .endpoint("r2", 100, &[])
        .model("a", 60, 900.0);
    assert_eq!(describe(&fleet.plan().moves), Vec::<String>::new());
}

#[test]
fn last_copy_is_not_unloaded_for_busy_model() {
    let fleet = Fleet::new()
        .endpoint("r1", 100, &[("a", 60)])
        .endpoint("r2", 100, &[("idle", 60)])
        .model("a", 60, 1_500.0)
        .model("idle", 60, 0.0);
    assert_eq!(describe(&fleet.plan().moves), Vec::<String>::new());
    let mut unprotected = fleet.problem.clone();
    unprotected.last_copy_unprotected = true;
    let moves = describe(&plan(&unprotected).moves);
    assert_eq!(moves, ["-idle@r2"]);
}

#[test]
fn surplus_copy_is_unloaded_before_load() {
    let fleet = Fleet::new()
        .endpoint("r1", 100, &[("a", 60)])
        .endpoint("r2", 100, &[("idle", 60)])
        .endpoint("r3", 100, &[("idle", 60)])
        .model("a", 60, 1_500.0)
        .model("idle", 60, 0.0);
    let outcome = fleet.plan();
    assert_eq!(
        outcome.moves.len(),
        1,
        "expected one unload of the idle model and no load"
    );
    assert!(outcome.moves[0].action.unloaded().is_some());
    assert_eq!(describe(&outcome.goals).len(), 1);
    assert!(describe(&outcome.goals)[0].starts_with("+a@"));
}

#[test]
fn relocation_frees_endpoint_for_large_model() {
    // The large model fits only on r1, so the small model must be relocated to r2.
    let mut fleet = Fleet::new()
        .endpoint("r1", 100, &[("small", 40)])
        .endpoint("r2", 50, &[])
        .model("large", 90, 0.0)
        .model("small", 40, 0.0);
    assert_eq!(fleet.apply_plan(), ["+small@r2"]);
    assert_eq!(fleet.apply_plan(), ["-small@r1"]);
    assert_eq!(fleet.apply_plan(), ["+large@r1"]);
    assert_eq!((fleet.copies("small"), fleet.copies("large")), (1, 1));
}

#[test]
fn model_without_relocation_target_is_unplaced() {
    let fleet = Fleet::new()
        .endpoint("r1", 100, &[("small", 40)])
        .model("large", 90, 0.0)
        .model("small", 40, 0.0)
        .model("huge", 900, 0.0);
    let reasons: Vec<UnplacedReason> = fleet
        .plan()
        .unplaced
        .into_iter()
        .map(|item| item.reason)
        .collect();
    let too_large = UnplacedReason::TooLarge {
        needed_mib: 900,
        largest_mib: 100,
    };
    assert_eq!(reasons, [too_large, UnplacedReason::NoRoom]);
}

#[test]
fn version_change_keeps_a_copy() {
    let mut fleet = Fleet::new()
        .endpoint("r1", 100, &[("a", 60)])
        .endpoint("r2", 100, &[("a", 60)])
        .endpoint("r3", 100, &[])
        .model("a", 60, 1_500.0)
        .version("a", "v2");
    for _ in 0..8 {
        fleet.apply_plan();
        assert!(fleet.copies("a") >= 1);
    }
    let versions: Vec<String> = fleet
        .problem
        .endpoints
        .values()
        .flat_map(|view| &view.holdings)
        .map(|held| held.version.to_string())
        .collect();
    assert_eq!(versions, ["v2", "v2"]);
}

#[test]
fn pin_places_and_forbid_unloads_copy() {
    let endpoint: EndpointId = name("r2");
    let pin = ExceptionRule::Pin {
        endpoint: endpoint.clone(),
    };
    let forbid = ExceptionRule::Forbid { endpoint };
    let fleet = || {
        Fleet::new()
            .endpoint("r1", 100, &[("a", 60)])
            .endpoint("r2", 100, &[("b", 60)])
            .endpoint("r3", 100, &[("b", 60)])
            .model("a", 60, 0.0)
            .model("b", 60, 0.0)
    };
    let mut pinned = fleet().except("a", pin);
    assert_eq!(pinned.apply_plan(), ["-b@r2"]);
    assert_eq!(pinned.apply_plan(), ["+a@r2"]);
    let mut forbidden = fleet().except("b", forbid);
    assert_eq!(forbidden.apply_plan(), ["-b@r2"]);
    assert_eq!(forbidden.apply_plan(), Vec::<String>::new());
}

#[test]
fn minimum_replicas_are_placed() {
    let mut fleet = Fleet::new()
        .endpoint("r1", 100, &[])
        .endpoint("r2", 100, &[])
        .model("a", 60, 0.0)
        .except("a", ExceptionRule::MinReplicas { count: 2 });
    fleet.apply_plan();
    assert_eq!(fleet.copies("a"), 2);
}

#[test]
fn copy_is_placed_where_adapters_fit() {
    let mut fleet = Fleet::new()
        .endpoint("r1", 65, &[])
        .endpoint("r2", 80, &[])
        .model("a", 60, 0.0);
    fleet.problem.adapters.insert(
        name("tone"),
        AdapterNeed {
            model: name("a"),
            memory: MemorySize::new(10),
        },
    );
    assert_eq!(fleet.apply_plan(), ["+a@r2"]);
    assert_eq!(describe(&fleet.plan().moves), ["+tone@r2"]);
}

#[test]
fn higher_priority_is_placed_first() {
    let mut fleet = Fleet::new()
        .endpoint("r1", 100, &[])
        .model("a", 60, 0.0)
        .model("b", 60, 0.0);
    let model: ModelId = name("b");
    fleet.problem.models.get_mut(&model).unwrap().priority = PriorityClass::new(9);
    fleet.apply_plan();
    assert_eq!((fleet.copies("a"), fleet.copies("b")), (0, 1));
}

#[test]
fn endpoint_that_accepts_no_orders_is_unchanged() {
    let mut fleet = Fleet::new().endpoint("r1", 100, &[]).model("a", 60, 0.0);
    let endpoint: EndpointId = name("r1");
    fleet
        .problem
        .endpoints
        .get_mut(&endpoint)
        .unwrap()
        .accepting = false;
    let outcome = fleet.plan();
    assert_eq!(outcome.moves, []);
    assert_eq!(outcome.unplaced[0].reason, UnplacedReason::NoEndpoint);
}
