//! Stand-in for the network between two data halls.

use coursestile_standins::args::Args;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let text: String = args.get("pairs", String::new());
    let pairs = text.split(',').filter_map(|pair| pair.split_once('>'));
    let pairs = pairs.map(|(from, to)| (from.to_owned(), to.to_owned())).collect();
    coursestile_standins::wire::run(&args.listen(), pairs).await
}
