//! Log lines of simulated days against their documentation.

use std::collections::{BTreeMap, BTreeSet};

use cassiahoist_core::prelude::*;
use cassiahoist_standins::sim::{Scenario, Simulation};
use cassiahoist_standins::workload::Workload;

type FieldsByEvent = BTreeMap<&'static str, BTreeSet<&'static str>>;

/// Lists the fields of each event that was logged on some days with faults.
fn logged_fields() -> FieldsByEvent {
    let mut fields_by_event = FieldsByEvent::new();
    for (seed, workload) in
        (1..=6).zip([Workload::Plain, Workload::Varied, Workload::Copies].into_iter().cycle())
    {
        let scenario = Scenario::from_seed(seed, workload);
        let mut sim = Simulation::new(seed, scenario);
        // Violations are the subject of other tests.
        let _violations = sim.run();
        for (_, _, log_record) in &sim.log {
            let fields = fields_by_event.entry(log_record.event.name()).or_default();
            fields.extend(log_record.fields.iter().map(|(name, _)| *name));
        }
    }
    fields_by_event
}

/// Reads the entry of an event: its name, then its fields.
fn documented_fields<'p>(page: &'p str, event: &str) -> Option<BTreeSet<&'p str>> {
    let entry = page.lines().find_map(|line| line.strip_prefix(&format!("- `{event}`: ")))?;
    Some(entry.split('`').skip(1).step_by(2).collect())
}

/// Whoever reads a log has the page only, so it lists each field that a line may have.
#[test]
fn catalogue_lists_the_fields_of_each_event() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md")).unwrap();
    let has_own_section = [EventId::HolderLoad.name(), EventId::DaemonLoad.name()];
    for (event, fields) in logged_fields() {
        if has_own_section.contains(&event) {
            let missing = fields.iter().find(|field| !page.contains(&format!("`{field}`")));
            assert_eq!(missing, None, "docs/EVENTS.md lacks a field of {event}");
            continue;
        }
        let documented = documented_fields(&page, event).unwrap_or_default();
        let missing: Vec<_> = fields.iter().filter(|field| !documented.contains(*field)).collect();
        assert!(missing.is_empty(), "docs/EVENTS.md lacks fields of {event}: {missing:?}");
    }
}
