//! Who claims a slice that nobody holds.

use cassiahoist_core::prelude::*;
use cassiahoist_world::members::MemberTable;
use cassiahoist_world::record::MemberRecord;

fn member(name: &str, cpu_milli: u32, link_mbps: u32) -> MemberRecord {
    MemberRecord {
        incarnation: format!("{name}#1").parse().unwrap(),
        peer_address: "10.1.0.1:7720".into(),
        domain: FailureDomain::new("obihiro").unwrap(),
        limits: Limits { cpu_milli, link_mbps },
    }
}

#[test]
fn the_strongest_daemon_comes_first_and_then_the_first_by_name() {
    let members = [member("a", 120, 10), member("b", 500, 200), member("c", 500, 200), member("d", 500, 10)];
    let mut table = MemberTable::default();
    for member in &members {
        table.insert(member.clone());
    }
    let rank = |name: &str, left_out: Option<&str>| {
        let member = members.iter().find(|member| member.incarnation.member.to_string() == name).unwrap();
        let left_out = left_out.map(|name| MemberName::new(name).unwrap());
        table.rank(&member.incarnation.member, member.limits, left_out.as_ref())
    };
    assert_eq!(["a", "b", "c", "d"].map(|name| rank(name, None)), [3, 0, 1, 2]);
    assert_eq!(rank("c", Some("b")), 0, "the last holder does not count");
}
