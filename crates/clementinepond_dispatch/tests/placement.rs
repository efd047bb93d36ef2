//! Selection of placement moves: which copy is loaded and which is evicted.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use clementinepond_dispatch::placement::{EngineView, ModelView, PlacementView, choose_move};
use clementinepond_types::TimeSpan;

fn model(name: &str, utilization: f64) -> ModelView {
    ModelView {
        id: name.parse().unwrap(),
        weights_mb: 70_000.0,
        utilization,
        has_demand: utilization > 0.0,
        is_return_expected: false,
        load_times: [
            TimeSpan::from_millis(4_200),
            TimeSpan::from_millis(900),
            TimeSpan::from_millis(600),
        ],
    }
}

fn engine(name: &str, models: &[usize], free_mb: f64) -> EngineView {
    EngineView {
        id: name.parse().unwrap(),
        is_usable: true,
        is_moving: false,
        free_mb,
        models: models
            .iter()
            .map(|&index| (index, TimeSpan::from_secs(60)))
            .collect(),
        possible: models.to_vec(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn view(engines: Vec<EngineView>, models: Vec<ModelView>) -> PlacementView {
    PlacementView {
        engines,
        models,
        may_load_from_store: true,
    }
}

#[test]
fn model_without_copy_precedes_overloaded_model() {
    let models = vec![model("m0", 5.0), model("m1", 0.0)];
    let chosen = choose_move(&view(vec![engine("e1", &[0], 80_000.0)], models)).unwrap();
    assert_eq!((chosen.load, chosen.unload), (1, Vec::new()));
}

#[test]
fn model_expected_to_reappear_is_not_loaded() {
    let mut returning = model("m1", 0.0);
    returning.is_return_expected = true;
    let models = vec![model("m0", 0.01), returning];
    assert_eq!(
        choose_move(&view(vec![engine("e1", &[0], 80_000.0)], models)),
        None
    );
}

#[test]
fn model_with_single_copy_gets_second_at_lower_utilization() {
    let models = vec![model("m0", 0.15)];
    let engines = vec![engine("e1", &[0], 0.0), engine("e2", &[], 150_000.0)];
    let chosen = choose_move(&view(engines, models.clone())).unwrap();
    assert_eq!((chosen.engine, chosen.load), (1, 0));
    let engines = vec![
        engine("e1", &[0], 0.0),
        engine("e2", &[0], 80_000.0),
        engine("e3", &[], 150_000.0),
    ];
    assert_eq!(choose_move(&view(engines, models)), None);
}

#[test]
fn copy_is_evicted_only_for_clearly_busier_model() {
    // With one copy left, m1 would reach a utilization of 0.5 per copy, which is more
    // than 0.6 of m0's 0.6.
    let even = vec![model("m0", 0.6), model("m1", 0.5)];
    let engines = || {
        vec![
            engine("e1", &[0, 1], 10_000.0),
            engine("e2", &[1], 10_000.0),
        ]
    };
    assert_eq!(choose_move(&view(engines(), even)), None);
    let uneven = vec![model("m0", 2.0), model("m1", 0.1)];
    let chosen = choose_move(&view(engines(), uneven)).unwrap();
    assert_eq!((chosen.engine, chosen.unload, chosen.load), (1, vec![1], 0));
}

#[test]
fn engine_with_weights_in_memory_is_preferred() {
    let models = vec![model("m0", 2.0)];
    let mut warm = engine("e3", &[], 150_000.0);
    warm.in_memory.push(0);
    let engines = vec![engine("e1", &[0], 0.0), engine("e2", &[], 150_000.0), warm];
    let chosen = choose_move(&view(engines, models)).unwrap();
    assert_eq!((chosen.engine, chosen.from_store), (2, false));
}

#[test]
fn only_local_weights_are_loaded_when_store_is_at_limit() {
    let mut view = view(
        vec![engine("e1", &[0], 0.0), engine("e2", &[], 150_000.0)],
        vec![model("m0", 2.0)],
    );
    view.may_load_from_store = false;
    assert_eq!(choose_move(&view), None);
    view.engines[1].on_disk.push(0);
    assert!(choose_move(&view).is_some());
}

#[test]
fn model_without_copy_precedes_overloaded_model_when_both_fit() {
    let models = vec![model("m0", 5.0), model("m1", 0.0)];
    let engines = vec![engine("e1", &[0], 0.0), engine("e2", &[], 80_000.0)];
    let chosen = choose_move(&view(engines, models)).unwrap();
    assert_eq!((chosen.engine, chosen.load), (1, 1));
}

#[test]
fn last_copy_is_not_selected_for_eviction() {
    // A model without a copy does not evict it.
    let engines = vec![engine("e1", &[0], 0.0)];
    let other_without_copy = vec![model("m0", 0.5), model("m1", 9.0)];
    assert_eq!(
        choose_move(&view(engines.clone(), other_without_copy)),
        None
    );
    // Nor does a model with far more demand.
    let mut both = engines;
    both.push(engine("e2", &[1], 0.0));
    let overloaded = vec![model("m0", 0.01), model("m1", 9.0)];
    assert_eq!(choose_move(&view(both, overloaded)), None);
}
