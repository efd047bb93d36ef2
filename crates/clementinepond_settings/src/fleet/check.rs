//! Checks within and across the entries of a configuration.

use super::{EndpointKind, ExceptionChange, FleetConfiguration, FleetException};
use crate::FaultList;
use clementinepond_types::{AccountId, EndpointId, MemorySize, ModelId, TokenCount, TokenRate};

/// Maximum sum of the `limit_parts` of all data centres.
const LIMIT_PARTS_TOTAL: u32 = 1024;
/// Maximum number of exceptions; a longer list is hard to review.
const EXCEPTION_LIMIT: usize = 64;

impl FleetConfiguration {
    /// Adds a fault for each invalid entry.
    pub fn check(&self, faults: &mut FaultList) {
        self.check_data_centres(faults);
        self.check_accounts(faults);
        self.check_keys(faults);
        self.check_models(faults);
        self.check_endpoints(faults);
        self.check_exceptions(faults);
    }

    fn check_data_centres(&self, faults: &mut FaultList) {
        let parts: u64 = self
            .data_centres
            .values()
            .map(|entry| u64::from(entry.limit_parts))
            .sum();
        faults.require(
            parts <= u64::from(LIMIT_PARTS_TOTAL),
            "data_centres",
            &format!("limit_parts of all data centres add up to {parts}"),
            "reduce limit_parts so that the sum is at most 1024",
        );
    }

    fn check_accounts(&self, faults: &mut FaultList) {
        for (id, account) in &self.accounts {
            faults.require(
                account.rate > TokenRate::ZERO,
                &format!("accounts.{id}.rate"),
                "the rate is 0",
                "set a rate like \"1200tok/s\"; to disable the account, set enabled to false",
            );
            faults.require(
                account.burst > TokenCount::ZERO,
                &format!("accounts.{id}.burst"),
                "the burst is 0 tokens",
                "set it to at least the tokens of the largest request",
            );
        }
    }

    fn check_keys(&self, faults: &mut FaultList) {
        for (digest, key) in &self.keys {
            self.check_account(&format!("keys.{digest}.account"), &key.account, faults);
        }
    }

    fn check_models(&self, faults: &mut FaultList) {
        for (id, model) in &self.models {
            faults.require(
                model.memory_mib > MemorySize::new(0),
                &format!("models.{id}.memory_mib"),
                "the memory is 0 MiB",
                "set it to the accelerator memory of one replica",
            );
        }
        for (id, adapter) in &self.adapters {
            let path = format!("adapters.{id}");
            self.check_model(&format!("{path}.model"), &adapter.model, faults);
            let is_model = self
                .models
                .keys()
                .any(|model| model.as_str() == id.as_str());
            faults.require(
                !is_model,
                &path,
                "a model has the same name",
                "rename the adapter; requests name models and adapters in the same field",
            );
        }
    }

    fn check_endpoints(&self, faults: &mut FaultList) {
        for (id, endpoint) in &self.endpoints {
            faults.require(
                self.data_centres.contains_key(&endpoint.data_centre),
                &format!("endpoints.{id}.data_centre"),
                &format!("data centre {} is unknown", endpoint.data_centre),
                "add it to data_centres or correct the name",
            );
            match &endpoint.kind {
                EndpointKind::Engine { accelerators, .. } => faults.require(
                    *accelerators > 0,
                    &format!("endpoints.{id}.kind.engine.accelerators"),
                    "the number of accelerators is 0",
                    "set it to at least 1",
                ),
                EndpointKind::Service { route } => faults.require(
                    self.services.contains_key(route),
                    &format!("endpoints.{id}.kind.service.route"),
                    &format!("route {route} is unknown"),
                    "add it to services or correct the name",
                ),
            }
        }
    }

    fn check_exceptions(&self, faults: &mut FaultList) {
        faults.require(
            self.exceptions.len() <= EXCEPTION_LIMIT,
            "exceptions",
            "there are more than 64 exceptions",
            "change the fleet-wide defaults instead",
        );
        for (index, exception) in self.exceptions.iter().enumerate() {
            self.check_exception(&format!("exceptions[{index}]"), exception, faults);
        }
    }

    fn check_exception(&self, path: &str, exception: &FleetException, faults: &mut FaultList) {
        faults.require(
            !exception.reason.trim().is_empty(),
            &format!("{path}.reason"),
            "the reason is empty",
            "state why this case differs from the defaults",
        );
        match &exception.change {
            ExceptionChange::AnswerTokens { account, .. } => {
                self.check_account(path, account, faults);
            }
            ExceptionChange::ReplicaMinimum { model, .. } => {
                self.check_model(path, model, faults);
            }
            ExceptionChange::Pin { model, endpoint }
            | ExceptionChange::Forbid { model, endpoint } => {
                self.check_model(path, model, faults);
                self.check_endpoint(path, endpoint, faults);
            }
        }
    }

    fn check_account(&self, path: &str, account: &AccountId, faults: &mut FaultList) {
        faults.require(
            self.accounts.contains_key(account),
            path,
            &format!("account {account} is unknown"),
            "add it to accounts or correct the name",
        );
    }

    fn check_model(&self, path: &str, model: &ModelId, faults: &mut FaultList) {
        faults.require(
            self.models.contains_key(model),
            path,
            &format!("model {model} is unknown"),
            "add it to models or correct the name",
        );
    }

    fn check_endpoint(&self, path: &str, endpoint: &EndpointId, faults: &mut FaultList) {
        faults.require(
            self.endpoints.contains_key(endpoint),
            path,
            &format!("endpoint {endpoint} is unknown"),
            "add it to endpoints or correct the name",
        );
    }
}
