//! INI files as sections of keys and values that know their lines.

use std::fmt;
use std::path::Path;
use std::sync::Arc;

use ini_core::{Item, Parser};

use crate::values::unknown;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: Arc<str>,
    /// Counted from 1; 0: the file as a whole.
    pub line: u32,
    pub section: String,
    /// Empty: the section as a whole.
    pub key: String,
    pub message: String,
}

impl fmt::Display for Fault {
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

impl std::error::Error for Fault {}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: String,
    pub value: String,
    pub line: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    pub file: Arc<str>,
    pub name: String,
    pub line: u32,
    pub entries: Vec<Entry>,
}

impl Section {
    /// The section's kind and its own name: `world late list` is of the kind `world`.
    pub fn kind(&self) -> (&str, &str) {
        let (kind, name) = self.name.split_once(char::is_whitespace).unwrap_or((&self.name, ""));
        (kind, name.trim())
    }

    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// A fault of the section as a whole.
    pub fn fault(&self, message: impl Into<String>) -> Fault {
        let (file, section) = (self.file.clone(), self.name.clone());
        Fault { file, line: self.line, section, key: String::new(), message: message.into() }
    }

    /// A fault of one of its keys, or of the section where it lacks that key.
    pub fn fault_at(&self, key: &str, message: impl Into<String>) -> Fault {
        let line = self.entry(key).map_or(self.line, |entry| entry.line);
        Fault { line, key: key.into(), ..self.fault(message) }
    }

    /// What `read` makes of a key's value, with file, line and key in the message where it can't be read.
    pub fn value<T>(&self, key: &str, read: impl Fn(&str) -> Result<T, String>) -> Result<Option<T>, Fault> {
        let read = self.entry(key).map(|entry| read(&entry.value));
        read.transpose().map_err(|message| self.fault_at(key, message))
    }

    /// Refuses keys that are not among `known`; those that end with a dot or a blank stand for all that begin so.
    pub fn only(&self, known: &[&str]) -> Result<(), Fault> {
        let fits = |key: &str| {
            known.iter().any(|k| if k.ends_with(['.', ' ']) { key.starts_with(k) } else { key == *k })
        };
        match self.entries.iter().find(|entry| !fits(&entry.key)) {
            None => Ok(()),
            Some(entry) => Err(self.fault_at(&entry.key, unknown("key", &entry.key, known.iter().copied()))),
        }
    }

    /// The section as it would stand in a file.
    pub fn text(&self) -> String {
        let lines = self.entries.iter().map(|entry| format!("{} = {}\n", entry.key, entry.value));
        format!("[{}]\n{}", self.name, lines.collect::<String>())
    }
}

#[derive(Clone, Debug)]
pub struct Ini {
    pub file: Arc<str>,
    pub sections: Vec<Section>,
}

impl Ini {
    pub fn open(path: &Path) -> Result<Ini, Fault> {
        let file: Arc<str> = path.display().to_string().into();
        match std::fs::read_to_string(path) {
            Ok(text) => Ini::read(file, &text),
            Err(error) => Err(whole_file(file, error.to_string())),
        }
    }

    pub fn read(file: impl Into<Arc<str>>, text: &str) -> Result<Ini, Fault> {
        let file = file.into();
        let mut sections: Vec<Section> = Vec::new();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            let fault = |message: &str| Fault { line, ..whole_file(file.clone(), message) };
            match item {
                Item::Section("") => return Err(fault("a section without a name")),
                Item::Section(name) => {
                    if let Some(other) = sections.iter().find(|section| section.name == name) {
                        return Err(fault(&format!("[{name}] stands on line {} already", other.line)));
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
                        return Err(fault(&format!("'{key}' stands before the first section")));
                    };
                    let (key, value) = (key.to_string(), without_comment(value).to_string());
                    if section.entry(&key).is_some() {
                        return Err(section.fault_at(&key, format!("given again on line {line}")));
                    }
                    section.entries.push(Entry { key, value, line });
                }
                Item::Error(text) => return Err(fault(&format!("'{text}' is not a section's head"))),
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
        Ok(Ini { file, sections })
    }
}

fn whole_file(file: Arc<str>, message: impl Into<String>) -> Fault {
    Fault { file, line: 0, section: String::new(), key: String::new(), message: message.into() }
}

/// A comment after a value starts with a semicolon that follows a blank.
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
            ("a = 1", "f.ini:1: 'a' stands before the first section"),
            ("[a]\nb", "f.ini:2: 'b' is neither a section nor 'key = value'"),
            ("[a\n", "f.ini:1: '[a' is not a section's head"),
            ("[]", "f.ini:1: a section without a name"),
            ("[a]\n[a]", "f.ini:2: [a] stands on line 1 already"),
            ("[a]\nb=1\n\nb=2", "f.ini:2 [a] 'b': given again on line 4"),
        ] {
            assert_eq!(Ini::read("f.ini", text).expect_err(text).to_string(), message);
        }
        let ini = Ini::read("f.ini", "[a]\nshrad = 1\n").expect("it is well");
        let said = ini.sections[0].only(&["shard", "server."]).expect_err("a misspelt key").to_string();
        assert_eq!(said, "f.ini:2 [a] 'shrad': no such key; the nearest is 'shard'");
        assert!(ini.sections[0].only(&["shr"]).is_err() && ini.sections[0].only(&["shrad"]).is_ok());
    }
}
