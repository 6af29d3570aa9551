//! Single systems over a holder's tables.

mod calls;
mod declared;
mod engage;
mod follow;
mod lives;
mod placement;
mod recording;
mod runs;
mod support;
