//! Runs one stand-in: `cargo run --example standin -- store --listen 127.0.0.1:7000`.

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let stand_in = cassiahoist_standins::cli::parser().run();
    cassiahoist_standins::cli::run(stand_in).await
}
