//! A short run with random faults. For a long run use `coursestile-load chaos --seconds 600`.

use std::process::Command;

#[test]
fn guarantees_hold_under_random_faults() {
    let program = env!("CARGO_BIN_EXE_coursestile-load");
    let run = Command::new(program).args(["chaos", "--seconds", "24", "--seed", "5"]).output();
    let run = run.expect("the program starts");
    let text = String::from_utf8_lossy(&run.stdout);
    assert!(run.status.success(), "{text}{}", String::from_utf8_lossy(&run.stderr));
    println!("{text}");
}
