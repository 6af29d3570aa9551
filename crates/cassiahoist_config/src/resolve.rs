//! The policy for one piece of work or host.

use cassiahoist_core::prelude::*;
use cassiahoist_world::declarations::{Declarations, Policy, PolicyPatch, Scope};

/// What a policy is looked up for; parts that do not apply are left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// The fleet.
    pub fleet: Option<&'a Fleet>,
    /// The team.
    pub team: Option<&'a TeamName>,
    /// The kind of work.
    pub kind: Option<&'a WorkKind>,
    /// The host.
    pub host: Option<&'a HostName>,
    /// The failure domain.
    pub domain: Option<&'a FailureDomain>,
}

/// Gives the policy for a subject: the defaults, changed by each exception that matches, in order.
#[must_use]
pub fn resolve_policy(declarations: &Declarations, subject: Subject<'_>, now_unix_s: u64) -> Policy {
    let mut policy = declarations.defaults.clone();
    for exception in &declarations.exceptions {
        let in_time = exception.expires_unix_s.is_none_or(|expires_unix_s| now_unix_s < expires_unix_s);
        if in_time && matches(&exception.scope, subject) {
            apply(&mut policy, &exception.set);
        }
    }
    policy
}

fn matches(scope: &Scope, subject: Subject<'_>) -> bool {
    fn part<T: PartialEq>(wanted: Option<&T>, given: Option<&T>) -> bool {
        wanted.is_none() || wanted == given
    }
    part(scope.fleet.as_ref(), subject.fleet)
        && part(scope.team.as_ref(), subject.team)
        && part(scope.kind.as_ref(), subject.kind)
        && part(scope.host.as_ref(), subject.host)
        && part(scope.domain.as_ref(), subject.domain)
}

fn apply(policy: &mut Policy, patch: &PolicyPatch) {
    fn set<T: Clone>(field: &mut T, value: Option<&T>) {
        if let Some(value) = value {
            field.clone_from(value);
        }
    }
    set(&mut policy.request_queue_limit, patch.request_queue_limit.as_ref());
    set(&mut policy.request_deadline_ms, patch.request_deadline_ms.as_ref());
    set(&mut policy.request_deadline_limit_ms, patch.request_deadline_limit_ms.as_ref());
    set(&mut policy.retry_budget_permille, patch.retry_budget_permille.as_ref());
    set(&mut policy.long_share_permille, patch.long_share_permille.as_ref());
    set(&mut policy.max_task_attempts, patch.max_task_attempts.as_ref());
    set(&mut policy.accepts_work, patch.accepts_work.as_ref());
    if patch.team_quota.is_some() {
        policy.team_quota = patch.team_quota;
    }
}
