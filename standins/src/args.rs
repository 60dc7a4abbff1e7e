//! Command-line options of the stand-ins: `--name value` pairs.

use std::collections::BTreeMap;
use std::process::exit;
use std::str::FromStr;

use lexopt::Arg;

/// Options given on the command line, by name.
pub struct Args {
    values: BTreeMap<String, String>,
}

impl Args {
    /// Parses the command line; prints an error and exits with 2 if it is malformed.
    #[must_use]
    pub fn parse() -> Self {
        Self::read().unwrap_or_else(|error| fail(&error.to_string()))
    }

    fn read() -> Result<Self, lexopt::Error> {
        let mut parser = lexopt::Parser::from_env();
        let mut values = BTreeMap::new();
        while let Some(arg) = parser.next()? {
            let Arg::Long(name) = arg else {
                return Err(arg.unexpected());
            };
            let name = name.to_owned();
            let value = parser.value()?.to_string_lossy().into_owned();
            values.insert(name, value);
        }
        Ok(Self { values })
    }

    /// Value of the option `name`, or `default` if it was not given; exits with 2 if the value
    /// does not parse.
    #[must_use]
    pub fn get<T: FromStr>(&self, name: &str, default: T) -> T {
        match self.values.get(name) {
            None => default,
            Some(text) => {
                text.parse().unwrap_or_else(|_| fail(&format!("--{name}: invalid value '{text}'")))
            }
        }
    }

    /// Address to listen on, from `--listen`.
    #[must_use]
    pub fn listen(&self) -> String {
        self.get("listen", "127.0.0.1:0".to_owned())
    }
}

fn fail(message: &str) -> ! {
    eprintln!("error: {message}");
    exit(2)
}
