//! Stand-in for a model engine; see `coursestile_standins::engine`.

use coursestile_standins::args::Args;
use coursestile_standins::engine::{EngineConfig, run};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    run(EngineConfig {
        listen: args.listen(),
        model: args.get("model", "summary".to_owned()),
        version: args.get("version", "v1".to_owned()),
        batch_slots: args.get("batch-slots", 8),
        step_us: args.get("step-us", 4000),
        prefill_token_us: args.get("prefill-token-us", 30),
        chunk_tokens: args.get("chunk-tokens", 1024),
        cache_tokens: args.get("cache-tokens", 65_536),
        kv_token_bytes: args.get("kv-token-bytes", 20_000),
        load_ms: args.get("load-ms", 800),
        lag_ms: args.get("lag-ms", 300),
        check_orders: args.get("check-orders", true),
        check_version: args.get("check-version", true),
    })
    .await
}
