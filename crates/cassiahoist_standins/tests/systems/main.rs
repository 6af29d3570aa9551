//! Tests of single systems on the tables of one daemon.

mod backlog;
mod calls;
mod claims;
mod crashes;
mod decision_lines;
mod declarations;
mod engagement;
mod handled_starts;
mod host_restarts;
mod late_ticks;
mod link_budget;
mod load;
mod pace;
mod permission;
mod placement;
mod polls;
mod recording;
mod runs;
mod slow_holder;
mod slow_reports;
mod stalls;
mod start_relays;
mod store_watch;
mod support;
mod unsent_orders;
mod weak_holder;
