//! Trial.
use clementinepond_decide::limit::LimitMutation as M;
use clementinepond_measure::experiment::limits::*;
#[test]
fn try_run() {
    use M::*;
    for m in [
        None,
        KeepLapsedLots,
        KeepLapsedLoans,
        CountFromReceipt,
        IgnoreDrift,
        ResumeFull,
        LendWithoutCapacity,
        ForgetHolds,
        IgnoreBacking,
        ConfirmEarly,
        AddRepeatedGrants,
        AddRepeatedReturns,
        ForgetEarlierRoster,
        SkipStartWait,
        AcceptOlderTable,
        KeepLentSlice,
    ] {
        let mut over = 0;
        let mut gen_over = 0;
        let mut worst = 0;
        let mut worst_gen = 0;
        let mut seeds = vec![];
        for seed in 0..if m == None { 200 } else { 40 } {
            let mut plan = chaos(seed, &[3, 3, 2], 120 * SECOND);
            plan.settings.mutation = m;
            let o = FleetSimulation::run(plan);
            over += u64::from(o.over_limit() > 0);
            gen_over += u64::from(o.over_limit_generated() > 0);
            if o.over_limit() > 0 {
                seeds.push(seed);
            }
            for a in &o.accounts {
                worst = worst.max(a.admitted_excess);
                worst_gen = worst_gen.max(a.generated_excess);
            }
        }
        println!(
            "{m:?}: runs over {over} gen {gen_over} worst {} gen {} seeds {seeds:?}",
            worst as f64 / 1e6,
            worst_gen as f64 / 1e6
        );
    }
}
