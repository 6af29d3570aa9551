//! Keys of table rows.
//!
//! They are defined apart from the tables, so that tables can refer to each other without module cycles. A
//! key stays unique after its row is removed, so that a late answer finds no wrong row.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a row in the host table.
    pub struct HostKey;
    /// Key of a row in the job table.
    pub struct JobKey;
    /// Key of a row in the step table.
    pub struct StepKey;
    /// Key of a row in the task table.
    pub struct TaskKey;
    /// Key of a row in the run table.
    pub struct RunKey;
}
