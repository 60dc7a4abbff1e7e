//! Reads settings from an INI file.
//!
//! Errors do not end the reading: each is collected with its line as a finding, and all
//! findings are reported together.

use std::fmt::{Display, Write as _};
use std::str::FromStr;

use ini::{Ini, ParseOption, Properties};

use crate::error::{Error, Result};

/// An error in the settings, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File that it is in.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}

impl Display for Finding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.text)
    }
}

/// An INI file and the findings in it.
pub struct IniFile<'a> {
    file: &'a str,
    text: &'a str,
    ini: Ini,
    findings: Vec<Finding>,
}

impl<'a> IniFile<'a> {
    /// Parses `text`, the content of `file`. A text that cannot be parsed is treated as
    /// empty and adds a finding.
    #[must_use]
    pub fn read(file: &'a str, text: &'a str) -> Self {
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let mut findings = Vec::new();
        let ini = Ini::load_from_str_opt(text, option).unwrap_or_else(|error| {
            let text = format!("invalid syntax: {}", error.msg);
            findings.push(Finding { file: file.to_owned(), line: error.line.max(1), text });
            Ini::new()
        });
        Self { file, text, ini, findings }
    }

    /// Returns the settings if there are no findings.
    ///
    /// # Errors
    /// Fails with [`Error::Settings`], which lists all findings.
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

    /// Adds a finding for each unknown section or key, most of which are typing errors.
    /// `known_keys` returns the keys of a section; none for an unknown section.
    pub fn check_known_names(&mut self, known_keys: impl Fn(&str) -> &'static [&'static str]) {
        let mut found = Vec::new();
        for (section, properties) in &self.ini {
            let Some(section) = section else {
                for (key, _) in properties {
                    found.push(("", key, format!("'{key}' precedes the first section")));
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

    /// The sections, in the order of the file.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &Properties)> {
        self.ini.iter().filter_map(|(section, properties)| Some((section?, properties)))
    }

    /// The value of a key; `None` when it is absent or empty.
    #[must_use]
    pub fn text(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key).filter(|value| !value.is_empty())
    }

    /// The value of a required key. If it is absent, adds a finding and returns the
    /// default of its type.
    pub fn required<T: FromStr + Default>(&mut self, section: &str, key: &str) -> T {
        if self.text(section, key).is_none() {
            self.add_finding(section, "", format!("[{section}] has no {key}"));
            return T::default();
        }
        self.optional(section, key, T::default())
    }

    /// The value of an optional key, or `default` when it is absent, empty or invalid; an
    /// invalid value adds a finding.
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

    /// The items of a comma-separated list.
    #[must_use]
    pub fn list(&self, section: &str, key: &str) -> Vec<String> {
        comma_separated(self.text(section, key).unwrap_or_default())
    }

    /// Adds a finding at the line of a key, or of the section header when `key` is empty.
    pub fn add_finding(&mut self, section: &str, key: &str, text: String) {
        let line = line_of(self.text, section, key);
        self.findings.push(Finding { file: self.file.to_owned(), line, text });
    }
}

/// The items of `text`, a comma-separated list.
#[must_use]
pub fn comma_separated(text: &str) -> Vec<String> {
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(str::to_owned).collect()
}

/// Line of a key in a section, or of the section header when the key is not found.
fn line_of(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    let mut header_line = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            current = name.trim();
            if current == section {
                header_line = index + 1;
            }
        }
        let line_key = line.split(['=', ':']).next().map(str::trim);
        if current == section && !key.is_empty() && line_key == Some(key) {
            return index + 1;
        }
    }
    header_line
}
