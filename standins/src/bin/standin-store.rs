//! Stand-in for a context store; see `coursestile_standins::store`.

use coursestile_standins::args::Args;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let memory = args.get("memory-bytes", 4_000_000_000);
    let disk = args.get("disk-bytes", 16_000_000_000);
    let rate = args.get("bytes-per-ms", 2_000_000);
    coursestile_standins::store::run(&args.listen(), memory, disk, rate).await
}
