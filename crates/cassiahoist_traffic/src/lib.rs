//! Traffic threads: callers, hosts, peers and the platform.
//!
//! Traffic carries bytes and meets control only through [`control_link`] and [`carry_out`]. How messages are
//! spelled is left to the implementations of [`protocol`].

pub mod advice_client;
pub mod carry_out;
pub mod clock;
pub mod control_link;
pub mod declarations;
pub mod front_server;
pub mod host_client;
pub mod http_client;
pub mod operators;
pub mod peer_links;
pub mod peer_server;
pub mod protocol;
pub mod store_client;
