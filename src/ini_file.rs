//! An INI file of settings, read with every finding kept.
//!
//! Settings are checked whole: each fault is collected with its line, and all
//! are reported together.

use std::fmt::{Display, Write as _};
use std::str::FromStr;

use ini::{Ini, ParseOption, Properties};

use crate::error::{Error, Result};

/// A fault in the settings, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File that it is in.
    pub file: String,
    /// Line, from 1 on.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}

impl Display for Finding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.text)
    }
}

/// Reads one file and collects what is wrong with it.
pub struct IniFile<'a> {
    file: &'a str,
    text: &'a str,
    ini: Ini,
    findings: Vec<Finding>,
}

impl<'a> IniFile<'a> {
    /// Reads the text of `file`; one that cannot be read counts as empty and
    /// is a finding.
    #[must_use]
    pub fn read(file: &'a str, text: &'a str) -> Self {
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let mut findings = Vec::new();
        let ini = Ini::load_from_str_opt(text, option).unwrap_or_else(|error| {
            let text = format!("cannot be read: {}", error.msg);
            findings.push(Finding { file: file.to_owned(), line: error.line.max(1), text });
            Ini::new()
        });
        Self { file, text, ini, findings }
    }

    /// Fails with every finding, when there is one.
    ///
    /// # Errors
    /// Fails with [`Error::Settings`].
    pub fn finish<T>(self, settings: T) -> Result<T> {
        let mut findings = self.findings;
        if findings.is_empty() {
            return Ok(settings);
        }
        findings.sort_by_key(|finding| finding.line);
        let mut report = String::new();
        for finding in &findings {
            let _ = write!(report, "\n{finding}");
        }
        Err(Error::Settings(findings.len(), report))
    }

    /// Finds sections and keys that mean nothing, which are mostly typing
    /// errors; `known_keys` gives the keys of a section.
    pub fn check_known_names(&mut self, known_keys: impl Fn(&str) -> &'static [&'static str]) {
        let mut found = Vec::new();
        for (section, properties) in &self.ini {
            let Some(section) = section else {
                for (key, _) in properties {
                    found.push(("", key, format!("'{key}' stands before the first section")));
                }
                continue;
            };
            let known = known_keys(section);
            if known.is_empty() {
                found.push((section, "", format!("section [{section}] is not known")));
                continue;
            }
            for (key, _) in properties.iter().filter(|(key, _)| !known.contains(key)) {
                found.push((section, key, format!("'{key}' is not known in [{section}]")));
            }
        }
        let found: Vec<_> = found
            .into_iter()
            .map(|(section, key, text)| (section.to_owned(), key.to_owned(), text))
            .collect();
        for (section, key, text) in found {
            self.add_finding(&section, &key, text);
        }
    }

    /// The sections, in order.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &Properties)> {
        self.ini.iter().filter_map(|(section, properties)| Some((section?, properties)))
    }

    /// The text of a key, `None` when it is absent or empty.
    #[must_use]
    pub fn text(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key).filter(|value| !value.is_empty())
    }

    /// A value that must be there.
    pub fn required<T: FromStr + Default>(&mut self, section: &str, key: &str) -> T {
        if self.text(section, key).is_none() {
            self.add_finding(section, "", format!("[{section}] has no {key}"));
            return T::default();
        }
        self.optional(section, key, T::default())
    }

    /// A value, or `default` when the key is absent or empty.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, default: T) -> T {
        let Some(value) = self.text(section, key) else {
            return default;
        };
        if let Ok(value) = value.parse() {
            return value;
        }
        let text = format!("{key}: '{value}' cannot be read");
        self.add_finding(section, key, text);
        default
    }

    /// The items of a list separated by commas.
    #[must_use]
    pub fn list(&self, section: &str, key: &str) -> Vec<String> {
        list(self.text(section, key).unwrap_or_default())
    }

    /// Adds a finding at a key, or at its section's head when `key` is empty.
    pub fn add_finding(&mut self, section: &str, key: &str, text: String) {
        let line = line_of(self.text, section, key);
        self.findings.push(Finding { file: self.file.to_owned(), line, text });
    }
}

/// The items of `text`, separated by commas.
#[must_use]
pub fn list(text: &str) -> Vec<String> {
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(str::to_owned).collect()
}

fn line_of(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    let mut head = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            current = name.trim();
            if current == section {
                head = index + 1;
            }
        }
        let own_key = line.split(['=', ':']).next().map(str::trim);
        if current == section && !key.is_empty() && own_key == Some(key) {
            return index + 1;
        }
    }
    head
}
