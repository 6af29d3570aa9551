//! Single systems over a holder's tables.

mod declared;
mod engage;
mod follow;
mod holder;
mod support;
