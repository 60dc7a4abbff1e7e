//! Stand-in for a network path, such as that between two data halls; see
//! `coursestile_standins::wire`. `--pairs` takes `FROM>TO` addresses, separated by commas.

use coursestile_standins::args::Args;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let text: String = args.get("pairs", String::new());
    let pairs = text.split(',').filter_map(|pair| pair.split_once('>'));
    let pairs = pairs.map(|(from, to)| (from.to_owned(), to.to_owned())).collect();
    coursestile_standins::wire::run(&args.listen(), pairs).await
}
