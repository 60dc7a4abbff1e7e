//! Stand-in for a plain service.

use coursestile_standins::args::Args;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    coursestile_standins::service::run(&args.listen(), args.get("work-ms", 3)).await
}
