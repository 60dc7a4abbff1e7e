//! Stand-in for a worker of a plain service; see `coursestile_standins::service`.

use coursestile_standins::args::Args;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let record = Some(args.get("record", String::new())).filter(|path| !path.is_empty());
    let record = record.map(std::path::PathBuf::from);
    coursestile_standins::service::run(&args.listen(), args.get("work-ms", 3), record).await
}
