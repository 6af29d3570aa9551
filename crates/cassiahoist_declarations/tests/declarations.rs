//! Parsing, validation, rule resolution and differences of declarations.

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::{Declarations, HostRules, Packing, diff_declarations, parse_declarations};

const FLEET: &str = "
defaults:
  packing: pack
  room_percent: 95
exceptions:
  - select: {queue: season-watch}
    set: {packing: spread, max_tasks_per_host: 2}
    reason: Watches of one machine must not all run on one host.
  - select: {pool: loan-desk}
    set: {room_percent: 80, max_running_tasks: 500}
    reason: The desk shares its hosts with the nightly backup until March.
  - select: {host: i-004f}
    set: {cordoned: true}
    reason: Its fan is replaced on Friday.
  - select: {failure_domain: obihiro}
    set: {room_percent: 90}
    reason: Power in Obihiro is capped this winter.
";

fn fleet() -> Declarations {
    parse_declarations(&[("fleet.yaml", FLEET)]).unwrap()
}

fn rejection(text: &str) -> String {
    parse_declarations(&[("fleet.yaml", text)]).unwrap_err().to_string()
}

fn exception(select: &str, set: &str, reason: &str) -> String {
    format!("exceptions: [{{select: {select}, set: {set}, reason: \"{reason}\"}}]")
}

#[test]
fn the_most_specific_exception_wins() {
    let declared = fleet();
    let (desk, kiln) = (PoolName::new("loan-desk").unwrap(), PoolName::new("kiln").unwrap());
    let watch = declared.queue_rules(&QueueName::new("season-watch").unwrap(), &desk);
    assert_eq!(watch.packing, Some(Packing::Spread));
    assert_eq!((watch.max_tasks_per_host, watch.max_running_tasks), (Some(2), Some(500)));
    let check = declared.queue_rules(&QueueName::new("quick-check").unwrap(), &kiln);
    assert_eq!((check.packing, check.max_running_tasks), (Some(Packing::Pack), None));
    let (obihiro, soweto) =
        (FailureDomain::new("obihiro").unwrap(), FailureDomain::new("soweto-west").unwrap());
    let rules = |name: &str, pool, domain| declared.host_rules(&HostName::new(name).unwrap(), pool, domain);
    assert_eq!(rules("i-1", &kiln, &soweto), HostRules { room_percent: 95, cordoned: false });
    assert_eq!(rules("i-1", &desk, &soweto).room_percent, 80);
    assert_eq!(rules("i-1", &desk, &obihiro).room_percent, 90, "a failure domain outranks a pool");
    assert_eq!(rules("i-004f", &desk, &soweto), HostRules { room_percent: 80, cordoned: true });
}

#[test]
fn empty_declarations_give_default_rules() {
    let declared = parse_declarations(&[("empty.yaml", "{}")]).unwrap();
    let pool = PoolName::new("kiln").unwrap();
    assert_eq!(declared.queue_rules(&QueueName::new("q").unwrap(), &pool).packing, None);
    let rules = declared.host_rules(&HostName::new("i-1").unwrap(), &pool, &FailureDomain::new("z").unwrap());
    assert_eq!(rules, HostRules::default());
}

#[test]
fn invalid_declarations_are_rejected_with_path_and_reason() {
    let valid_reason = "Its fan is replaced.";
    let invalid_texts = [
        "defaults: {packing: pile}".to_owned(),
        "defaults: {room_share: 3}".to_owned(),
        "defaults: {room_percent: 101}".to_owned(),
        "defaults: {max_tasks_per_host: 0}".to_owned(),
        "defaults: {cordoned: true}".to_owned(),
        exception("{host: i-1}", "{cordoned: true}", "fan"),
        exception("{}", "{cordoned: true}", valid_reason),
        exception("{host: i-1}", "{}", valid_reason),
        exception("{host: i-1}", "{packing: pack}", valid_reason),
        exception("{queue: q}", "{cordoned: true}", valid_reason),
        exception("{queue: q, host: i-1}", "{packing: pack}", valid_reason),
        exception("{host: \"a b\"}", "{cordoned: true}", valid_reason),
        format!(
            "{FLEET}  - {{select: {{host: i-004f}}, set: {{cordoned: false}}, reason: Its fan was replaced.}}"
        ),
    ];
    let errors: Vec<String> = invalid_texts.iter().map(|text| rejection(text)).collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn too_many_exceptions_are_rejected() {
    let row = "  - {select: {host: i-HOST}, set: {cordoned: true}, reason: Its fan is replaced.}\n";
    let rows: Vec<String> = (0..51).map(|number| row.replace("HOST", &number.to_string())).collect();
    assert!(rejection(&format!("exceptions:\n{}", rows.concat())).contains("51 exceptions"));
}

#[test]
fn files_are_merged_but_only_one_may_declare_defaults() {
    let other = exception("{host: i-2}", "{cordoned: true}", "Its disk is replaced.");
    let merged = parse_declarations(&[("fleet.yaml", FLEET), ("hosts.yaml", &other)]).unwrap();
    assert_eq!(merged.exceptions.len(), 5);
    let two_defaults = parse_declarations(&[
        ("a.yaml", "defaults: {packing: pack}"),
        ("b.yaml", "defaults: {packing: spread}"),
    ]);
    assert_eq!(
        two_defaults.unwrap_err().to_string(),
        "b.yaml: defaults are already declared in a.yaml; keep them in one file"
    );
}

#[test]
fn a_diff_lists_defaults_and_exceptions() {
    let before = fleet();
    let mut after = before.clone();
    after.defaults.room_percent = None;
    after.exceptions.remove(2);
    after.exceptions[0].set.max_tasks_per_host = Some(1);
    let lines: Vec<String> = diff_declarations(&before, &after).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert!(diff_declarations(&before, &before).is_empty());
}
