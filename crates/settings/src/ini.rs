//! INI files as sections of keys and values with their line numbers.

use std::fmt;
use std::path::Path;
use std::sync::Arc;

use ini_core::{Item, Parser};

use crate::values::unknown;

/// An error in a settings file and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    pub file: Arc<str>,
    /// Line number from 1; 0 for the whole file.
    pub line: u32,
    pub section: String,
    /// Empty for the whole section.
    pub key: String,
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " '{}'", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for SettingsError {}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: String,
    pub value: String,
    pub line: u32,
}

/// A section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    pub file: Arc<str>,
    pub name: String,
    pub line: u32,
    pub entries: Vec<Entry>,
}

impl Section {
    /// The kind and the own name of the section: `world late list` is of kind `world`.
    pub fn kind(&self) -> (&str, &str) {
        let (kind, name) = self.name.split_once(char::is_whitespace).unwrap_or((&self.name, ""));
        (kind, name.trim())
    }

    /// The entry of a key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// An error of the whole section.
    pub fn error(&self, message: impl Into<String>) -> SettingsError {
        let (file, section) = (self.file.clone(), self.name.clone());
        SettingsError { file, line: self.line, section, key: String::new(), message: message.into() }
    }

    /// An error of a key, or of the section if the key is missing.
    pub fn error_at(&self, key: &str, message: impl Into<String>) -> SettingsError {
        let line = self.entry(key).map_or(self.line, |entry| entry.line);
        SettingsError { line, key: key.into(), ..self.error(message) }
    }

    /// Parses the value of a key; errors contain file, line and key.
    pub fn value<T>(
        &self,
        key: &str,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Result<Option<T>, SettingsError> {
        let read = self.entry(key).map(|entry| read(&entry.value));
        read.transpose().map_err(|message| self.error_at(key, message))
    }

    /// Rejects keys that are not in `known`; known names that end with a dot or a blank are prefixes.
    pub fn only(&self, known: &[&str]) -> Result<(), SettingsError> {
        let fits = |key: &str| {
            known.iter().any(|k| if k.ends_with(['.', ' ']) { key.starts_with(k) } else { key == *k })
        };
        match self.entries.iter().find(|entry| !fits(&entry.key)) {
            None => Ok(()),
            Some(entry) => Err(self.error_at(&entry.key, unknown("key", &entry.key, known.iter().copied()))),
        }
    }

    /// The section as text.
    pub fn text(&self) -> String {
        let lines = self.entries.iter().map(|entry| format!("{} = {}\n", entry.key, entry.value));
        format!("[{}]\n{}", self.name, lines.collect::<String>())
    }
}

/// A parsed file.
#[derive(Clone, Debug)]
pub struct Ini {
    pub file: Arc<str>,
    pub sections: Vec<Section>,
}

impl Ini {
    /// Reads and parses a file.
    pub fn open(path: &Path) -> Result<Ini, SettingsError> {
        let file: Arc<str> = path.display().to_string().into();
        match std::fs::read_to_string(path) {
            Ok(text) => Ini::read(file, &text),
            Err(error) => Err(file_error(file, error.to_string())),
        }
    }

    /// Parses text; `file` is used in errors.
    pub fn read(file: impl Into<Arc<str>>, text: &str) -> Result<Ini, SettingsError> {
        let file = file.into();
        let mut sections: Vec<Section> = Vec::new();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            let fault = |message: &str| SettingsError { line, ..file_error(file.clone(), message) };
            match item {
                Item::Section("") => return Err(fault("a section without a name")),
                Item::Section(name) => {
                    if let Some(other) = sections.iter().find(|section| section.name == name) {
                        return Err(fault(&format!("[{name}] is already defined on line {}", other.line)));
                    }
                    let (file, name) = (file.clone(), name.into());
                    sections.push(Section { file, name, line, entries: Vec::new() });
                }
                Item::Property(key, _) if key.starts_with('#') => {}
                Item::Property(key, None) => {
                    return Err(fault(&format!("'{key}' is neither a section nor 'key = value'")));
                }
                Item::Property(key, Some(value)) => {
                    let Some(section) = sections.last_mut() else {
                        return Err(fault(&format!("'{key}' precedes the first section")));
                    };
                    let (key, value) = (key.to_string(), without_comment(value).to_string());
                    if section.entry(&key).is_some() {
                        return Err(section.error_at(&key, format!("defined again on line {line}")));
                    }
                    section.entries.push(Entry { key, value, line });
                }
                Item::Error(text) => return Err(fault(&format!("'{text}' is not a section header"))),
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
        Ok(Ini { file, sections })
    }
}

fn file_error(file: Arc<str>, message: impl Into<String>) -> SettingsError {
    SettingsError { file, line: 0, section: String::new(), key: String::new(), message: message.into() }
}

/// Removes a comment that starts with a semicolon after a blank.
fn without_comment(value: &str) -> &str {
    let end = value.match_indices(';').find(|(at, _)| *at == 0 || value[..*at].ends_with([' ', '\t']));
    value[..end.map_or(value.len(), |(at, _)| at)].trim()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sections_keys_and_lines() {
        let text = "; first\n\n[world a b]\nx = 1 ; one\n# no\ny=p;q\r\n[z]\n";
        let ini = Ini::read("f.ini", text).expect("it is well");
        let world = &ini.sections[0];
        assert_eq!((world.kind(), world.line, ini.sections[1].line), (("world", "a b"), 3, 7));
        let entries: Vec<_> =
            world.entries.iter().map(|e| (e.key.as_str(), e.value.as_str(), e.line)).collect();
        assert_eq!(entries, [("x", "1", 4), ("y", "p;q", 6)]);
        assert_eq!(world.text(), "[world a b]\nx = 1\ny = p;q\n");
    }

    #[test]
    fn faults_tell_file_line_and_key() {
        for (text, message) in [
            ("a = 1", "f.ini:1: 'a' precedes the first section"),
            ("[a]\nb", "f.ini:2: 'b' is neither a section nor 'key = value'"),
            ("[a\n", "f.ini:1: '[a' is not a section header"),
            ("[]", "f.ini:1: a section without a name"),
            ("[a]\n[a]", "f.ini:2: [a] is already defined on line 1"),
            ("[a]\nb=1\n\nb=2", "f.ini:2 [a] 'b': defined again on line 4"),
        ] {
            assert_eq!(Ini::read("f.ini", text).expect_err(text).to_string(), message);
        }
        let ini = Ini::read("f.ini", "[a]\nshrad = 1\n").expect("it is well");
        let said = ini.sections[0].only(&["shard", "server."]).expect_err("a misspelt key").to_string();
        assert_eq!(said, "f.ini:2 [a] 'shrad': no such key; the nearest is 'shard'");
        assert!(ini.sections[0].only(&["shr"]).is_err() && ini.sections[0].only(&["shrad"]).is_ok());
    }
}
