//! Stand-ins, clients and checks of the scripts: `harness CASE RECORD`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod crash;
mod framing;
mod http;
mod json;
mod site;
mod slow_reader;
mod store;
mod surplus;
mod sys;
mod wall;

use std::panic::catch_unwind;
use std::process::ExitCode;

use site::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else { return ExitCode::from(2) };
    if case == "workers" {
        crash::serve(path);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(path);
    let broken = catch_unwind(|| match case.as_str() {
        "slow-reader" => slow_reader::run(&record, trouble),
        "crash" => crash::run(&record, trouble),
        "framing" => framing::run(&record, trouble),
        "surplus" => surplus::run(&record, trouble),
        "wall" => wall::run(&record, trouble),
        _ => panic!("no such case"),
    });
    let (text, code) = match broken {
        Ok(false) => ("the rule held", 0),
        Ok(true) => ("the rule was broken", 1),
        Err(_) => ("the case could not run", 2),
    };
    record.line(&format!("{text} (trouble: {trouble})"));
    ExitCode::from(code)
}
