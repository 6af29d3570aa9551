//! Single systems over a holder's tables.

mod calls;
mod claims;
mod declared;
mod engage;
mod fitness;
mod follow;
mod lives;
mod placement;
mod recording;
mod runs;
mod support;
