//! Single systems over a holder's tables.

mod declared;
mod holder;
mod support;
