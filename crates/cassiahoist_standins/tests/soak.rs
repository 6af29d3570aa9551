//! Tests of the plan and the cuts of the soak, which need no processes.

use std::collections::BTreeSet;

use cassiahoist_standins::soak::HOSTS;
use cassiahoist_standins::soak::cuts::{Cut, Cuts, Direction, Node};
use cassiahoist_standins::soak::plan::{Disruption, Plan, PlanKind, PlannedDisruption};

const LENGTH_MS: u64 = 40_000;

fn cuts(cut: Cut) -> Cuts {
    let mut cuts = Cuts::default();
    cuts.add(0, cut);
    cuts
}

/// A seed that breaks a rule must show the same plan again.
#[test]
fn plan_follows_from_its_seed_and_ends_in_time() {
    for seed in 0..200 {
        for kind in [PlanKind::Islands, PlanKind::LateOrders] {
            let plan = Plan::draw(kind, seed, LENGTH_MS);
            assert_eq!(plan, Plan::draw(kind, seed, LENGTH_MS));
            assert!(!plan.disruptions.is_empty(), "{kind:?}, seed {seed} disrupts nothing");
            for planned in &plan.disruptions {
                assert!(planned.at_ms + planned.for_ms <= LENGTH_MS, "{kind:?}, seed {seed}: {planned:?}");
            }
        }
    }
}

/// The known fault needs an island with more than half of the hosts and an outage of the store within it.
#[test]
fn plans_hold_islands_of_most_hosts_with_outages_within_them() {
    let mut kinds = BTreeSet::new();
    let mut islands_with_outage = 0;
    for seed in 0..50 {
        let plan = Plan::draw(PlanKind::Islands, seed, LENGTH_MS);
        for planned in &plan.disruptions {
            kinds.insert(format!("{:?}", planned.disruption).split(['(', ' ']).next().unwrap().to_owned());
            let Disruption::Isolate { hosts, direction: Direction::Both, .. } = planned.disruption else {
                continue;
            };
            let island_end_ms = planned.at_ms + planned.for_ms;
            let has_outage = plan.disruptions.iter().any(|other| {
                matches!(other.disruption, Disruption::StoreOutage(_))
                    && other.at_ms > planned.at_ms
                    && other.at_ms + other.for_ms < island_end_ms
            });
            islands_with_outage += usize::from(hosts > HOSTS / 2 && has_outage);
        }
    }
    assert!(islands_with_outage >= 5, "only {islands_with_outage} such islands");
    assert_eq!(kinds.len(), 11, "{kinds:?}");
}

/// An order that takes effect after a restart of its host needs a crash within its delay.
#[test]
fn plans_of_late_orders_restart_hosts_before_the_orders_arrive() {
    let is_restart_before = |order: &PlannedDisruption, other: &PlannedDisruption| match order.disruption {
        Disruption::DelayOrders { host, delay_ms } => {
            other.disruption == Disruption::CrashHost(host)
                && other.at_ms > order.at_ms
                && other.at_ms + other.for_ms < order.at_ms + delay_ms
        }
        _ => false,
    };
    let mut restarts = 0;
    for seed in 0..50 {
        let plan = Plan::draw(PlanKind::LateOrders, seed, LENGTH_MS);
        let orders = plan.disruptions.iter();
        restarts += orders
            .filter(|order| plan.disruptions.iter().any(|other| is_restart_before(order, other)))
            .count();
    }
    assert!(restarts >= 150, "only {restarts} such restarts");
}

/// An island's nodes reach each other and nothing else.
#[test]
fn cut_separates_inside_from_outside_both_ways() {
    let cuts = cuts(Cut::new(vec![0, 1], vec![3]));
    assert!(cuts.passes(Node::Daemon(0), Node::Host(3)));
    assert!(cuts.passes(Node::Daemon(0), Node::Daemon(1)));
    assert!(cuts.passes(Node::Daemon(2), Node::Store));
    for (from, to) in [
        (Node::Daemon(0), Node::Store),
        (Node::Daemon(0), Node::Advice),
        (Node::Daemon(1), Node::Host(4)),
        (Node::Daemon(2), Node::Host(3)),
        (Node::Daemon(0), Node::Daemon(2)),
    ] {
        assert!(!cuts.passes(from, to) && !cuts.passes(to, from), "{from:?} and {to:?}");
    }
    assert!(cuts.are_together(0, 1) && !cuts.are_together(0, 2));
}

/// Links between daemons may stay while all else is lost.
#[test]
fn kept_peers_reach_each_other_through_a_cut() {
    let cuts = cuts(Cut::new(vec![0], vec![]).with_peers_kept(true));
    assert!(cuts.passes(Node::Daemon(0), Node::Daemon(1)));
    assert!(!cuts.passes(Node::Daemon(0), Node::Host(1)));
}

/// A request arrives and its answer is lost, or the other way round.
#[test]
fn one_way_cut_loses_messages_in_its_direction_only() {
    let answers_lost = cuts(Cut::store_outage().with_direction(Direction::Outward));
    assert!(answers_lost.passes(Node::Daemon(5), Node::Store));
    assert!(!answers_lost.passes(Node::Store, Node::Daemon(5)));
    let requests_lost = cuts(Cut::store_outage().with_direction(Direction::Inward));
    assert!(!requests_lost.passes(Node::Daemon(5), Node::Store));
    assert!(requests_lost.passes(Node::Store, Node::Daemon(5)));
}

/// Cuts that overlap heal one by one.
#[test]
fn each_cut_heals_alone() {
    let mut cuts = cuts(Cut::store_outage());
    cuts.add(1, Cut::new(vec![0], vec![]));
    cuts.heal(0);
    assert!(cuts.passes(Node::Daemon(1), Node::Store));
    assert!(!cuts.passes(Node::Daemon(0), Node::Store));
    cuts.heal(1);
    assert!(cuts.passes(Node::Daemon(0), Node::Store));
}
