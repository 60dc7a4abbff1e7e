//! Verbs that change the configuration or stop a box.

use std::collections::BTreeMap;

use coursestile::account::{Account, Overrides, Terms, Weights, key_hash};
use coursestile::clock::now_ms;
use coursestile::configlog::{Change, ChangeProposal, ConfigState};
use coursestile::consul::Consul;
use coursestile::error::{Error, Result};
use coursestile::operator::{read_config, submit_proposal};

use crate::args::{Args, parse_number, usage_error};

/// Submits the configuration change that `words` describe.
pub async fn apply_change(args: &Args, words: &[&str]) -> Result<()> {
    let platform = Consul::new(args.require_platform_url()?);
    let (_, state) = read_config(&platform).await?;
    let change = parse_change(args, &state, words)?;
    let object = change.object();
    let proposal = ChangeProposal {
        id: args.id.clone().unwrap_or_else(|| format!("{:032x}", fastrand::u128(..))),
        operator: args.operator.clone(),
        at_ms: now_ms(),
        expects_revision: state.object_revision(&object),
        change,
    };
    let revision = submit_proposal(&platform, &proposal).await?;
    if args.json {
        println!("{}", serde_json::json!({ "revision": revision, "id": proposal.id }));
    } else {
        println!("revision {revision}: {object} changed (id {})", proposal.id);
    }
    Ok(())
}

fn parse_change(args: &Args, state: &ConfigState, words: &[&str]) -> Result<Change> {
    let owned = |name: &str| name.to_owned();
    match words {
        ["template", "set", name] => {
            let old = state.templates.get(*name).cloned().unwrap_or_default();
            Ok(Change::SetTemplate { name: owned(name), terms: update_template(args, &old)? })
        }
        ["template", "remove", name] => Ok(Change::RemoveTemplate { name: owned(name) }),
        ["account", "set", name] => {
            let old = state.accounts.get(*name).cloned().unwrap_or_default();
            Ok(Change::SetAccount { name: owned(name), account: update_account(args, old)? })
        }
        ["account", "remove", name] => Ok(Change::RemoveAccount { name: owned(name) }),
        ["model", "set", model, version] => {
            Ok(Change::SetModel { model: owned(model), version: owned(version) })
        }
        ["upstream", "leave", name] => {
            Ok(Change::SetLeaving { upstream: owned(name), leaving: true })
        }
        ["upstream", "stay", name] => {
            Ok(Change::SetLeaving { upstream: owned(name), leaving: false })
        }
        _ => Err(usage_error(format!("there is no verb '{}'", words.join(" ")))),
    }
}

fn update_template(args: &Args, old: &Terms) -> Result<Terms> {
    let template_overrides = merge_overrides(args, Overrides::default())?;
    Ok(Account { overrides: template_overrides, ..Account::default() }.terms(old))
}

fn update_account(args: &Args, mut account: Account) -> Result<Account> {
    if let Some(template) = &args.template {
        account.template.clone_from(template);
    }
    account.overrides = merge_overrides(args, account.overrides)?;
    if let Some(key) = &args.drop_key {
        let hash = key_hash(key);
        let before = account.key_hashes.len();
        account.key_hashes.retain(|known_hash| *known_hash != hash);
        if account.key_hashes.len() == before {
            return Err(Error::Usage("the account has no such key to drop".to_owned()));
        }
    }
    account.key_hashes.extend(args.add_key.as_deref().map(key_hash));
    account.key_hashes.dedup();
    Ok(account)
}

fn merge_overrides(args: &Args, old: Overrides) -> Result<Overrides> {
    let terms = &args.terms;
    let weights = terms.weights.as_deref().map(parse_weights).transpose()?;
    let models = terms.models.as_deref().map(parse_models);
    Ok(Overrides {
        share: terms.share.or(old.share),
        priority: terms.priority.or(old.priority),
        keep_for_s: terms.keep_for_s.or(old.keep_for_s),
        weights: weights.or(old.weights),
        models: models.or(old.models),
    })
}

fn parse_weights(text: &str) -> Result<Weights> {
    let parts: Vec<_> = text.split(',').collect();
    let [first_token, recompute, link] = parts.as_slice() else {
        return Err(usage_error("weights: three numbers are needed"));
    };
    Ok(Weights {
        first_token: parse_number("weights", first_token)?,
        recompute: parse_number("weights", recompute)?,
        link: parse_number("weights", link)?,
    })
}

fn parse_models(text: &str) -> BTreeMap<String, Vec<String>> {
    let items = text.split(',').filter(|item| !item.is_empty());
    items
        .map(|item| {
            let (model, versions) = item.split_once('=').unwrap_or((item, ""));
            let versions = versions.split(':').filter(|version| !version.is_empty());
            (model.to_owned(), versions.map(str::to_owned).collect())
        })
        .collect()
}

/// Asks a box to stop as planned.
pub async fn drain_box(address: &str) -> Result<()> {
    let response = reqwest::Client::new().post(format!("http://{address}/drain")).send().await;
    match response {
        Ok(response) if response.status().is_success() => {
            println!("{address} stops as planned");
            Ok(())
        }
        Ok(response) => Err(Error::Usage(format!("{address}: {}", response.status()))),
        Err(error) => Err(Error::Usage(format!("{address}: {error}"))),
    }
}
