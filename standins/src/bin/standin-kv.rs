//! Stand-in for the platform's key-value service; see `coursestile_standins::kv`.

use coursestile_standins::args::Args;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let (reads, writes) = (args.get("reads-per-s", 2000), args.get("writes-per-s", 100));
    coursestile_standins::kv::run(&args.listen(), reads, writes).await
}
