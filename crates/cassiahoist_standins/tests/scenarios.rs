//! Scripted days of faults and seeded ones, judged by what callers and hosts saw.

use cassiahoist_standins::runner::Mood;
use cassiahoist_standins::sim::{Fault, Plan, Sim, StoreMood};
use cassiahoist_standins::workload::Workload;

fn play(seed: u64, faults: Vec<(u64, Fault)>) -> Sim {
    let mut sim = Sim::new(seed, Plan { faults, ..Plan::default() });
    let found = sim.play();
    assert!(found.is_empty(), "seed {seed}: {}", found[0]);
    assert_eq!(sim.callers.open_jobs(), 0, "seed {seed}: jobs are left open");
    sim
}

fn store(mood: StoreMood) -> Fault {
    Fault::Store(mood)
}

const WELL: Fault =
    Fault::Store(StoreMood { silent: false, slow_ms: 0, lost: 0.0, late_ms: 0, late_orders: 0.0 });

#[test]
fn a_calm_day_completes_every_job() {
    let sim = play(1, Vec::new());
    assert!(sim.callers.answered[&200] > 50);
    assert!(!sim.callers.answered.contains_key(&503));
}

#[test]
fn a_killed_holder_is_replaced() {
    for seed in 1..4 {
        play(seed, vec![(7_000, Fault::KillHolder(5_000))]);
    }
}

#[test]
fn a_holder_killed_again_and_again_is_replaced() {
    let kills = (0..5).map(|number| (6_000 + number * 2_500, Fault::KillHolder(800)));
    play(2, kills.collect());
}

#[test]
fn all_daemons_killed_at_once_come_back() {
    play(3, vec![(9_000, Fault::KillAll(1_200))]);
}

#[test]
fn a_frozen_holder_does_not_start_what_its_successor_runs() {
    for (seed, for_ms) in [(4, 900), (5, 2_600), (6, 5_000)] {
        play(seed, vec![(7_000, Fault::FreezeHolder(for_ms))]);
    }
}

#[test]
fn a_frozen_holder_wakes_beside_a_host_in_a_new_life() {
    // The host knows no fencing token, so only the holder's own doubt keeps a second run away.
    for host in 0..8 {
        play(7, vec![(6_000, Fault::FreezeHolder(4_900)), (10_880, Fault::Rebirth(host))]);
    }
}

#[test]
fn a_holder_cut_off_from_the_store_learns_of_no_new_job() {
    play(
        988,
        vec![
            (9_130, Fault::CutHolder(6_814)),
            (9_430, store(StoreMood { lost: 0.3, late_ms: 4_000, ..StoreMood::default() })),
            (12_128, WELL),
        ],
    );
}

#[test]
fn a_stop_hands_the_slice_over() {
    let sim = play(8, vec![(7_000, Fault::StopHolder), (12_000, Fault::StopHolder)]);
    assert_eq!(sim.callers.answered.get(&504), None);
}

#[test]
fn a_silent_store_refuses_truly_and_loses_nothing() {
    play(9, vec![(7_000, store(StoreMood { silent: true, ..StoreMood::default() })), (12_000, WELL)]);
}

#[test]
fn lost_and_late_answers_of_the_store_double_nothing() {
    for seed in 10..13 {
        let mood = StoreMood { lost: 0.35, late_ms: 5_000, ..StoreMood::default() };
        play(seed, vec![(5_000, store(mood)), (11_000, WELL), (8_000, Fault::KillHolder(1_000))]);
    }
}

#[test]
fn lapsed_leases_in_a_silent_store_keep_progress() {
    // A flush that was under way when the claim lapsed is written under the next claim.
    play(
        50,
        vec![
            (9_940, store(StoreMood { late_orders: 0.06, ..StoreMood::default() })),
            (11_873, WELL),
            (15_766, store(StoreMood { silent: true, ..StoreMood::default() })),
            (17_000, Fault::LapseLeases),
            (19_745, WELL),
        ],
    );
}

#[test]
fn late_orders_double_nothing() {
    for seed in 14..17 {
        let mood = StoreMood { late_orders: 0.08, ..StoreMood::default() };
        play(seed, vec![(5_000, store(mood)), (12_000, WELL), (9_000, Fault::KillHolder(700))]);
    }
}

#[test]
fn hosts_in_new_lives_run_their_tasks_again() {
    let rebirths = (0..8).map(|host| (5_000 + host * 900, Fault::Rebirth(host as usize)));
    play(17, rebirths.collect());
}

#[test]
fn dark_hosts_keep_their_tasks_until_the_lease_is_over() {
    for (seed, for_ms) in [(18, 1_500), (19, 4_000), (20, 9_000)] {
        play(seed, vec![(7_000, Fault::Dark(1, for_ms)), (7_050, Fault::Dark(2, for_ms))]);
    }
}

#[test]
fn a_new_holder_waits_for_dark_hosts() {
    play(21, vec![(7_000, Fault::Dark(1, 4_000)), (7_100, Fault::KillHolder(3_000))]);
}

#[test]
fn hosts_that_fail_hang_or_refuse_everything_lose_no_job() {
    for (seed, mood) in [(22, Mood::Fails), (23, Mood::Hangs), (24, Mood::Unwell)] {
        play(seed, vec![(6_000, Fault::Mood(3, mood)), (12_000, Fault::Mood(3, Mood::Sound))]);
    }
}

#[test]
fn a_dropped_history_is_listed_again() {
    play(25, vec![(6_000, Fault::Compact), (8_000, Fault::Compact), (8_100, Fault::KillHolder(900))]);
}

#[test]
fn foreign_entries_and_new_configurations_disturb_nothing() {
    let sim = play(
        26,
        vec![(6_000, Fault::ForeignEntry), (7_000, Fault::Configure(9)), (8_000, Fault::Configure(4))],
    );
    for daemon in &sim.daemons {
        let config = daemon.app.as_ref().unwrap().world().config.in_force.clone().unwrap();
        assert_eq!(config.version, 9, "an older version is never taken");
    }
}

#[test]
fn a_daemon_cut_off_from_the_store_serves_through_its_peers() {
    let sim =
        play(27, (0..4).map(|daemon| (6_000 + daemon as u64, Fault::Cut(daemon, 3_000))).take(1).collect());
    assert_eq!(sim.callers.answered.get(&504), None, "{:?}", sim.callers.answered);
}

#[test]
fn seeded_days_break_no_promise() {
    for seed in 1..=24 {
        for workload in [Workload::Plain, Workload::Varied] {
            let plan = Plan::draw(seed, workload);
            let faults = plan.faults.clone();
            let found = Sim::new(seed, plan).play();
            assert!(found.is_empty(), "seed {seed}, {workload:?}, {faults:?}: {}", found[0]);
        }
    }
}

#[test]
fn varied_seeds_that_failed_once_stay_well() {
    // A watch whose answer was lost was made again only after the store had counted as stable again.
    let found = Sim::new(60_030, Plan::draw(60_030, Workload::Varied)).play();
    assert!(found.is_empty(), "{}", found[0]);
}

#[test]
fn seeds_that_failed_once_stay_well() {
    // Ends forgotten by a poll of an earlier life, flushes dropped at a lapse, watches from before a claim, jobs that
    // a cut-off holder learned of, a thawed holder beside a host in a new life, cancellations forgotten by adoption or told
    // to nobody, starts confirmed by the second of two new lives in a row, an
    // adoption that took longer than a lease while the earlier holder renewed leases.
    for seed in [
        10, 33, 42, 50, 62, 69, 120, 282, 291, 438, 925, 988, 1_375, 1_503, 1_527, 9_076, 20_296, 70_037,
        301_126,
    ] {
        let found = Sim::new(seed, Plan::draw(seed, Workload::Plain)).play();
        assert!(found.is_empty(), "seed {seed}: {}", found[0]);
    }
}

#[test]
fn daemons_that_start_while_the_store_is_slow_hold_the_slice() {
    let slow = StoreMood { slow_ms: 420, ..StoreMood::default() };
    let faults = vec![(7_000, store(slow)), (7_100, Fault::KillAll(500)), (14_000, WELL)];
    let mut sim = Sim::new(28, Plan { faults, ..Plan::default() });
    sim.play_until(12_000);
    assert!(sim.holder().is_some());
}
