//! The verb `explain`.

use std::io::Read;
use std::process::ExitCode;

use coursestile::error::{Error, Result};
use coursestile::explain::{LogLine, request_timeline};

/// Prints the timeline of a request; fails if no line contains its id.
pub fn print_timeline(request: &str, logs: &[&str]) -> Result<ExitCode> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| Error::Usage(format!("standard input: {error}")))?;
        add_lines(&mut lines, "-", &text);
    }
    for log in logs {
        let text = std::fs::read_to_string(log);
        let text = text.map_err(|error| Error::Usage(format!("{log}: {error}")))?;
        add_lines(&mut lines, log, &text);
    }
    let timeline = request_timeline(&lines, request);
    if timeline.is_empty() {
        println!("no line names request {request}");
        return Ok(ExitCode::FAILURE);
    }
    for line in timeline {
        println!("{}", line.text);
    }
    Ok(ExitCode::SUCCESS)
}

fn add_lines(lines: &mut Vec<LogLine>, log: &str, text: &str) {
    for line in text.lines() {
        let number = lines.len();
        lines.extend(LogLine::parse(number, log, line));
    }
}
