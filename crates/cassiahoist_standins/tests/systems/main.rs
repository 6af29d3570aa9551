//! Single systems over a holder's tables.

mod declared;
mod follow;
mod holder;
mod support;
