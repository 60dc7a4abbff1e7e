//! Command-line arguments of the operators' tool.

use std::str::FromStr;

use coursestile::error::{Error, Result};
use lexopt::prelude::*;

/// Text of `--help`.
pub const HELP: &str = "\
Operates a coursestile fleet.

Usage: coursestile [options] VERB ...

Verbs:
  template list | show NAME | set NAME ... | remove NAME
  account  list | show NAME | set NAME ... | remove NAME
  model    list | set MODEL VERSION
  upstream list | leave NAME | stay NAME
  history             Changes that the platform still holds
  diff REVISION       Changes after a revision
  in-force REVISION   Whether a revision is in force on all boxes
  status              What each box says of itself
  trace ID            A request's hops over all boxes
  explain ID [LOG...] A request's story from the logs of gateways
  box drain ADDRESS   Stop a box as planned
  version             Print the version

Options:
      --platform URL    The platform's service (or COURSESTILE_PLATFORM)
      --boxes A,B,...   Operators' addresses of boxes (or COURSESTILE_BOXES)
      --operator NAME   Who makes a change (default: USER)
      --id ID           Id of the change, to send the same one again
      --json            Print JSON
  -h, --help            Print this help, or that of a verb

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another operator was faster.
";

const TEMPLATE_HELP: &str = "\
Usage: coursestile template list | show NAME | set NAME [options] | remove NAME

Options of set; what is left out stays as it is:
      --share NUMBER          Share of the fleet; 0 shuts out
      --priority N            From -2 (first) to 2 (last)
      --keep-for-s SECONDS    How long context is worth keeping
      --weights F,R,L         Weights of first token, recompute and link
      --models M[=V:V],...    Models, with the versions allowed (none: all)
";

const ACCOUNT_HELP: &str = "\
Usage: coursestile account list | show NAME | set NAME [options] | remove NAME

Options of set; what is left out stays as it is:
      --template NAME         Template that the account is made from
      --add-key KEY           API key to accept
      --drop-key KEY          API key to refuse from now on
      --share, --priority, --keep-for-s, --weights, --models
                              What differs from the template; see 'template'
";

const MODEL_HELP: &str = "\
Usage: coursestile model list | set MODEL VERSION

Sets the weight version for new requests; each hall loads it, three engines at
a time. Requests that run go on with their own.
";

const UPSTREAM_HELP: &str = "\
Usage: coursestile upstream list | leave NAME | stay NAME

An upstream that leaves gets no new work; what runs there ends.
";

const READ_HELP: &str = "\
Usage: coursestile history | diff REVISION | in-force REVISION | status | trace ID

'in-force' exits with 1 while a box serves an older revision. 'status', 'trace'
and 'in-force' ask the boxes given by --boxes.
";

const EXPLAIN_HELP: &str = "\
Usage: coursestile explain ID [LOG...]

Prints the lines that tell what became of a request, in order: its own, and
those by which its boxes changed what they believe of its upstreams, of the
configuration and of their dependencies in the 15 s before. Reads standard input
when no log is named.
";

const BOX_HELP: &str = "\
Usage: coursestile box drain ADDRESS

ADDRESS is the box's operators' address. The box finishes what runs, gives its
ledger to a peer and ends.
";

/// Help text of a verb.
pub fn help_for(verb: &str) -> &'static str {
    match verb {
        "template" => TEMPLATE_HELP,
        "account" => ACCOUNT_HELP,
        "model" => MODEL_HELP,
        "upstream" => UPSTREAM_HELP,
        "history" | "diff" | "in-force" | "status" | "trace" => READ_HELP,
        "explain" => EXPLAIN_HELP,
        "box" => BOX_HELP,
        _ => HELP,
    }
}

/// Account terms given on the command line.
#[derive(Debug, Default)]
pub struct TermArgs {
    pub share: Option<f64>,
    pub priority: Option<i8>,
    pub keep_for_s: Option<u64>,
    pub weights: Option<String>,
    pub models: Option<String>,
}

/// Parsed command line.
#[derive(Debug, Default)]
pub struct Args {
    pub positional: Vec<String>,
    pub platform_url: String,
    pub boxes: Vec<String>,
    pub operator: String,
    pub id: Option<String>,
    pub json: bool,
    pub help: bool,
    pub terms: TermArgs,
    pub template: Option<String>,
    pub add_key: Option<String>,
    pub drop_key: Option<String>,
}

/// Creates a usage error that refers to `--help`.
pub fn usage_error(text: impl std::fmt::Display) -> Error {
    Error::Usage(format!("{text}; see --help"))
}

/// Parses a number; `name` says which one in the error message.
pub fn parse_number<T: FromStr>(name: &str, text: &str) -> Result<T> {
    text.parse().map_err(|_| usage_error(format!("{name}: '{text}' is no such number")))
}

fn split_list(text: &str) -> Vec<String> {
    text.split(',').filter(|item| !item.is_empty()).map(str::to_owned).collect()
}

impl Args {
    /// Parses the command line; `COURSESTILE_PLATFORM`, `COURSESTILE_BOXES` and `USER` give
    /// defaults.
    pub fn parse() -> Result<Self> {
        let env_var = |name| std::env::var(name).unwrap_or_default();
        let mut args = Self {
            platform_url: env_var("COURSESTILE_PLATFORM"),
            boxes: split_list(&env_var("COURSESTILE_BOXES")),
            operator: env_var("USER"),
            ..Self::default()
        };
        let mut parser = lexopt::Parser::from_env();
        while let Some(arg) = parser.next().map_err(usage_error)? {
            match arg {
                Value(word) => args.positional.push(word.to_string_lossy().into_owned()),
                Short('h') | Long("help") => args.help = true,
                Long("json") => args.json = true,
                Long(name) => {
                    let name = name.to_owned();
                    let value = parser.value().map_err(usage_error)?;
                    args.set(&name, value.to_string_lossy().into_owned())?;
                }
                option @ Short(_) => return Err(usage_error(option.unexpected())),
            }
        }
        Ok(args)
    }

    fn set(&mut self, name: &str, value: String) -> Result<()> {
        match name {
            "platform" => value.trim_end_matches('/').clone_into(&mut self.platform_url),
            "boxes" => self.boxes = split_list(&value),
            "operator" => self.operator = value,
            "id" => self.id = Some(value),
            "share" => self.terms.share = Some(parse_number(name, &value)?),
            "priority" => self.terms.priority = Some(parse_number(name, &value)?),
            "keep-for-s" => self.terms.keep_for_s = Some(parse_number(name, &value)?),
            "weights" => self.terms.weights = Some(value),
            "models" => self.terms.models = Some(value),
            "template" => self.template = Some(value),
            "add-key" => self.add_key = Some(value),
            "drop-key" => self.drop_key = Some(value),
            _ => return Err(usage_error(format!("there is no option --{name}"))),
        }
        Ok(())
    }

    /// URL of the platform, which must have been given.
    pub fn require_platform_url(&self) -> Result<&str> {
        if self.platform_url.is_empty() {
            return Err(usage_error("--platform is needed"));
        }
        Ok(&self.platform_url)
    }
}
