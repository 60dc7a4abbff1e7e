//! Verbs that only read.

use std::process::ExitCode;
use std::time::Duration;

use coursestile::configlog::{ConfigEntry, ConfigState};
use coursestile::consul::Consul;
use coursestile::error::{Error, Result};
use coursestile::operator::read_config;
use coursestile::trace::Span;
use serde::Serialize;
use serde_json::Value;

use crate::args::{Args, usage_error};

/// Time within which a box has to answer.
const BOX_TIMEOUT: Duration = Duration::from_secs(2);

async fn read_state(args: &Args) -> Result<ConfigState> {
    let platform = Consul::new(args.require_platform_url()?);
    Ok(read_config(&platform).await?.1)
}

fn print_json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("error: {error}"),
    }
}

/// Lists all objects of a kind, for example all accounts.
pub async fn list(args: &Args, kind: &str) -> Result<()> {
    let state = read_state(args).await?;
    match (kind, args.json) {
        ("template", true) => print_json(&state.templates),
        ("account", true) => print_json(&state.accounts),
        ("model", true) => print_json(&state.models),
        ("upstream", true) => print_json(&state.leaving),
        ("template", false) => {
            println!("{:<20} {:>8} {:>8} {:>12}", "TEMPLATE", "SHARE", "PRIORITY", "KEEP FOR s");
            for (name, terms) in &state.templates {
                let (share, priority, keep) = (terms.share, terms.priority, terms.keep_for_s);
                println!("{name:<20} {share:>8} {priority:>8} {keep:>12}");
            }
        }
        ("account", false) => {
            println!("{:<20} {:<20} {:>8} {:>5}", "ACCOUNT", "TEMPLATE", "SHARE", "KEYS");
            for (name, account) in &state.accounts {
                let template = state.templates.get(&account.template).cloned().unwrap_or_default();
                let share = account.terms(&template).share;
                let keys = account.key_hashes.len();
                println!("{name:<20} {:<20} {share:>8} {keys:>5}", account.template);
            }
        }
        ("model", false) => {
            state.models.iter().for_each(|(model, version)| println!("{model:<20} {version}"));
        }
        _ => state.leaving.iter().for_each(|name| println!("{name:<20} leaving")),
    }
    Ok(())
}

/// Shows one object.
pub async fn object(args: &Args, kind: &str, name: &str) -> Result<()> {
    let state = read_state(args).await?;
    let missing = || Error::Usage(format!("there is no {kind} '{name}'"));
    if kind == "template" {
        print_json(state.templates.get(name).ok_or_else(missing)?);
    } else {
        print_json(state.accounts.get(name).ok_or_else(missing)?);
    }
    Ok(())
}

/// Shows the changes after a revision.
pub async fn history(args: &Args, after_revision: u64) -> Result<()> {
    let platform = Consul::new(args.require_platform_url()?);
    let (head, _) = read_config(&platform).await?;
    let entries = head.entries.iter().filter(|entry| entry.revision > after_revision);
    let entries: Vec<&ConfigEntry> = entries.collect();
    if args.json {
        print_json(&entries);
        return Ok(());
    }
    if after_revision < head.base_revision {
        println!("(changes up to revision {} are in the base)", head.base_revision);
    }
    for entry in entries {
        let proposal = &entry.proposal;
        let (revision, operator) = (entry.revision, &proposal.operator);
        println!("{revision:>6} {:>14} {operator:<12} {:?}", proposal.at_ms, proposal.change);
    }
    Ok(())
}

async fn fetch_json(address: &str, path: &str) -> Option<Value> {
    let request = reqwest::Client::new().get(format!("http://{address}{path}"));
    request.timeout(BOX_TIMEOUT).send().await.ok()?.json().await.ok()
}

fn box_addresses(args: &Args) -> Result<&[String]> {
    if args.boxes.is_empty() {
        return Err(usage_error("--boxes is needed"));
    }
    Ok(&args.boxes)
}

/// Shows the status of each box; fails if a box does not answer.
pub async fn status(args: &Args) -> Result<ExitCode> {
    let mut all = Vec::new();
    let mut unanswered = 0;
    if !args.json {
        println!(
            "{:<22} {:<10} {:>6} {:>9} {:>8} {:>8} {:>8} {:>10}",
            "BOX", "HALL", "READY", "REVISION", "MEMBERS", "STREAMS", "KEYS", "VIOLATIONS"
        );
    }
    for address in box_addresses(args)? {
        let Some(status) = fetch_json(address, "/status").await else {
            unanswered += 1;
            eprintln!("{address}: no answer");
            continue;
        };
        if !args.json {
            let text = |key: &str| match &status[key] {
                Value::String(text) => text.clone(),
                value => value.to_string(),
            };
            let members = status["members"].as_array().map_or(0, Vec::len);
            println!(
                "{:<22} {:<10} {:>6} {:>9} {:>8} {:>8} {:>8} {:>10}",
                text("name"),
                text("hall"),
                text("ready"),
                text("revision"),
                members,
                text("streams"),
                text("ledger_keys"),
                text("violations")
            );
        }
        all.push(status);
    }
    if args.json {
        print_json(&all);
    }
    Ok(if unanswered == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Shows the revision of each box; fails if one does not answer or has an older revision.
pub async fn in_force(args: &Args, revision: u64) -> Result<ExitCode> {
    let mut behind = 0;
    for address in box_addresses(args)? {
        let status = fetch_json(address, "/status").await;
        let box_revision = status.and_then(|status| status["revision"].as_u64());
        let is_in_force = box_revision.is_some_and(|box_revision| box_revision >= revision);
        behind += u8::from(!is_in_force);
        match box_revision {
            Some(box_revision) => println!("{address}: revision {box_revision}"),
            None => println!("{address}: no answer"),
        }
    }
    Ok(if behind == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Shows a request's hops over all boxes, in order of time.
pub async fn trace(args: &Args, id: &str) -> Result<()> {
    let mut spans: Vec<Span> = Vec::new();
    for address in box_addresses(args)? {
        let response = fetch_json(address, &format!("/traces/{id}")).await;
        spans.extend(
            response.and_then(|response| serde_json::from_value(response).ok()).unwrap_or_else(
                || {
                    eprintln!("{address}: no answer");
                    Vec::new()
                },
            ),
        );
    }
    spans.sort_by_key(|span| (span.started_at_us, span.hop));
    if args.json {
        print_json(&spans);
        return Ok(());
    }
    let first_us = spans.first().map_or(0, |span| span.started_at_us);
    println!("{:>10} {:>10}  {:<8} {:<10} NOTE", "START us", "TOOK us", "HOP", "BOX");
    for span in &spans {
        let start_us = span.started_at_us - first_us;
        let took_us = span.ended_at_us - span.started_at_us;
        let hop = format!("{:?}", span.hop);
        println!("{start_us:>10} {took_us:>10}  {hop:<8} {:<10} {}", span.entry_box, span.note);
    }
    Ok(())
}
