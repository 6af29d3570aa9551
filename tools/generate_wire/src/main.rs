//! Generates the committed code for messages between daemons; run by `tools/generate_wire.sh`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates/cassiahoist_wire");
    let descriptors = protox::compile(["peer.proto"], [wire.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(wire.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
