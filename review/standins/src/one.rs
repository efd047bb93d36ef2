//! Cases on the rule ONE: orders of two holders to one runner.

use crate::machine::Machine;
use crate::record::Record;
use crate::runner::{Arrivals, OrderArrival, Runner};
use crate::site::{
    APP, AdapterClients, ENGINES, LEASE_MS, MODEL, all_ready, configuration, wait_for,
};
use crate::store::Store;
use crate::{Scratch, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["kyushu-a", "kyushu-b", "kyushu-c"];
/// Time between the requests of all clients.
const CLIENT_GAP: Duration = Duration::from_millis(100);

struct Deployment {
    store: Store,
    arrivals: Arrivals,
    runners: Vec<Runner>,
    machines: Vec<Machine>,
    clients: AdapterClients,
}

impl Deployment {
    async fn start(count: usize, record: &Record, scratch: &Scratch) -> Option<Self> {
        let store = Store::start(record).await.ok()?;
        let arrivals = Arrivals::default();
        store.put("config", "main", configuration(3));
        let mut runners = Vec::new();
        for (index, zone) in ZONES.iter().take(2).enumerate() {
            let id = format!("i-7f3a91c{index}");
            let work = Duration::from_millis(60);
            let runner = Runner::start(&id, ENGINES, zone, &[MODEL], work, &store, &arrivals);
            runners.push(runner.await.ok()?);
            let id = format!("i-02d9e6b{index}");
            let runner = Runner::start(&id, APP, zone, &[], work, &store, &arrivals);
            runners.push(runner.await.ok()?);
        }
        let mut machines = Vec::new();
        for index in 0..count {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
            machines.push(Machine::start(&name, zone, store.address, &scratch.0));
        }
        if !all_ready(&machines).await {
            return None;
        }
        let frontends = machines.iter().map(|machine| machine.frontend).collect();
        let clients = AdapterClients::start(&Arc::new(Mutex::new(frontends)), record, CLIENT_GAP);
        Some(Self {
            store,
            arrivals,
            runners,
            machines,
            clients,
        })
    }

    /// Returns the holder that the lease object names.
    fn holder(&self) -> Option<String> {
        let spec = self.store.spec("cpond-leases", "placement")?;
        Some(spec["holder"].as_str()?.to_owned())
    }

    fn index_of(&self, name: &str) -> usize {
        let place = self
            .machines
            .iter()
            .position(|machine| machine.name == name);
        place.unwrap_or_else(|| panic!("no machine {name}"))
    }

    /// Returns the orders of a machine since a time.
    fn orders_of(&self, name: &str, since_ms: u64) -> usize {
        let orders = self.arrivals.orders.lock().unwrap();
        let of_machine = |order: &&OrderArrival| order.holder == name && order.at_ms >= since_ms;
        orders.iter().filter(of_machine).count()
    }
}

/// Checks ONE over all orders: no runner may get a lower token after a higher one, one token
/// from two holders, or orders of two holders within `lease_ms`.
fn judge(record: &Record, orders: &[OrderArrival]) -> Verdict {
    let mut found = 0;
    let mut last: BTreeMap<&str, &OrderArrival> = BTreeMap::new();
    let mut holders: BTreeMap<(&str, u64), BTreeSet<&str>> = BTreeMap::new();
    for order in orders {
        if let Some(before) = last.insert(&order.runner, order)
            && before.holder != order.holder
        {
            let gap = order.at_ms - before.at_ms;
            record.say(&format!(
                "runner {}: last order of {} at {}, first order of {} at {}: {gap} ms apart",
                order.runner, before.holder, before.at_ms, order.holder, order.at_ms
            ));
            if gap < LEASE_MS {
                found += 1;
                record.say(&format!("  two holders within lease_ms ({LEASE_MS} ms)"));
            }
            if order.fence < before.fence {
                found += 1;
                record.say("  a lower fencing token after a higher one");
            }
        }
        let of_token = holders.entry((&order.runner, order.fence)).or_default();
        if of_token.insert(&order.holder) && of_token.len() == 2 {
            found += 1;
            record.say(&format!("two holders with the token {}", order.fence));
        }
    }
    record.say(&format!("orders={} broken={found}", orders.len()));
    if found > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The holder restarts in order and another machine takes over; seconds later the store is
/// away for a moment and comes back from a copy of before the restart.
pub async fn restored_lease(record: &Record, scratch: &Scratch, has_trouble: bool) -> Verdict {
    let fail = |why: &str| Verdict::CouldNotRun(why.to_owned());
    let Some(mut site) = Deployment::start(3, record, scratch).await else {
        return fail("the deployment did not start");
    };
    let first = wait_for(20, || {
        let holder = site.holder()?;
        (site.orders_of(&holder, 0) > 10).then_some(holder)
    });
    let Some(first) = first.await else {
        return fail("no machine gave orders");
    };
    record.say(&format!("{first} holds the lease and gives orders"));
    let copy = site.store.copy();
    let copied_at = record.millis();
    record.say(&format!("copy of the store, revision {}", copy.revision));
    let index = site.index_of(&first);
    record.say(&format!("SIGTERM to {first}"));
    site.machines[index].signal("TERM");
    let stopped_at = record.millis();
    let mut has_restarted = false;
    let second = wait_for(25, || {
        if !has_restarted && site.machines[index].has_exited() {
            has_restarted = true;
            record.say(&format!("{first} has exited and is started again"));
            site.machines[index].restart();
        }
        let holder = site.holder()?;
        let is_other = holder != first && site.orders_of(&holder, stopped_at) > 5;
        (has_restarted && is_other).then_some(holder)
    });
    let Some(second) = second.await else {
        return fail("no other machine took over");
    };
    record.say(&format!("{second} holds the lease and gives orders"));
    if !all_ready(&site.machines).await {
        return fail("the restarted machine is not ready");
    }
    if has_trouble {
        record.say("the store is away");
        site.store.set_away(true);
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.store.restore(&copy);
        // The operator and the runners write again what they wrote since.
        site.store.put("config", "main", configuration(3));
        for runner in &site.runners {
            runner.register();
        }
        site.store.set_away(false);
        let age = record.millis() - copied_at;
        record.say(&format!(
            "the store is back from a copy that is {age} ms old"
        ));
    }
    tokio::time::sleep(Duration::from_secs(7)).await;
    let orders = site.arrivals.orders.lock().unwrap().clone();
    let asked = site.clients.next.load(std::sync::atomic::Ordering::Relaxed);
    record.say(&format!("requests={asked}"));
    judge(record, &orders)
}
