//! Traffic threads: callers, backend servers, peers and the platform.
//!
//! Everything here waits on sockets and turns bytes into messages for the control thread and back. Nothing here
//! decides; see [`work::serve_work`] for the one loop that carries out verdicts.

pub mod carry_out;
pub mod clock;
pub mod control_link;
pub mod door;
pub mod host_list;
pub mod http_client;
pub mod operators;
pub mod peer_links;
pub mod peer_server;
pub mod store_client;
pub mod work;
pub mod worker_client;
